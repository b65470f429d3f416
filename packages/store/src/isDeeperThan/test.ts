import test from 'ava';
import { isDeeperThan } from './index.js';

test('arrays and objects count, values do not', (t) => {
  t.false(isDeeperThan(1, 0));
  t.false(isDeeperThan(null, 0));
  t.true(isDeeperThan([], 0));
  t.false(isDeeperThan([1, { a: 2 }], 2));
  t.true(isDeeperThan([1, { a: [] }], 2));
});

// Guards against a check that runs out of stack itself.
test('a value of any depth is checked', (t) => {
  t.true(isDeeperThan(JSON.parse('['.repeat(1_000_000) + ']'.repeat(1_000_000)), 64));
});
