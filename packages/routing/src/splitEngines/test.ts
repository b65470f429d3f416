import test from 'ava';
import { splitEngines } from './index.js';

const engines = Array.from({ length: 13 }, (_, index) => ({ id: `e${index}` }));

test('all instances find the same split, whatever the order of their lists', (t) => {
  const split = splitEngines(engines, 0.45);
  const again = splitEngines([...engines].reverse(), 0.45);
  t.deepEqual(split, again);
  t.is(split.long.length, 6);
  t.is(split.ordinary.length, 7);
});

// One engine is lost. If the split moved as a whole, every engine's cached parts would be of no use.
test('a lost engine changes the part of one other at most', (t) => {
  const { long } = splitEngines(engines, 0.45);
  for (const lost of engines) {
    const left = engines.filter((engine) => engine !== lost);
    const moved = splitEngines(left, 0.45).long.filter((engine) => !long.includes(engine));
    t.true(moved.length <= 1);
  }
});

test('few engines are not split', (t) => {
  const two = engines.slice(0, 2);
  t.deepEqual(splitEngines(two, 0.45), { ordinary: two, long: two });
});
