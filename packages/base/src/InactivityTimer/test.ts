import test from 'ava';
import { ManualClock } from '../ManualClock/index.js';
import { InactivityTimer } from './index.js';

test('it calls back once, a timeout after the last activity', async (t) => {
  const clock = new ManualClock();
  let calls = 0;
  const timer = new InactivityTimer(clock, 100, () => (calls += 1));
  await clock.advance(60);
  timer.recordActivity();
  await clock.advance(99);
  t.is(calls, 0);
  await clock.advance(2);
  t.is(calls, 1);
  await clock.advance(1_000);
  t.is(calls, 1);
});

test('it does not call back after disposal', async (t) => {
  const clock = new ManualClock();
  let calls = 0;
  const timer = new InactivityTimer(clock, 100, () => (calls += 1));
  await clock.advance(60);
  timer.recordActivity();
  await clock.advance(60);
  timer[Symbol.dispose]();
  await clock.advance(1_000);
  t.is(calls, 0);
});
