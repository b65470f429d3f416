import test, { type ExecutionContext } from 'ava';
import { digestText, RouterError, type BudgetId, type ClassName } from '@acaciacrank/base';
import type { ChatCall, ChatFrame } from '@acaciacrank/callers';
import { FixedGrantPolicy, readBudget } from '@acaciacrank/ledger';
import { FaultyUpstreams, type FaultPlan } from '../../_lib/FaultyUpstreams/index.js';
import {
  createLocalFleet,
  type LocalFleet,
  type LocalInstance,
} from '../../createLocalFleet/index.js';
import { tokenText, type EngineRecord, type StandinEngine } from '../../StandinEngine/index.js';

const document = `environment: test
classes:
  - { name: review, firstTokenDeadlineMs: 60000, totalDeadlineMs: 600000 }
  - { name: shift, firstTokenDeadlineMs: 4000, totalDeadlineMs: 6000 }
services:
  - { name: tutor, kind: engines, models: [small], checksFencing: true, maxOutputTokens: 2000 }
  - { name: records, kind: plain }
accounts:
  - id: one
    keyDigests: [${digestText('secret')}]
    budgets:
      - { id: one-2026, openingTokens: 100000 }
      - { id: one-answer, openingTokens: 260 }
`;
const budget = {
  accountId: 'one' as never,
  budgetId: 'one-2026' as BudgetId,
  openingTokens: 100_000,
};
const noFaults: FaultPlan = () => undefined;

interface Fixture {
  readonly fleet: LocalFleet;
  readonly upstreams: FaultyUpstreams[];
}

async function createFixture(plan: FaultPlan, engines = 2, tokenGapMs = 20): Promise<Fixture> {
  const upstreams: FaultyUpstreams[] = [];
  const fleet = await createLocalFleet({
    document,
    engines,
    engineOptions: { tokenGapMs },
    instanceOptions: { grantPolicy: new FixedGrantPolicy(5_000) },
    wrap: (parts) => {
      const clients = new FaultyUpstreams(parts.clients, plan);
      upstreams.push(clients);
      return { ...parts, clients };
    },
  });
  return { fleet, upstreams };
}

function chatCall(key: string, className = 'review', content = 'how long does broth boil?') {
  const call: ChatCall = {
    accountKey: 'secret',
    budgetId: budget.budgetId,
    className: className as ClassName,
    idempotencyKey: key,
    model: 'small',
    messages: [{ role: 'user', content }],
    maxTokens: 200,
  };
  return call;
}

/** The frames that one caller received, and the error that ended the stream, if any. */
interface Received {
  readonly frames: ChatFrame[];
  error?: RouterError;
}

async function receive(
  { instance }: LocalInstance,
  call: ChatCall,
  signal = new AbortController().signal,
): Promise<Received> {
  const received: Received = { frames: [] };
  try {
    for await (const frame of instance.chat.run(call, signal)) received.frames.push(frame);
  } catch (error) {
    if (error instanceof RouterError) received.error = error;
    else throw error;
  }
  return received;
}

function recordsOf(fleet: LocalFleet): EngineRecord[] {
  return [...fleet.clients.engines.values()].flatMap((engine) => [...engine.records.values()]);
}

function usedTokens(record: EngineRecord | undefined): number {
  return (record?.promptTokens ?? 0) + (record?.outputTokens ?? 0);
}

/** Whether the frames are the complete stream of one generation, from first token to final frame. */
function isComplete({ frames }: Received): boolean {
  const final = frames.at(-1);
  if (final?.kind !== 'final' || final.outputTokens !== frames.length - 1) return false;
  return frames
    .slice(0, -1)
    .every(
      (frame, index) =>
        frame.kind === 'token' &&
        frame.sequence === index &&
        frame.text === tokenText(final.requestId, index),
    );
}

async function readStatus({ fleet }: Fixture) {
  const [first] = fleet.instances as [LocalInstance];
  return fleet.clock.runUntil(readBudget(first.store, budget));
}

/** Asserts that no tokens of the budget are granted any more once all ledgers are closed. */
async function assertNoTokensReserved(t: ExecutionContext, fixture: Fixture): Promise<void> {
  const { clock, instances } = fixture.fleet;
  for (const { instance } of instances) await clock.runUntil(instance.ledger.closeAll());
  const status = await readStatus(fixture);
  t.is(status.grantedTokens, 0);
}

