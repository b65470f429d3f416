import test from 'ava';
import { ManualClock, type AccountId, type RouterError, type ServiceName } from '@acaciacrank/base';
import { AdmissionQueue, type AdmissionQueueOptions } from './index.js';

const request = (priority: number, waitMs = 1_000) => ({
  priority,
  accountId: 'a' as AccountId,
  waitMs,
  signal: new AbortController().signal,
});

test('the highest-priority class is served first when a slot is released', async (t) => {
  const clock = new ManualClock();
  const queue = new AdmissionQueue({ clock, limit: () => 1 });
  const slot = await queue.admit(request(1));
  const order: string[] = [];
  const low = queue.admit(request(2)).then(() => order.push('low'));
  const high = queue.admit(request(0)).then((next) => {
    order.push('high');
    next[Symbol.dispose]();
  });
  slot[Symbol.dispose]();
  await Promise.all([low, high]);
  t.deepEqual(order, ['high', 'low']);
});

test('a request that cannot start before its deadline is refused and removed', async (t) => {
  const clock = new ManualClock();
  const queue = new AdmissionQueue({ clock, limit: () => 0 });
  const refused = t.throwsAsync(queue.admit(request(0, 50)), {
    message: /no free slot within 50 ms/,
  });
  await clock.advance(50);
  await refused;
  t.is(queue.waitingRequests, 0);
});

interface Caller {
  readonly account?: string;
  readonly priority?: number;
  readonly waitMs?: number;
  readonly holdMs?: number;
}

/** A queue whose callers hold their slot for a while; records admissions and refusals in order. */
function createHarness(options: Partial<AdmissionQueueOptions> = {}) {
  const clock = new ManualClock();
  const queue = new AdmissionQueue({ clock, limit: () => 1, ...options });
  const admitted: string[] = [];
  const refused: { name: string; error: RouterError; atMs: number }[] = [];
  const call = async (name: string, caller: Caller = {}) => {
    const { account = 'a', priority = 0, waitMs = 10_000, holdMs = 100 } = caller;
    try {
      const accountId = account as AccountId;
      using slot = await queue.admit({ ...request(priority, waitMs), accountId });
      void slot;
      admitted.push(name);
      await clock.sleep(holdMs);
    } catch (error) {
      refused.push({ name, error: error as RouterError, atMs: clock.monotonicMs() });
    }
  };
  const warmUp = async (count: number, holdMs: number) => {
    for (let index = 0; index < count; index += 1) {
      void call('warm-up', { holdMs });
      await clock.advance(holdMs);
    }
    admitted.length = 0;
  };
  return { clock, queue, admitted, refused, call, warmUp };
}

// Guards against a single FIFO queue: the only request of a quiet account would wait behind another
// account's burst of 50.
test('a quiet account does not wait for all requests of a busy account in its class', async (t) => {
  const { clock, admitted, call } = createHarness();
  for (let index = 0; index < 50; index += 1) void call(`busy${index}`, { account: 'busy' });
  await clock.advance(1);
  void call('quiet', { account: 'quiet' });
  await clock.advance(350);
  t.true(admitted.includes('quiet'), admitted.join());
  t.true(admitted.length <= 4);
});

// Guards against refusing a request only at its deadline when the queue is already too long on arrival:
// the caller would lose the time to try another instance.
test('a request that would be late is refused on arrival, marked as not run and with a retry-after time', async (t) => {
  const { clock, refused, call, warmUp } = createHarness();
  await warmUp(40, 100);
  for (let index = 0; index < 30; index += 1) void call(`first${index}`, { holdMs: 100 });
  await clock.advance(1);
  const beforeMs = clock.monotonicMs();
  void call('late', { waitMs: 1_000 });
  await clock.advance(0);
  t.is(refused[0]?.name, 'late');
  t.is(refused[0]?.atMs, beforeMs);
  t.like(refused[0]?.error, { kind: 'overloaded', ran: 'notRun' });
  const retryAfterMs = refused[0]?.error.retryAfterMs ?? 0;
  t.true(retryAfterMs >= 1_000 && retryAfterMs <= 4_000, `${retryAfterMs} ms`);
});

