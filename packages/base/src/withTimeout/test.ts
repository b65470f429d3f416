import test from 'ava';
import { ManualClock } from '../ManualClock/index.js';
import { withTimeout } from './index.js';

test('a connection that never answers ends with the stated kind and aborts the work', async (t) => {
  const clock = new ManualClock();
  let aborted = false;
  const work = withTimeout(
    clock,
    100,
    (signal) =>
      new Promise<never>(() => {
        signal.addEventListener('abort', () => (aborted = true));
      }),
    { kind: 'storeUnavailable', what: 'reading' },
  );
  const rejected = t.throwsAsync(work, { message: /reading took longer than 100 ms/ });
  await clock.advance(100);
  await rejected;
  t.true(aborted);
  t.is(clock.pendingTimers, 0);
});

// A large answer comes over a narrow link for longer than a call may take, byte by byte. Given up while
// it comes, the call is made again and never ends. One that trickles for ever is still given up.
test('work that makes progress has its limit again, up to a bound in all', async (t) => {
  const clock = new ManualClock();
  let advanceWork: () => void = () => undefined;
  const work = withTimeout(
    clock,
    100,
    (_signal, onProgress) => {
      advanceWork = onProgress;
      return new Promise<never>(() => undefined);
    },
    { kind: 'storeUnavailable', what: 'reading', longestMs: 250 },
  );
  let isEnded = false;
  const rejected = t.throwsAsync(work, { message: /reading took longer than/ }).then(() => {
    isEnded = true;
  });
  await clock.advance(90);
  advanceWork();
  await clock.advance(90);
  advanceWork();
  await clock.advance(60);
  t.false(isEnded);
  await clock.advance(10);
  await rejected;
  t.is(clock.pendingTimers, 0);
});
