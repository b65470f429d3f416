import test from 'ava';
import { createRandom } from '@acaciacrank/base';
import { spreadRetryAfterMs } from './index.js';

// One instance of five is lost at noon. A thousand callers are refused elsewhere within the same
// second; told the same time, they would all come back within one second again, and be refused again.
test('callers that were refused together do not come back together', (t) => {
  const random = createRandom(3);
  const perBucket = new Map<number, number>();
  for (let caller = 0; caller < 1_000; caller += 1) {
    const bucket = Math.floor(spreadRetryAfterMs(2_000, random) / 500);
    perBucket.set(bucket, (perBucket.get(bucket) ?? 0) + 1);
  }
  t.is(perBucket.size, 8);
  t.true(Math.max(...perBucket.values()) < 170);
});

test('nobody is told to come back before the stated time', (t) => {
  t.is(
    spreadRetryAfterMs(2_000, () => 0),
    2_000,
  );
  t.is(
    spreadRetryAfterMs(0, () => 0.5),
    250,
  );
});
