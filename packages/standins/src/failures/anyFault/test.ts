import test from 'ava';
import { digestText, RouterError, type BudgetId, type ClassName } from '@acaciacrank/base';
import type { ChatCall, ChatFrame } from '@acaciacrank/callers';
import { FixedGrantPolicy, readBudget } from '@acaciacrank/ledger';
import fc from 'fast-check';
import {
  FaultyUpstreams,
  type ConnectionFault,
  type FaultPlan,
} from '../../_lib/FaultyUpstreams/index.js';
import {
  createLocalFleet,
  type LocalFleet,
  type LocalInstance,
} from '../../createLocalFleet/index.js';
import { tokenText } from '../../StandinEngine/index.js';

const document = `environment: test
classes:
  - { name: review, firstTokenDeadlineMs: 20000, totalDeadlineMs: 60000 }
services:
  - { name: tutor, kind: engines, models: [small], checksFencing: true, maxOutputTokens: 60 }
  - { name: records, kind: plain }
accounts:
  - id: one
    keyDigests: [${digestText('secret')}]
    budgets:
      - { id: one-2026, openingTokens: 100000 }
`;
/** The budget to read; its `openingTokens` affect none of the values that are checked. */
const budget = { accountId: 'one' as never, budgetId: 'one-2026' as BudgetId, openingTokens: 0 };

/** One caller: when it disconnects, and the index of the instance at which it retries, if it does. */
interface CallerPlan {
  readonly disconnectsAfterMs: number | undefined;
  readonly retryInstanceIndex: number | undefined;
}

const faultArbitrary = fc.option(
  fc.oneof(
    fc.constant<ConnectionFault>({ kind: 'refused' }),
    fc.record({
      kind: fc.constantFrom('dies' as const, 'silent' as const),
      afterTokens: fc.integer({ min: 0, max: 12 }),
    }),
  ),
  { nil: undefined, freq: 2 },
);
const callerArbitrary = fc.record<CallerPlan>({
  disconnectsAfterMs: fc.option(fc.integer({ min: 0, max: 4_000 }), { nil: undefined }),
  retryInstanceIndex: fc.option(fc.integer({ min: 0, max: 1 }), { nil: undefined }),
});

/**
 * Applies the faults in the order of the connections. The engine of the first connection is lost for
 * good: it refuses its connections from the index `lostFromIndex` on.
 */
function createFaultPlan(
  plan: readonly (ConnectionFault | undefined)[],
  lostFromIndex: number,
): FaultPlan {
  let lostEngineId: string | undefined;
  return ({ engineId }, index) => {
    lostEngineId ??= engineId;
    return engineId === lostEngineId && index >= lostFromIndex ? { kind: 'refused' } : plan[index];
  };
}

interface Received {
  readonly frames: ChatFrame[];
  error: unknown;
}

async function receive({ instance }: LocalInstance, call: ChatCall, signal: AbortSignal) {
  const received: Received = { frames: [], error: undefined };
  try {
    for await (const frame of instance.chat.run(call, signal)) received.frames.push(frame);
  } catch (error) {
    received.error = error;
  }
  return received;
}

async function runCaller(
  fleet: LocalFleet,
  index: number,
  { disconnectsAfterMs, retryInstanceIndex }: CallerPlan,
) {
  const call: ChatCall = {
    accountKey: 'secret',
    budgetId: budget.budgetId,
    className: 'review' as ClassName,
    idempotencyKey: `k${index}`,
    model: 'small',
    messages: [{ role: 'user', content: `question ${index}` }],
    maxTokens: 60,
  };
  const [first] = fleet.instances as [LocalInstance];
  const abort = new AbortController();
  if (disconnectsAfterMs !== undefined) {
    fleet.clock.schedule(disconnectsAfterMs, () => {
      abort.abort();
    });
  }
  const received = [await receive(first, call, abort.signal)];
  const retryInstance =
    retryInstanceIndex === undefined ? undefined : fleet.instances[retryInstanceIndex];
  if (retryInstance !== undefined)
    received.push(await receive(retryInstance, call, new AbortController().signal));
  return received;
}

/** Returns the first invariant that a stream violates, or undefined. */
function findViolation({ frames, error }: Received): string | undefined {
  const final = frames.find((frame) => frame.kind === 'final');
  const tokens = frames.filter((frame) => frame.kind === 'token');
  const isSpliced = tokens.some(({ requestId, sequence, text }, index) => {
    return (
      requestId !== tokens[0]?.requestId ||
      sequence !== index ||
      text !== tokenText(requestId, index)
    );
  });
  if (isSpliced) return 'tokens of more than one stream, or out of order';
  if (final === undefined) {
    if (!(error instanceof RouterError))
      return 'ended with neither a final frame nor a RouterError';
    return tokens.length > 0 && error.ran === 'notRun'
      ? 'reported as not run after a token'
      : undefined;
  }
  if (error !== undefined) return 'error after the final frame';
  return final.outputTokens === tokens.length
    ? undefined
    : 'final frame with a wrong number of tokens';
}

// Guards against streams that mix two generations, requests that are billed twice, and tokens that stay
// reserved. Connections to engines are refused, break and hang in any order; callers disconnect, and
// retry at any instance.
test('under any faults of connections and callers, responses are complete and billed once', async (t) => {
  const runScenario = async (plan: FaultPlan, callers: CallerPlan[]) => {
    await using fleet = await createLocalFleet({
      document,
      instanceOptions: { grantPolicy: new FixedGrantPolicy(2_000) },
      wrap: (parts) => ({
        ...parts,
        clients: new FaultyUpstreams(parts.clients, plan),
      }),
    });
    const pending = callers.map((caller, index) => runCaller(fleet, index, caller));
    const received = (await fleet.clock.runUntil(Promise.all(pending))).flat();
    await fleet.clock.advance(120_000);
    for (const { instance } of fleet.instances) {
      if (instance.openWork > 0) return 'open work left';
      await fleet.clock.runUntil(instance.ledger.closeAll());
    }
    const [first] = fleet.instances as [LocalInstance];
    const status = await fleet.clock.runUntil(readBudget(first.store, budget));
    const finals = new Set(
      received.flatMap(({ frames }) => frames.filter(({ kind }) => kind === 'final')),
    );
    if (status.grantedTokens > 0) return 'tokens still reserved';
    if (status.bills > callers.length) return 'more bills than requests';
    if (finals.size > 0 && status.bills === 0) return 'response without a bill';
    return received.map(findViolation).find((violation) => violation !== undefined);
  };
  const property = fc.asyncProperty(
    fc.array(faultArbitrary, { maxLength: 20 }),
    fc.integer({ min: 1, max: 20 }),
    fc.array(callerArbitrary, { minLength: 1, maxLength: 4 }),
    async (plan, lostFromIndex, callers) =>
      (await runScenario(createFaultPlan(plan, lostFromIndex), callers)) === undefined,
  );
  await t.notThrowsAsync(fc.assert(property, { seed: 9, numRuns: 50 }));
});
