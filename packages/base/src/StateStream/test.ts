import test from 'ava';
import { StateStream } from './index.js';

test('a late subscriber sees the current value first, then changes', (t) => {
  const state = new StateStream(1);
  state.set(2);
  const seen: number[] = [];
  const subscription = state.changes
    .map((value) => value * 10)
    .subscribe({
      next: (value) => void seen.push(value),
      error: (error) => t.fail(error.message),
      complete: () => t.fail('state never completes'),
    });
  state.set(3);
  subscription.unsubscribe();
  state.set(4);
  t.deepEqual(seen, [20, 30]);
});

test('a listener hears the current value and changes until it is disposed of', (t) => {
  const state = new StateStream(1);
  const seen: number[] = [];
  const following = state.follow(
    (value) => void seen.push(value),
    (error) => t.fail(error.message),
  );
  state.set(2);
  following[Symbol.dispose]();
  state.set(3);
  t.deepEqual(seen, [1, 2]);
});