// Guards against holding low-priority requests (tagging) until their deadline although higher-priority
// ones (reviews) that arrived later will be served first and make them late.
test('requests overtaken by a higher class are refused before their deadline', async (t) => {
  const { clock, refused, admitted, call, warmUp } = createHarness();
  await warmUp(40, 100);
  const startMs = clock.monotonicMs();
  for (let index = 0; index < 5; index += 1)
    void call(`tag${index}`, { priority: 2, waitMs: 2_000 });
  for (let index = 0; index < 40; index += 1) void call(`review${index}`, { waitMs: 60_000 });
  await clock.advance(200);
  // The first was admitted before any review arrived.
  t.deepEqual(refused.map(({ name }) => name).sort(), ['tag1', 'tag2', 'tag3', 'tag4']);
  t.true(refused.every(({ atMs }) => atMs - startMs <= 100));
  t.true(admitted.includes('review0'));
});

// Guards against holding requests until their deadline of 10 s when upstreams hang and no slot is
// released.
test('when no more slots are released, waiting requests are refused before their deadline', async (t) => {
  const { clock, refused, call, warmUp } = createHarness();
  await warmUp(40, 100);
  const startMs = clock.monotonicMs();
  void call('hangs', { holdMs: 600_000 });
  for (let index = 0; index < 20; index += 1) void call(`waits${index}`, { waitMs: 10_000 });
  await clock.advance(10_000);
  t.is(refused.length, 20);
  const early = refused.filter(({ atMs }) => atMs - startMs < 8_000);
  t.true(early.length >= 18, `${early.length} were refused early`);
});

// Guards against refusing a higher-priority request (review) because lower-priority ones (tagging) fill
// the queue: the newest tagging request of the busiest account is evicted instead.
test('when the queue is full, a request of the lowest class is evicted for a higher one', async (t) => {
  const { clock, refused, admitted, call } = createHarness({ maxWaiting: 5 });
  const tagging = { priority: 2, waitMs: 60_000 };
  for (let index = 0; index < 5; index += 1) void call(`busy${index}`, tagging);
  void call('quiet', { ...tagging, account: 'b' });
  await clock.advance(1);
  void call('review');
  await clock.advance(0);
  t.deepEqual(
    refused.map(({ name }) => name),
    ['busy4'],
  );
  void call('one too many', { ...tagging, account: 'c', priority: 3 });
  await clock.advance(150);
  t.is(refused[1]?.name, 'one too many');
  t.is(admitted[1], 'review');
});

test('slots added by a higher limit are used although none is released', async (t) => {
  let limit = 1;
  const { clock, admitted, call } = createHarness({ limit: () => limit });
  for (const name of ['one', 'two', 'three']) void call(name, { holdMs: 5_000 });
  await clock.advance(10);
  limit = 3;
  await clock.advance(50);
  t.deepEqual(admitted, ['one', 'two', 'three']);
});

test('a cancelled request does not delay the next one', async (t) => {
  const { clock, queue } = createHarness();
  const callerAbort = new AbortController();
  const slot = await queue.admit(request(0));
  const first = queue.admit({ ...request(0), signal: callerAbort.signal });
  const second = queue.admit(request(0));
  callerAbort.abort();
  await t.throwsAsync(first, { message: 'the caller went away' });
  slot[Symbol.dispose]();
  (await clock.runUntil(second))[Symbol.dispose]();
  t.is(queue.waitingRequests, 0);
});

test('without an upstream, a request with a short deadline is refused as unavailable', async (t) => {
  const { clock, refused, queue, call } = createHarness({ limit: () => 0 });
  void call('shift', { priority: 1, waitMs: 2_000 });
  void call('review', { waitMs: 30_000 });
  await clock.advance(0);
  t.is(refused[0]?.name, 'shift');
  t.is(refused[0]?.error.kind, 'upstreamUnavailable');
  t.is(queue.waitingRequests, 1);
});

test('services have separate queues', async (t) => {
  const { clock, queue } = createHarness();
  const tutor = { ...request(0), service: 'tutor' as ServiceName };
  const other = { ...request(0), service: 'other' as ServiceName };
  await queue.admit(tutor);
  t.truthy(await clock.runUntil(queue.admit(other)));
});