// Guards against a stream that ends early: the connection to the engine breaks while the engine
// continues to generate. The stream resumes at the next token, without missing or repeated tokens.
test('a stream whose connection breaks resumes on another one', async (t) => {
  const plan: FaultPlan = (_, index) => (index < 3 ? { kind: 'dies', afterTokens: 2 } : undefined);
  const fixture = await createFixture(plan);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const received = await fleet.clock.runUntil(receive(first, chatCall('k1')));
  t.true(isComplete(received));
  t.deepEqual(
    fixture.upstreams[0]?.connections.map(({ kind, offset }) => [kind, offset]),
    [
      ['generate', 0],
      ['resume', 2],
      ['resume', 4],
      ['resume', 6],
    ],
  );
  t.is(recordsOf(fleet).length, 1);
});

// Guards against a stream that hangs for good: a network device between instance and engine drops the
// connection state, and neither end is notified. The time-out learnt from the engine's gaps between
// tokens detects it, and a new connection works.
test('a hanging connection is replaced after the time-out learnt from the engine', async (t) => {
  let isSilent = false;
  const plan: FaultPlan = ({ kind }) =>
    isSilent && kind === 'generate' ? { kind: 'silent', afterTokens: 5 } : undefined;
  const fixture = await createFixture(plan, 1);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  await fleet.clock.runUntil(receive(first, chatCall('teaches the gaps')));
  isSilent = true;
  const startedMs = fleet.clock.monotonicMs();
  const received = await fleet.clock.runUntil(receive(first, chatCall('k1')));
  t.true(isComplete(received));
  // The time-out is at least 1 s; its maximum of 10 s applies before any gap is known.
  t.true(fleet.clock.monotonicMs() - startedMs < 9_000);
  t.is(first.instance.metrics.counter('resumes'), 1);
});

// Guards against a stream that is ended for the silence of its engine, long before its deadline.
test('a stream whose engine pauses for 40 s goes on afterwards', async (t) => {
  const fixture = await createFixture(noFaults, 1);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  await fleet.clock.runUntil(receive(first, chatCall('teaches the gaps')));
  const [engine] = [...fleet.clients.engines.values()] as [StandinEngine];
  const received = receive(first, chatCall('k1'));
  await fleet.clock.advance(400);
  // The next token follows after 2,000 times the usual gap of 20 ms.
  engine.slowFactor = 2_000;
  await fleet.clock.advance(1_000);
  engine.slowFactor = 1;
  const { frames, error } = await fleet.clock.runUntil(received);
  t.is(error, undefined);
  t.true(isComplete({ frames }));
  t.is(recordsOf(fleet).length, 2);
});

// Guards against a connection that lives and is closed before another one has given anything.
test('a stream goes on over its connection if those that were to replace it stay silent', async (t) => {
  const plan: FaultPlan = ({ kind }) =>
    kind === 'resume' ? { kind: 'silent', afterTokens: 0 } : undefined;
  const fixture = await createFixture(plan, 1);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  await fleet.clock.runUntil(receive(first, chatCall('teaches the gaps')));
  const [engine] = [...fleet.clients.engines.values()] as [StandinEngine];
  const received = receive(first, chatCall('k1'));
  await fleet.clock.advance(400);
  engine.slowFactor = 200;
  await fleet.clock.advance(1_000);
  engine.slowFactor = 1;
  t.true(isComplete(await fleet.clock.runUntil(received)));
});

// Guards against a request that fails because its engine accepts the prompt and never responds, on any
// connection. No token was passed on, so another engine may respond within the deadline of the class.
test('a request moves to another engine if its engine accepts it and never responds', async (t) => {
  let silentEngineId: string | undefined;
  const plan: FaultPlan = ({ engineId }) => {
    silentEngineId ??= engineId;
    return engineId === silentEngineId ? { kind: 'silent', afterTokens: 0 } : undefined;
  };
  const fixture = await createFixture(plan);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const call = { ...chatCall('k1', 'shift'), maxTokens: 20 };
  const received = await fleet.clock.runUntil(receive(first, call));
  t.true(isComplete(received));
  t.is(fixture.upstreams[0]?.cancelled.length, 1);
  t.is((await readStatus(fixture)).bills, 1);
  await assertNoTokensReserved(t, fixture);
});

