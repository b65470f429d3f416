import test from 'ava';
import { createRandom } from '@acaciacrank/base';
import { addRetryJitterMs } from './index.js';

// Guards against synchronized retries: one instance of five is lost, and a thousand callers are
// refused by the others within the same second. With the same retry time they would all retry
// within one second again, and be refused again.
test('callers refused at the same time retry at different times', (t) => {
  const random = createRandom(3);
  const perBucket = new Map<number, number>();
  for (let caller = 0; caller < 1_000; caller += 1) {
    const bucket = Math.floor(addRetryJitterMs(2_000, random) / 500);
    perBucket.set(bucket, (perBucket.get(bucket) ?? 0) + 1);
  }
  t.is(perBucket.size, 8);
  t.true(Math.max(...perBucket.values()) < 170);
});

test('the retry time is never shorter than the given one', (t) => {
  t.is(
    addRetryJitterMs(2_000, () => 0),
    2_000,
  );
  t.is(
    addRetryJitterMs(0, () => 0.5),
    250,
  );
});
