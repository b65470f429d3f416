import test from 'ava';
import { ManualClock, RouterError } from '@acaciacrank/base';
import { watchProgress } from './index.js';

const limitMs = () => 1_000;

async function collect(items: AsyncIterable<number>): Promise<number[]> {
  const seen: number[] = [];
  for await (const item of items) seen.push(item);
  return seen;
}

function never(): Promise<never> {
  return new Promise(() => undefined);
}

test('a slow stream is forwarded completely if each gap is within the timeout', async (t) => {
  const clock = new ManualClock();
  const { signal } = new AbortController();
  async function* slow() {
    for (const item of [1, 2, 3]) {
      await clock.sleep(999);
      yield item;
    }
  }
  const items = collect(watchProgress(slow, { clock, limitMs, signal }));
  t.deepEqual(await clock.runUntil(items), [1, 2, 3]);
  t.is(clock.pendingTimers, 0);
});

// Guards against a caller waiting forever: a device on the path drops its state of the connection
// after the second token, neither side is notified, and the reader of the connection never returns.
test('a stalled connection is aborted', async (t) => {
  const clock = new ManualClock();
  const { signal } = new AbortController();
  let isAborted = false;
  async function* silent(connection: AbortSignal) {
    connection.addEventListener('abort', () => {
      isAborted = true;
    });
    yield 1;
    yield 2;
    await never();
  }
  const items = collect(watchProgress(silent, { clock, limitMs, signal }));
  await t.throwsAsync(clock.runUntil(items), { message: /fell silent/ });
  t.true(isAborted);
  t.is(clock.monotonicMs(), 1_000);
});

// Guards against a deadline without effect: the stream hangs in a read that ignores its signal.
test('an abort ends even a read that never returns', async (t) => {
  const clock = new ManualClock();
  const abort = new AbortController();
  async function* silent() {
    yield 1;
    await never();
  }
  const items = collect(watchProgress(silent, { clock, limitMs, signal: abort.signal }));
  items.catch(() => undefined);
  await clock.advance(10);
  abort.abort(new RouterError('deadlineExceeded', 'too late'));
  const error = await t.throwsAsync(items, { message: 'too late' });
  t.like(error, { kind: 'deadlineExceeded' });
});

// Guards against a process that stood still, and takes its own pause for a stalled connection.
test('a pause of this process is no stall', async (t) => {
  const clock = new ManualClock();
  const { signal } = new AbortController();
  async function* slow() {
    yield 1;
    await clock.sleep(2_010);
    yield 2;
  }
  const items = collect(watchProgress(slow, { clock, limitMs, signal }));
  await clock.advance(500);
  clock.pause(1_500);
  t.deepEqual(await clock.runUntil(items), [1, 2]);
});
