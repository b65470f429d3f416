import test from 'ava';
import { DisposableStore } from './index.js';

test('disposes of items in reverse order, and immediately once the store is disposed of', async (t) => {
  const store = new DisposableStore();
  const order: number[] = [];
  const item = (id: number) => ({ [Symbol.dispose]: () => void order.push(id) });
  store.add(item(1));
  store.add(item(2));
  await store.dispose();
  store.add(item(3));
  t.deepEqual(order, [2, 1, 3]);
});
