import test from 'ava';
import { ManualClock } from '@acaciacrank/base';
import { RecordRateLimiter } from './index.js';

test('grants at most the limit per second and refills over time', async (t) => {
  const clock = new ManualClock();
  const limiter = new RecordRateLimiter(clock, 10);
  t.deepEqual([limiter.take(7), limiter.take(7), limiter.take(1)], [7, 3, 0]);
  await clock.advance(500);
  t.is(limiter.take(9), 5);
  await clock.advance(60_000);
  t.is(limiter.take(99), 10);
});
