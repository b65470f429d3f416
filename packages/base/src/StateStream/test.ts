import test from 'ava';
import { StateStream } from './index.js';

test('a new subscriber receives the current value first, then changes', (t) => {
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

test('a listener receives the current value and changes until its subscription is disposed of', (t) => {
  const state = new StateStream(1);
  const seen: number[] = [];
  const subscription = state.follow(
    (value) => void seen.push(value),
    (error) => t.fail(error.message),
  );
  state.set(2);
  subscription[Symbol.dispose]();
  state.set(3);
  t.deepEqual(seen, [1, 2]);
});
