import test from 'ava';
import type { UpstreamId } from '@acaciacrank/base';
import { PartPlaces } from './index.js';

const [first, second] = ['e1', 'e2'] as UpstreamId[] as [UpstreamId, UpstreamId];

test('a part is held by each engine that it was sent to lately', (t) => {
  const places = new PartPlaces();
  places.note('part', first, 0);
  places.note('part', second, 15_000);
  t.deepEqual([...places.holders('part', 16_000)], [first, second]);
  t.deepEqual([...places.holders('part', 21_000)], [second]);
  t.deepEqual([...places.holders('part', 40_000)], []);
  t.deepEqual([...places.holders('other', 0)], []);
});

// Every request has a part of its own. Remembered for good, they would fill the memory of an instance.
test('parts that were used longest ago are forgotten', (t) => {
  const places = new PartPlaces();
  places.note('oldest', first, 0);
  places.note('used again', first, 0);
  for (let part = 0; part < 4_094; part += 1) places.note(`part ${part}`, first, 1);
  places.note('used again', first, 2);
  places.note('one more', first, 3);
  t.is(places.holders('oldest', 3).size, 0);
  t.is(places.holders('used again', 3).size, 1);
});

// Guards against prompts that are sent to an engine for parts that its former run held.
test('an engine that has started again holds nothing', (t) => {
  const places = new PartPlaces();
  places.note('part', first, 0);
  places.note('part', second, 0);
  places.forget(first);
  t.deepEqual([...places.holders('part', 1)], [second]);
});
