import test from 'ava';
import { createRandom } from './index.js';

test('yields the same sequence for a seed, another for another seed, and stays in range', (t) => {
  const first = Array.from({ length: 5 }, createRandom(7));
  t.deepEqual(Array.from({ length: 5 }, createRandom(7)), first);
  t.notDeepEqual(Array.from({ length: 5 }, createRandom(8)), first);
  t.true(first.every((value) => value >= 0 && value < 1));
});
