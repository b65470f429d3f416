import test from 'ava';
import { createRandom } from '@acaciacrank/base';
import { AdaptiveTimeout } from './index.js';

const options = { floorMs: 1_000, ceilingMs: 10_000 };

test('the timeout is the ceiling before the first observation, and stays within its range', (t) => {
  const adaptiveTimeout = new AdaptiveTimeout(options);
  t.is(adaptiveTimeout.limitMs(), options.ceilingMs);
  for (let count = 0; count < 50; count += 1) adaptiveTimeout.observe(20);
  t.is(adaptiveTimeout.limitMs(), options.floorMs);
  for (let count = 0; count < 50; count += 1) adaptiveTimeout.observe(60_000);
  t.is(adaptiveTimeout.limitMs(), options.ceilingMs);
});

// Guards against streams of a slow engine being resumed again and again although nothing is wrong:
// its gaps are long and uneven, and each would exceed a timeout chosen for fast engines.
test('a slow engine with uneven gaps does not time out', (t) => {
  const adaptiveTimeout = new AdaptiveTimeout(options);
  const random = createRandom(7);
  let exceeded = 0;
  for (let count = 0; count < 2_000; count += 1) {
    const gapMs = 300 + 600 * random();
    if (count > 20 && gapMs > adaptiveTimeout.limitMs()) exceeded += 1;
    adaptiveTimeout.observe(gapMs);
  }
  t.is(exceeded, 0);
  t.true(adaptiveTimeout.limitMs() < options.ceilingMs);
});