// Guards against a request that is ended since all engines are silent at once, long before its deadline: no engine
// may be given up for another one that has given nothing.
test('a request whose engines all pause before the first token waits for them', async (t) => {
  const fixture = await createFixture(noFaults, 3);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const engines = [...fleet.clients.engines.values()];
  // Reading the prompt takes 4.5 s instead of 250 ms; another engine that begins after 2 s is not done in time.
  for (const engine of engines) engine.slowFactor = 18;
  const call = { ...chatCall('k1', 'shift', 'x'.repeat(4_000)), maxTokens: 5 };
  const received = receive(first, call);
  await fleet.clock.advance(4_000);
  for (const engine of engines) engine.slowFactor = 1;
  const { frames, error } = await fleet.clock.runUntil(received);
  t.is(error, undefined);
  t.true(isComplete({ frames }));
  t.true(recordsOf(fleet).length <= 3, `sent to ${recordsOf(fleet).length} engines`);
  t.is((await readStatus(fixture)).bills, 1);
  await assertNoTokensReserved(t, fixture);
});

// Guards against a stream that mixes two generations: an engine is lost for good after some tokens, and
// its request is run again on another engine. The caller must get an error at once instead.
test('a stream that broke off after a token is never continued by another engine', async (t) => {
  const plan: FaultPlan = ({ kind }) =>
    kind === 'generate' ? { kind: 'dies', afterTokens: 3 } : { kind: 'refused' };
  const fixture = await createFixture(plan);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const received = await fleet.clock.runUntil(receive(first, chatCall('k1')));
  t.is(received.frames.length, 3);
  t.like(received.error, { kind: 'upstreamUnavailable', ran: 'unknown' });
  t.is(new Set(fixture.upstreams[0]?.connections.map(({ engineId }) => engineId)).size, 1);
  // A request that an upstream failed is not billed; its retry is billed, once.
  t.is((await readStatus(fixture)).bills, 0);
  await assertNoTokensReserved(t, fixture);
});

// Guards against a caller that is answered "not run", sends the prompt again under a new key and pays twice:
// the second engine refuses the request, but the first one had accepted it before its connection
// broke.
test('a refusal after a dispatch that may have run is not reported as not run', async (t) => {
  const plan: FaultPlan = ({ kind }, index) =>
    index === 0 && kind === 'generate' ? { kind: 'dies', afterTokens: 0 } : { kind: 'refused' };
  const fixture = await createFixture(plan);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const received = await fleet.clock.runUntil(receive(first, chatCall('k1')));
  t.like(received.error, { kind: 'upstreamUnavailable', ran: 'unknown' });
  await assertNoTokensReserved(t, fixture);
});

test('a request that no engine accepted is reported as not run, for this attempt', async (t) => {
  const fixture = await createFixture(() => ({ kind: 'refused' }));
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const received = await fleet.clock.runUntil(receive(first, chatCall('k1')));
  t.like(received.error, { kind: 'upstreamUnavailable', ran: 'notRun', claimScope: 'attempt' });
  t.is(recordsOf(fleet).length, 0);
  await assertNoTokensReserved(t, fixture);
});

// Guards against a stream that outlives the total deadline of its class. It ends with an explicit error,
// the engine stops, and what was generated is billed once.
test('the total deadline of the class ends a running stream', async (t) => {
  const fixture = await createFixture(noFaults, 1, 100);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const call = { ...chatCall('k1', 'shift', 'x'.repeat(400)), maxTokens: 2_000 };
  const startedMs = fleet.clock.monotonicMs();
  const received = await fleet.clock.runUntil(receive(first, call));
  t.is(fleet.clock.monotonicMs() - startedMs, 6_000);
  t.like(received.error, { kind: 'deadlineExceeded', ran: 'unknown' });
  await fleet.clock.advance(1_000);
  const [record] = recordsOf(fleet);
  t.is(record?.state, 'cancelled');
  t.is(record?.outputTokens, received.frames.length);
  const status = await readStatus(fixture);
  t.deepEqual([status.bills, status.settledTokens], [1, usedTokens(record)]);
  await assertNoTokensReserved(t, fixture);
});

