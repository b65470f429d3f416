import test from 'ava';
import { ManualClock } from './index.js';

test('timers run in order of due time, then of creation', async (t) => {
  const clock = new ManualClock();
  const order: string[] = [];
  clock.schedule(20, () => order.push('late'));
  clock.schedule(10, () => order.push('first'));
  clock.schedule(10, () => order.push('second'));
  await clock.advance(15);
  t.deepEqual(order, ['first', 'second']);
  await clock.advance(5);
  t.deepEqual(order, ['first', 'second', 'late']);
});

test('a jump of the wall clock does not change monotonic time', (t) => {
  const clock = new ManualClock({ startWallMs: 1_000 });
  clock.jumpWall(-500);
  t.is(clock.wallMs(), 500);
  t.is(clock.monotonicMs(), 0);
});

test('an aborted sleep ends early and leaves no timer', async (t) => {
  const clock = new ManualClock();
  const abort = new AbortController();
  const done = clock.sleep(1_000, abort.signal);
  abort.abort();
  await done;
  t.is(clock.pendingTimers, 0);
});

test('a timer that is due in a pause runs after it, a wait for others once it has run its time', async (t) => {
  const clock = new ManualClock();
  const order: string[] = [];
  clock.schedule(50, () => order.push(`timer at ${clock.monotonicMs()}`));
  clock.scheduleActive(50, () => order.push(`wait at ${clock.monotonicMs()}`));
  await clock.advance(10);
  clock.pause(100);
  await clock.advance(100);
  t.deepEqual(order, ['timer at 110', 'wait at 150']);
});
