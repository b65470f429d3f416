import test from 'ava';
import { getOrCreate } from './index.js';

test('creates a value once for each key', (t) => {
  const map = new Map<string, number[]>();
  getOrCreate(map, 'a', () => []).push(1);
  getOrCreate(map, 'a', () => []).push(2);
  t.deepEqual([...map], [['a', [1, 2]]]);
});