// Guards against callers that avoid payment by closing the connection just before the end. The
// generation continues for a moment, ends, and is billed in full; the retry is not billed again.
test('a caller that disconnects near the end is billed the whole response, once', async (t) => {
  const fixture = await createFixture(noFaults, 1);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const abort = new AbortController();
  const call = { ...chatCall('k1'), maxTokens: 40 };
  const disconnected = receive(first, call, abort.signal);
  await fleet.clock.advance(300);
  abort.abort();
  t.like((await fleet.clock.runUntil(disconnected)).error, { kind: 'cancelled', ran: 'unknown' });
  const again = await fleet.clock.runUntil(receive(first, call));
  t.true(isComplete(again));
  const status = await readStatus(fixture);
  const [record] = recordsOf(fleet);
  t.is(status.bills, 1);
  t.is(status.settledTokens, usedTokens(record));
  t.is(recordsOf(fleet).length, 1);
  await assertNoTokensReserved(t, fixture);
});

// Guards against engine time spent on a response that nobody reads, while other requests wait. The
// caller disconnects early and does not return soon: the engine stops, what was generated is billed,
// and a later retry adds nothing to the bill.
test('a caller that disconnects early is billed what was generated', async (t) => {
  const fixture = await createFixture(noFaults, 1, 100);
  await using fleet = fixture.fleet;
  const [first, second] = fleet.instances as [LocalInstance, LocalInstance];
  const abort = new AbortController();
  const call = { ...chatCall('k1', 'review', 'x'.repeat(400)), maxTokens: 2_000 };
  const disconnected = receive(first, call, abort.signal);
  await fleet.clock.advance(1_000);
  abort.abort();
  t.like((await fleet.clock.runUntil(disconnected)).error, { kind: 'cancelled' });
  await fleet.clock.advance(7_000);
  t.is(first.instance.openWork, 0);
  const [record] = recordsOf(fleet);
  t.is(record?.state, 'cancelled');
  const billedTokens = (await readStatus(fixture)).settledTokens;
  t.is(billedTokens, usedTokens(record));
  const again = await fleet.clock.runUntil(receive(second, call));
  t.true(isComplete(again));
  t.is((await readStatus(fixture)).settledTokens, billedTokens);
  await assertNoTokensReserved(t, fixture);
});

// Guards against a charge for four times the tokens of a prompt: the engine did not report its prompt
// tokens, and their upper bound was billed instead. Without a report, only the tokens received are
// billed.
test('the usage of an engine that reports none is not estimated', async (t) => {
  const fixture = await createFixture(noFaults, 1, 100);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const [upstreams] = fixture.upstreams as [FaultyUpstreams];
  upstreams.isReportingUsage = false;
  const call = { ...chatCall('k1', 'shift', 'x'.repeat(400)), maxTokens: 2_000 };
  const received = await fleet.clock.runUntil(receive(first, call));
  await fleet.clock.advance(1_000);
  t.like(received.error, { kind: 'deadlineExceeded' });
  t.is((await readStatus(fixture)).settledTokens, received.frames.length);
  await assertNoTokensReserved(t, fixture);
});

// Guards against unbounded memory use when an engine generates without end. The stream ends with an
// error at the maximum length that was requested.
test('a stream ends when its engine exceeds the requested maximum of tokens', async (t) => {
  const fixture = await createFixture(noFaults, 1);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const [upstreams] = fixture.upstreams as [FaultyUpstreams];
  upstreams.isIgnoringMaxTokens = true;
  const received = await fleet.clock.runUntil(receive(first, { ...chatCall('k1'), maxTokens: 10 }));
  t.is(received.frames.length, 10);
  t.like(received.error, { kind: 'upstreamFailed', ran: 'unknown' });
  await assertNoTokensReserved(t, fixture);
});

// Guards against two runs and two charges for a call that is sent twice, and against a second reader
// that misses the beginning of the stream.
test('the same call with the same key joins the running stream', async (t) => {
  const fixture = await createFixture(noFaults);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const one = receive(first, chatCall('k1'));
  await fleet.clock.advance(200);
  const two = receive(first, chatCall('k1'));
  const received = await fleet.clock.runUntil(Promise.all([one, two]));
  t.deepEqual(received.map(isComplete), [true, true]);
  t.is(recordsOf(fleet).length, 1);
  t.is((await readStatus(fixture)).bills, 1);
  await assertNoTokensReserved(t, fixture);
});

