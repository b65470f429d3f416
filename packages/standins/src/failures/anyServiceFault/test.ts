import test from 'ava';
import { digestText, RouterError, type BudgetId, type ClassName } from '@acaciacrank/base';
import type { ServiceCall } from '@acaciacrank/callers';
import { FixedGrantPolicy, readBudget } from '@acaciacrank/ledger';
import fc from 'fast-check';
import { FaultyUpstreams, type ServiceFault } from '../../_lib/FaultyUpstreams/index.js';
import {
  createLocalFleet,
  type LocalFleet,
  type LocalInstance,
} from '../../createLocalFleet/index.js';

const document = `environment: test
classes:
  - { name: records, firstTokenDeadlineMs: 2000, totalDeadlineMs: 5000 }
services:
  - { name: tutor, kind: engines, models: [small], checksFencing: true }
  - { name: records, kind: plain, tokensPerCall: 5 }
accounts:
  - id: one
    keyDigests: [${digestText('secret')}]
    budgets:
      - { id: one-2026, openingTokens: 1000 }
`;
/** The budget to read; its `openingTokens` affect none of the values that are checked. */
const budget = { accountId: 'one' as never, budgetId: 'one-2026' as BudgetId, openingTokens: 0 };

/**
 * One attempt of a caller: the index of the instance, the wait after the previous attempt, and when the
 * caller disconnects.
 */
interface Attempt {
  readonly at: number;
  readonly waitMs: number;
  readonly disconnectsAfterMs: number | undefined;
}

const attemptArbitrary = fc.record<Attempt>({
  at: fc.integer({ min: 0, max: 1 }),
  waitMs: fc.integer({ min: 0, max: 3_000 }),
  disconnectsAfterMs: fc.option(fc.integer({ min: 0, max: 100 }), { nil: undefined }),
});
const faultArbitrary = fc.option(
  fc.constantFrom<ServiceFault>('refused', 'refused', 'busy', 'answerLost', 'silent'),
  { nil: undefined, freq: 2 },
);
/** A store outage of one instance: its index, the start in milliseconds, and the duration. */
const outageArbitrary = fc.record({
  at: fc.integer({ min: 0, max: 1 }),
  fromMs: fc.integer({ min: 0, max: 4_000 }),
  forMs: fc.integer({ min: 1, max: 3_000 }),
});

/** The error of one attempt, if any, and how often the call had run by then. */
interface AttemptResult {
  readonly error: RouterError | undefined;
  readonly runsSoFar: number;
}

function countRuns(fleet: LocalFleet): number {
  return [...fleet.clients.services.values()].reduce((sum, { runs }) => sum + runs.length, 0);
}

async function runAttempt(
  fleet: LocalFleet,
  { at, waitMs, disconnectsAfterMs }: Attempt,
): Promise<AttemptResult> {
  const call: ServiceCall = {
    accountKey: 'secret',
    budgetId: budget.budgetId,
    className: 'records' as ClassName,
    idempotencyKey: 'confirmation',
    service: 'records',
    method: 'POST',
    path: '/confirmations',
    headers: {},
    body: Buffer.from('{}'),
  };
  await fleet.clock.sleep(waitMs);
  const abort = new AbortController();
  if (disconnectsAfterMs !== undefined) {
    fleet.clock.schedule(disconnectsAfterMs, () => {
      abort.abort();
    });
  }
  try {
    await fleet.instances[at]?.instance.services.run(call, abort.signal);
    return { error: undefined, runsSoFar: countRuns(fleet) };
  } catch (error) {
    if (error instanceof RouterError) return { error, runsSoFar: countRuns(fleet) };
    throw error;
  }
}

// Guards against a call that runs or is billed twice, and against "not run" for a call that ran. A caller
// repeats one call at two instances while services refuse it, break the connection or hang, and
// instances lose the store.
test('under any faults, a call runs at most once and is billed at most once', async (t) => {
  const runScenario = async (
    plan: (ServiceFault | undefined)[],
    attempts: Attempt[],
    outages: { at: number; fromMs: number; forMs: number }[],
  ) => {
    await using fleet = await createLocalFleet({
      document,
      services: 2,
      instanceOptions: { grantPolicy: new FixedGrantPolicy(50) },
      wrap: (parts) => ({
        ...parts,
        clients: new FaultyUpstreams(
          parts.clients,
          () => undefined,
          (_, index) => plan[index],
        ),
      }),
    });
    for (const { at, fromMs, forMs } of outages) {
      const link = fleet.instances[at]?.store.link;
      if (link === undefined) continue;
      fleet.clock.schedule(fromMs, () => {
        link.isDown = true;
      });
      fleet.clock.schedule(fromMs + forMs, () => {
        link.isDown = false;
      });
    }
    const results = await fleet.clock.runUntil(
      (async () => {
        const attemptResults: AttemptResult[] = [];
        for (const attempt of attempts) attemptResults.push(await runAttempt(fleet, attempt));
        return attemptResults;
      })(),
    );
    await fleet.clock.advance(120_000);
    for (const { instance } of fleet.instances) {
      if (instance.openWork > 0) return 'open work left';
      await fleet.clock.runUntil(instance.ledger.closeAll());
    }
    const [first] = fleet.instances as [LocalInstance];
    const status = await fleet.clock.runUntil(readBudget(first.store, budget));
    const runs = countRuns(fleet);
    const isAnswered = results.some(({ error }) => error === undefined);
    const isUncertain = results.some(({ error }) => error !== undefined && error.ran !== 'notRun');
    if (status.grantedTokens > 0) return 'tokens still reserved';
    if (runs > 1) return 'ran twice';
    if (status.bills > 1 || status.bills < runs) return `${runs} runs and ${status.bills} bills`;
    if (status.bills > runs && !isAnswered && !isUncertain)
      return 'billed although every attempt reported that the call did not run';
    const isFalseNotRun = ({ error, runsSoFar }: AttemptResult) =>
      runsSoFar > 0 && error?.ran === 'notRun' && error.claimScope === 'request';
    return results.some(isFalseNotRun) ? 'reported as not run although it ran' : undefined;
  };
  const property = fc.asyncProperty(
    fc.array(faultArbitrary, { maxLength: 8 }),
    fc.array(attemptArbitrary, { minLength: 1, maxLength: 4 }),
    fc.array(outageArbitrary, { maxLength: 2 }),
    async (plan, attempts, outages) => {
      const violation = await runScenario(plan, attempts, outages);
      if (violation !== undefined) throw new Error(violation);
    },
  );
  await t.notThrowsAsync(fc.assert(property, { seed: 3, numRuns: 30 }));
});
