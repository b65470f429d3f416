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

// Guards against taking a pause of this process for a silence of others.
test('time in which the process stood still does not count', async (t) => {
  const clock = new ManualClock();
  const lateMs: number[] = [];
  using _timer = new InactivityTimer(clock, 100, (ms) => lateMs.push(ms));
  await clock.advance(60);
  clock.pause(1_500);
  await clock.advance(35);
  t.deepEqual(lateMs, []);
  await clock.advance(10);
  t.deepEqual(lateMs, [1_500]);
});

// Guards against a decision before sockets are read, which is after timers have run.
test('activity that is read just after a pause is heeded', async (t) => {
  const clock = new ManualClock();
  let calls = 0;
  using timer = new InactivityTimer(clock, 100, () => (calls += 1));
  await clock.advance(99);
  clock.pause(1_500);
  await clock.advance(5);
  timer.recordActivity();
  await clock.advance(95);
  t.is(calls, 0);
});