// Guards against a retry that is refused for lack of tokens to reserve, although it costs nothing: the
// first attempt used the last tokens of the budget, and its end was lost with its instance.
test('a retry at another instance gets the response that used up its budget', async (t) => {
  const fixture = await createFixture(noFaults);
  await using fleet = fixture.fleet;
  const [first, second] = fleet.instances as [LocalInstance, LocalInstance];
  const lastCall = { ...chatCall('k1'), budgetId: 'one-answer' as BudgetId };
  t.true(isComplete(await fleet.clock.runUntil(receive(first, lastCall))));
  const again = await fleet.clock.runUntil(receive(second, lastCall));
  t.true(isComplete(again));
  t.like(again.frames.at(-1), { isRepeat: true });
  const other = await fleet.clock.runUntil(
    receive(second, { ...lastCall, model: 'small', maxTokens: 199 }),
  );
  t.like(other.error, { kind: 'keyReused', ran: 'notRun' });
  const next = await fleet.clock.runUntil(receive(second, { ...lastCall, idempotencyKey: 'k2' }));
  t.like(next.error, { kind: 'budgetExhausted', ran: 'notRun', claimScope: 'attempt' });
  const lastBudget = { ...budget, budgetId: lastCall.budgetId };
  const status = await fleet.clock.runUntil(readBudget(first.store, lastBudget));
  t.is(status.bills, 1);
});

// Guards against a response to the wrong prompt when a client reuses an idempotency key. The same
// instance refuses the second prompt before the first token; at another instance the bill reveals the
// reuse, and the caller gets an error instead of a final frame.
test('a key used for another body is refused at the same and at another instance', async (t) => {
  const fixture = await createFixture(noFaults);
  await using fleet = fixture.fleet;
  const [first, second] = fleet.instances as [LocalInstance, LocalInstance];
  await fleet.clock.runUntil(receive(first, chatCall('k1')));
  const other = chatCall('k1', 'review', 'another question');
  const here = await fleet.clock.runUntil(receive(first, other));
  t.is(here.frames.length, 0);
  t.like(here.error, { kind: 'keyReused', ran: 'notRun', claimScope: 'attempt' });
  const elsewhere = await fleet.clock.runUntil(receive(second, other));
  t.like(elsewhere.error, { kind: 'keyReused', ran: 'ran' });
  t.true(elsewhere.frames.every((frame) => frame.kind === 'token'));
  t.is((await readStatus(fixture)).bills, 1);
  await assertNoTokensReserved(t, fixture);
});

// Guards against a request that waits for its reservation beyond the first-token deadline while the
// store does not respond. Tokens that are reserved later are returned.
test('the first-token deadline applies while tokens are reserved', async (t) => {
  const fixture = await createFixture(noFaults);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  first.store.link.delayMs = 3_000;
  const startedMs = fleet.clock.monotonicMs();
  const received = await fleet.clock.runUntil(receive(first, chatCall('k1', 'shift')));
  t.is(fleet.clock.monotonicMs() - startedMs, 4_000);
  t.like(received.error, { kind: 'deadlineExceeded', ran: 'notRun', claimScope: 'attempt' });
  await fleet.clock.advance(5_000);
  first.store.link.delayMs = 0;
  t.is(recordsOf(fleet).length, 0);
  await assertNoTokensReserved(t, fixture);
});

// Guards against a caller that waits for the final frame during a store outage of ten minutes, which
// begins while the response streams. After the deadline of its class the caller is notified that the
// request ran and when to retry; the retry gets the complete response, and there is one bill.
test('a caller does not wait for a bill beyond the deadline', async (t) => {
  const fixture = await createFixture(noFaults);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const startedMs = fleet.clock.monotonicMs();
  const running = receive(first, chatCall('k1', 'shift'));
  await fleet.clock.advance(100);
  first.store.link.isDown = true;
  const received = await fleet.clock.runUntil(running);
  t.like(received.error, { kind: 'storeUnavailable', ran: 'ran', claimScope: 'request' });
  t.is(typeof received.error?.retryAfterMs, 'number');
  t.true(fleet.clock.monotonicMs() - startedMs < 600_000);
  await fleet.clock.advance(600_000);
  first.store.link.isDown = false;
  await fleet.clock.advance(60_000);
  const again = await fleet.clock.runUntil(receive(first, chatCall('k1', 'shift')));
  t.true(isComplete(again));
  t.is(recordsOf(fleet).length, 1);
  t.is((await readStatus(fixture)).bills, 1);
  await assertNoTokensReserved(t, fixture);
});
