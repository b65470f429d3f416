import test from 'ava';
import { PauseMeter, pauseTickMs } from './index.js';

/** Ticks in time until the given moment. */
function tickUntil(meter: PauseMeter, fromMs: number, untilMs: number): void {
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += pauseTickMs) meter.tick(nowMs);
}

test('time goes on while ticks come in time', (t) => {
  const meter = new PauseMeter(0);
  tickUntil(meter, 50, 1_000);
  t.is(meter.activeMs(1_030), 1_030);
});

// Guards against a pause that counts for whoever reads the time before the late tick.
test('a pause is left out before and after the late tick', (t) => {
  const meter = new PauseMeter(0);
  tickUntil(meter, 50, 1_000);
  t.is(meter.activeMs(2_500), 1_000);
  meter.tick(2_500);
  t.is(meter.activeMs(2_500), 1_000);
  tickUntil(meter, 2_550, 3_000);
  t.is(meter.activeMs(3_000), 1_500);
});

test('the time that was read never goes back', (t) => {
  const meter = new PauseMeter(0);
  meter.tick(50);
  t.is(meter.activeMs(290), 290);
  t.is(meter.activeMs(1_500), 290);
});

// Guards against waits without end in a process that is always busy.
test('time goes on while every tick is late', (t) => {
  const meter = new PauseMeter(0);
  for (let nowMs = 400; nowMs <= 4_000; nowMs += 400) meter.tick(nowMs);
  t.is(meter.activeMs(4_000), 9 * 250);
});

// Guards against a busy process in which time stands still, since each second of its ticks is a little late.
test('time goes on as usual in a process that is busy for 200 ms at a time', (t) => {
  const meter = new PauseMeter(0);
  for (let nowMs = 200; nowMs <= 4_000; nowMs += 250) {
    meter.tick(nowMs);
    meter.tick(nowMs + 50);
  }
  t.is(meter.activeMs(4_000), 4_000);
});

test('what is read in time has waited for two ticks at most', (t) => {
  const meter = new PauseMeter(0);
  tickUntil(meter, 50, 1_000);
  t.is(meter.unreadMs(1_049), 99);
});

// Guards against requests that are taken for fresh after a pause, before the late tick and while connections are accepted.
test('what is read after a pause may have waited since before it', (t) => {
  const meter = new PauseMeter(0);
  tickUntil(meter, 50, 1_000);
  t.is(meter.unreadMs(2_300), 1_350);
  meter.tick(2_300);
  meter.tick(2_360);
  meter.tick(2_410);
  t.is(meter.unreadMs(2_420), 1_470);
  tickUntil(meter, 2_460, 2_600);
  t.true(meter.unreadMs(2_600) <= 100);
});
