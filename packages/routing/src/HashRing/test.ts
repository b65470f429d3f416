import test from 'ava';
import { HashRing } from './index.js';

function itemsOf(count: number) {
  return Array.from({ length: count }, (_, index) => ({ id: `e${index}` }));
}

const idsOf = (items: readonly { id: string }[]) => items.map(({ id }) => id).sort();

test('a key has the same neighbours whatever the order of the items', (t) => {
  const items = itemsOf(500);
  const ring = new HashRing(items);
  const reversed = new HashRing([...items].reverse());
  for (let key = 0; key < 100; key += 1) {
    const neighbours = ring.neighbours(`part${key}`, 64);
    t.is(new Set(neighbours).size, 64);
    t.deepEqual(idsOf(reversed.neighbours(`part${key}`, 64)), idsOf(neighbours));
  }
});

// Guards against caches that all become useless when one engine is added or lost.
test('removing an item changes at most one neighbour of a key', (t) => {
  const items = itemsOf(500);
  const ring = new HashRing(items);
  const smaller = new HashRing(items.filter(({ id }) => id !== 'e7'));
  for (let key = 0; key < 100; key += 1) {
    const before = new Set(idsOf(ring.neighbours(`part${key}`, 64)));
    const added = idsOf(smaller.neighbours(`part${key}`, 64)).filter((id) => !before.has(id));
    t.true(added.length <= 1);
  }
});

// Guards against items that are nobody's neighbours.
test('all items are used about equally', (t) => {
  const ring = new HashRing(itemsOf(300));
  const uses = new Map<string, number>();
  for (let key = 0; key < 3_000; key += 1) {
    for (const { id } of ring.neighbours(`part${key}`, 64)) uses.set(id, (uses.get(id) ?? 0) + 1);
  }
  t.is(uses.size, 300);
  const mean = (3_000 * 64) / 300;
  for (const count of uses.values()) t.true(count > 0.5 * mean && count < 1.6 * mean, `${count}`);
});

test('a few items are all neighbours of any key', (t) => {
  const items = itemsOf(12);
  t.is(new HashRing(items).neighbours('part', 64), items);
  t.deepEqual(new HashRing([]).neighbours('part', 64), []);
});
