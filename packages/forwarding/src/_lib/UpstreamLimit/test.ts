import test from 'ava';
import { ManualClock } from '@acaciacrank/base';
import { UpstreamLimit } from './index.js';

test('a limit is set, changed and removed', async (t) => {
  const clock = new ManualClock();
  const limit = new UpstreamLimit(clock);
  t.is(limit.requestsPerSecond, Infinity);
  t.is(limit.update(Infinity, 0), undefined);
  t.is(limit.update(1.5, 0), 'limitNamed');
  t.is(limit.update(1.5, 0), undefined);
  t.is(limit.requestsPerSecond, 1.5);
  await clock.advance(10);
  t.is(limit.update(3, clock.monotonicMs()), 'limitChanged');
  t.is(limit.update(Infinity, clock.monotonicMs()), 'limitWithdrawn');
  t.is(limit.requestsPerSecond, Infinity);
});

// Guards against a stale answer that raises or removes a newer limit.
test('an answer to a request sent before the last update only lowers the limit', async (t) => {
  const clock = new ManualClock();
  const limit = new UpstreamLimit(clock);
  const sentMs = clock.monotonicMs();
  await clock.advance(10);
  limit.update(2, clock.monotonicMs());
  t.is(limit.update(Infinity, sentMs), undefined);
  t.is(limit.update(5, sentMs), undefined);
  t.is(limit.requestsPerSecond, 2);
  t.is(limit.update(1, sentMs), 'limitChanged');
});
