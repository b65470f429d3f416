import test from 'ava';
import { ManualClock } from '../ManualClock/index.js';
import { withTimeout } from './index.js';

test('work that never settles is aborted on timeout and rejected with the given kind', async (t) => {
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

// A large response over a slow link can take longer than the timeout while bytes keep arriving. If it
// were aborted, every retry would be aborted too and the call would never succeed. A response that
// trickles in forever must still time out.
test('progress restarts the timeout, up to a maximum total time', async (t) => {
  const clock = new ManualClock();
  let reportProgress: () => void = () => undefined;
  const work = withTimeout(
    clock,
    100,
    (_signal, onProgress) => {
      reportProgress = onProgress;
      return new Promise<never>(() => undefined);
    },
    { kind: 'storeUnavailable', what: 'reading', maxTotalMs: 250 },
  );
  let isEnded = false;
  const rejected = t.throwsAsync(work, { message: /reading took longer than/ }).then(() => {
    isEnded = true;
  });
  await clock.advance(90);
  reportProgress();
  await clock.advance(90);
  reportProgress();
  await clock.advance(60);
  t.false(isEnded);
  await clock.advance(10);
  await rejected;
  t.is(clock.pendingTimers, 0);
});

// Guards against giving up work whose result came while this process stood still.
test('a pause of this process does not count', async (t) => {
  const clock = new ManualClock();
  const options = { kind: 'storeUnavailable', what: 'reading' } as const;
  const work = withTimeout(clock, 100, () => clock.sleep(190).then(() => 'read'), options);
  await clock.advance(50);
  clock.pause(100);
  t.is(await clock.runUntil(work), 'read');
});
