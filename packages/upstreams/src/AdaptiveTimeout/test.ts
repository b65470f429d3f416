import test from 'ava';
import { createRandom } from '@acaciacrank/base';
import { AdaptiveTimeout } from './index.js';

const options = { floorMs: 1_000, ceilingMs: 10_000 };

test('the timeout is the ceiling before the first observation, and stays within its range', (t) => {
  const bound = new AdaptiveTimeout(options);
  t.is(bound.limitMs(), options.ceilingMs);
  for (let count = 0; count < 50; count += 1) bound.observe(20);
  t.is(bound.limitMs(), options.floorMs);
  for (let count = 0; count < 50; count += 1) bound.observe(60_000);
  t.is(bound.limitMs(), options.ceilingMs);
});

// Guards against streams of a slow engine being resumed again and again although nothing is wrong:
// its gaps are long and uneven, and each would exceed a timeout chosen for fast engines.
test('a slow engine with uneven gaps does not time out', (t) => {
  const bound = new AdaptiveTimeout(options);
  const random = createRandom(7);
  let exceeded = 0;
  for (let count = 0; count < 2_000; count += 1) {
    const gapMs = 300 + 600 * random();
    if (count > 20 && gapMs > bound.limitMs()) exceeded += 1;
    bound.observe(gapMs);
  }
  t.is(exceeded, 0);
  t.true(bound.limitMs() < options.ceilingMs);
});
