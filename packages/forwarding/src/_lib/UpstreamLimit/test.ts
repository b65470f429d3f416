import test from 'ava';
import { ManualClock } from '@acaciacrank/base';
import { UpstreamLimit, unshared } from './index.js';

function createLimit() {
  const clock = new ManualClock();
  const limit = new UpstreamLimit(clock, 'u1', unshared);
  /** The limit in a response that arrives now. */
  const state = (requestsPerSecond: number, sentMs = clock.monotonicMs()) => {
    return { requestsPerSecond, sentMs, receivedMs: clock.monotonicMs() };
  };
  return { clock, limit, state };
}

test('a limit is set, changed and removed', async (t) => {
  const { clock, limit, state } = createLimit();
  t.is(limit.requestsPerSecond, Infinity);
  t.is(limit.update(state(Infinity, 0)), undefined);
  t.is(limit.update(state(1.5, 0)), 'limitNamed');
  t.is(limit.update(state(1.5, 0)), undefined);
  t.is(limit.requestsPerSecond, 1.5);
  await clock.advance(10);
  t.is(limit.update(state(3)), 'limitChanged');
  t.is(limit.update(state(Infinity)), 'limitWithdrawn');
  t.is(limit.requestsPerSecond, Infinity);
});

// Guards against a stale response that raises or removes a newer limit.
test('a response to a request sent before the last update only lowers the limit', async (t) => {
  const { clock, limit, state } = createLimit();
  const sentMs = clock.monotonicMs();
  await clock.advance(10);
  limit.update(state(2));
  t.is(limit.update(state(Infinity, sentMs)), undefined);
  t.is(limit.update(state(5, sentMs)), undefined);
  t.is(limit.requestsPerSecond, 2);
  t.is(limit.update(state(1, sentMs)), 'limitChanged');
});

// Guards against applying a limit whose removal a peer has reported, and against applying an older limit
// from a peer.
test('the newest limit applies, whichever instance read it', async (t) => {
  const { clock, limit, state } = createLimit();
  await clock.advance(1_000);
  limit.update(state(2));
  t.not(limit.ownStatedLimit, undefined);
  t.is(limit.updateFromPeer({ requestsPerSecond: 1, sentMs: 200, receivedMs: 300 }), undefined);
  t.is(limit.requestsPerSecond, 2);
  await clock.advance(1_000);
  t.is(limit.updateFromPeer(state(Infinity)), 'limitWithdrawn');
  t.is(limit.ownStatedLimit, undefined);
  t.is(limit.waitMs, 0);
});

test('a limit restricts the request rate', async (t) => {
  const { clock, limit, state } = createLimit();
  limit.update(state(2));
  t.is(limit.waitMs, 500);
  await clock.advance(500);
  t.is(limit.waitMs, 0);
  limit.recordSend();
  t.is(limit.waitMs, 500);
});

// Guards against a limit that looks newer each time it is passed on between instances.
test('the same limit from a peer keeps the times of the own response', async (t) => {
  const { clock, limit, state } = createLimit();
  limit.update(state(2));
  const own = limit.ownStatedLimit;
  await clock.advance(1_000);
  t.is(limit.updateFromPeer(state(2)), undefined);
  t.deepEqual(limit.ownStatedLimit, own);
});
