import test from 'ava';
import { ManualClock, RouterError } from '@acaciacrank/base';
import { hedgeReads, type HedgeReadsOptions } from './index.js';

type Open = HedgeReadsOptions<number>['open'];

async function collect(items: AsyncIterable<number>): Promise<number[]> {
  const seen: number[] = [];
  for await (const item of items) seen.push(item);
  return seen;
}

function never(): Promise<never> {
  return new Promise(() => undefined);
}

/** Reads with a limit of one second that doubles with each connection opened in vain. */
function read(clock: ManualClock, open: Open, reopen: Open, { signal } = new AbortController()) {
  const opened: number[] = [];
  const items = hedgeReads({
    clock,
    open,
    reopen,
    limitMs: (openedInVain) => 1_000 * 2 ** openedInVain,
    onSilent: () => opened.push(clock.monotonicMs()),
    signal,
  });
  return { items: collect(items), opened };
}

async function* silent(): AsyncGenerator<number> {
  yield await never();
}

/** Yields items at given times. */
function yieldAt(clock: ManualClock, timesMs: readonly number[]): Open {
  return async function* () {
    for (const [index, timeMs] of timesMs.entries()) {
      await clock.sleep(timeMs - clock.monotonicMs());
      yield index + 1;
    }
  };
}

test('a slow stream is read over one connection if each gap is within the limit', async (t) => {
  const clock = new ManualClock();
  const { items, opened } = read(clock, yieldAt(clock, [999, 1_998, 2_997]), silent);
  t.deepEqual(await clock.runUntil(items), [1, 2, 3]);
  t.deepEqual(opened, []);
  t.is(clock.pendingTimers, 0);
});

// Guards against a caller waiting forever: a device on the path drops its state of the connection
// after the second token, neither side is notified, and the reader of the connection never returns.
test('a stalled connection is replaced, and aborted once another one has given an item', async (t) => {
  const clock = new ManualClock();
  let abortedAtMs = 0;
  async function* stalled(connection: AbortSignal) {
    connection.addEventListener('abort', () => {
      abortedAtMs = clock.monotonicMs();
    });
    yield 1;
    yield 2;
    await never();
  }
  const { items, opened } = read(clock, stalled, yieldAt(clock, [1_200]));
  t.deepEqual(await clock.runUntil(items), [1, 2, 1]);
  t.deepEqual(opened, [1_000]);
  t.is(abortedAtMs, 1_200);
  t.is(clock.pendingTimers, 0);
});

// Guards against a connection that lives and is closed for others that give nothing.
test('silence alone ends nothing, however long', async (t) => {
  const clock = new ManualClock();
  const { items, opened } = read(clock, yieldAt(clock, [100, 60_000]), silent);
  t.deepEqual(await clock.runUntil(items), [1, 2]);
  t.deepEqual(opened, [1_100, 3_100, 7_100, 15_100, 31_100]);
  t.is(clock.pendingTimers, 0);
});

// Guards against connections without bound to a sender that is silent.
test('three connections are read at most, the first one among them', async (t) => {
  const clock = new ManualClock();
  let open = 0;
  let mostOpen = 0;
  const count = (signal: AbortSignal) => {
    open += 1;
    mostOpen = Math.max(mostOpen, open);
    signal.addEventListener('abort', () => (open -= 1));
    return silent();
  };
  const { items } = read(clock, yieldAt(clock, [60_000]), count);
  t.deepEqual(await clock.runUntil(items), [1]);
  t.is(mostOpen, 2);
  t.is(open, 0);
});

test('a connection that fails ends nothing while another one is read', async (t) => {
  const clock = new ManualClock();
  async function* broken(): AsyncGenerator<number> {
    await clock.sleep(1_500);
    throw new RouterError('upstreamFailed', 'the connection broke');
    yield 0;
  }
  const kept = read(clock, yieldAt(clock, [2_000]), broken);
  t.deepEqual(await clock.runUntil(kept.items), [1]);
  const failed = read(clock, broken, broken);
  await t.throwsAsync(clock.runUntil(failed.items), { message: 'the connection broke' });
});

// Guards against a deadline without effect: the stream hangs in a read that ignores its signal.
test('an abort ends even a read that never returns', async (t) => {
  const clock = new ManualClock();
  const abort = new AbortController();
  const { items } = read(clock, silent, silent, abort);
  items.catch(() => undefined);
  await clock.advance(10);
  abort.abort(new RouterError('deadlineExceeded', 'too late'));
  const error = await t.throwsAsync(items, { message: 'too late' });
  t.like(error, { kind: 'deadlineExceeded' });
});

// Guards against a process that stood still, and takes its own pause for a stalled connection.
test('a pause of this process is no stall', async (t) => {
  const clock = new ManualClock();
  const { items, opened } = read(clock, yieldAt(clock, [0, 2_010]), silent);
  await clock.advance(500);
  clock.pause(1_500);
  t.deepEqual(await clock.runUntil(items), [1, 2]);
  t.deepEqual(opened, []);
});
