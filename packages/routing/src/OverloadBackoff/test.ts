import { ManualClock } from '@acaciacrank/base';
import test from 'ava';
import { maxBackoffMs, OverloadBackoff } from './index.js';

function setUp() {
  const clock = new ManualClock();
  return { clock, backoff: new OverloadBackoff(clock) };
}

test('without a backoff requests do not wait', (t) => {
  const { backoff } = setUp();
  t.is(backoff.waitMs, 0);
  t.false(backoff.recordSend());
  t.false(backoff.extend(0));
  t.is(backoff.waitMs, 0);
});

// Guards against a shorter statement that ends a longer one, and against one that is lost while another runs.
test('a backoff holds until the latest of its ends', async (t) => {
  const { clock, backoff } = setUp();
  t.true(backoff.extend(3_000));
  t.false(backoff.extend(1_000));
  t.is(backoff.waitMs, 3_000);
  await clock.advance(2_000);
  t.false(backoff.extend(3_000));
  t.is(backoff.waitMs, 3_000);
});

// Guards against an upstream that is out of use for good because of an absurd statement.
test('a backoff is bounded', (t) => {
  const { backoff } = setUp();
  backoff.extend(1e12);
  t.is(backoff.waitMs, maxBackoffMs);
});

// Guards against a burst when a backoff ends, to an upstream that may still be overloaded.
test('requests follow each other at an interval after a backoff, then freely', async (t) => {
  const { clock, backoff } = setUp();
  backoff.extend(500);
  await clock.advance(500);
  t.is(backoff.waitMs, 0);
  t.true(backoff.recordSend());
  t.is(backoff.waitMs, 100);
  await clock.advance(100);
  t.is(backoff.waitMs, 0);
  t.false(backoff.recordSend());
  t.is(backoff.waitMs, 100);
  await clock.advance(900);
  for (let request = 0; request < 50; request += 1) backoff.recordSend();
  t.is(backoff.waitMs, 0);
});

// Guards against a recovery that continues although the upstream refused again.
test('a backoff in the recovery begins anew', async (t) => {
  const { clock, backoff } = setUp();
  backoff.extend(500);
  await clock.advance(600);
  backoff.recordSend();
  t.true(backoff.extend(2_000));
  t.is(backoff.waitMs, 2_000);
  await clock.advance(2_000);
  t.true(backoff.recordSend());
});
