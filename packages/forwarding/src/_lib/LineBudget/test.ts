import test from 'ava';
import { ManualClock } from '@acaciacrank/base';
import { LineBudget } from './index.js';

test('lines beyond the budget of a second are left out', async (t) => {
  const clock = new ManualClock();
  const lines = new LineBudget(clock, 2);
  t.deepEqual([lines.take(), lines.take(), lines.take()], [true, true, false]);
  await clock.advance(1_000);
  t.true(lines.take());
});
