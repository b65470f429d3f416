import test from 'ava';
import { splitEngines } from './index.js';

const engines = Array.from({ length: 13 }, (_, index) => ({ id: `e${index}` }));
const shares = [0.4, 0.3, 0.3];

test('all instances find the same groups, whatever the order of their lists', (t) => {
  const groups = splitEngines(engines, shares);
  t.deepEqual(groups, splitEngines([...engines].reverse(), shares));
  t.deepEqual(
    groups.map((group) => group.length),
    [5, 4, 4],
  );
  t.is(new Set(groups.flat()).size, engines.length);
});

// One engine is lost. If the groups moved as a whole, every engine's cached parts would be of no use.
test('a lost engine changes the group of few others', (t) => {
  const groupOf = (list: typeof engines) =>
    new Map(
      splitEngines(list, shares).flatMap((group, index) => group.map(({ id }) => [id, index])),
    );
  const before = groupOf(engines);
  for (const lost of engines) {
    const after = groupOf(engines.filter((engine) => engine !== lost));
    const moved = [...after].filter(([id, index]) => before.get(id) !== index);
    t.true(moved.length <= 2);
  }
});

test('too few engines are not divided', (t) => {
  const two = engines.slice(0, 2);
  for (const group of splitEngines(two, shares)) t.is(group.length, 2);
});
