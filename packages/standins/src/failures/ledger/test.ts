/**
 * Property-based test: random sequences of reservations, bills, lost responses, crashes and network
 * partitions, checked against a reference model of a budget.
 */
import test from 'ava';
import {
  createRandom,
  ManualClock,
  type AccountId,
  type BudgetId,
  type InstanceId,
  type RequestId,
  type RequestKey,
} from '@acaciacrank/base';
import {
  BudgetLedger,
  DemandGrantPolicy,
  EqualSplitGrantPolicy,
  FixedGrantPolicy,
  pageKeyOf,
  parsePage,
  topUpBudget,
  type GrantPolicy,
  type PageBudget,
  type Reservation,
} from '@acaciacrank/ledger';
import type { WriteCondition, WriteResult } from '@acaciacrank/store';
import fc from 'fast-check';
import { LocalGrantNetwork } from '../../LocalGrantNetwork/index.js';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';

const budget = { accountId: 'a' as AccountId, budgetId: 'b' as BudgetId, openingTokens: 1_500 };
const instanceCount = 3;
const grantLifetimeMs = 20_000;
const longestRequestMs = 30_000;
const maxSkewMs = 1_000;

type Action =
  | { kind: 'reserve'; at: number; tokens: number }
  | { kind: 'settle'; pick: number; share: number }
  | { kind: 'settleElsewhere'; pick: number; at: number }
  | { kind: 'release'; pick: number }
  | { kind: 'topUp'; id: number; tokens: number }
  | { kind: 'loseAnswers'; at: number; answers: number }
  | { kind: 'cutStore' | 'healStore' | 'crash'; at: number }
  | { kind: 'cutLinks' | 'healLinks' }
  | { kind: 'wait'; ms: number };

const at = fc.nat(instanceCount - 1);
const pick = fc.nat(7);
const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('reserve' as const),
      at,
      tokens: fc.integer({ min: 1, max: 400 }),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('settle' as const),
      pick,
      share: fc.double({ min: 0, max: 1, noNaN: true }),
    }),
  },
  fc.record({ kind: fc.constant('settleElsewhere' as const), pick, at }),
  fc.record({ kind: fc.constant('release' as const), pick }),
  fc.record({
    kind: fc.constant('topUp' as const),
    id: fc.nat(2),
    tokens: fc.integer({ min: 1, max: 500 }),
  }),
  fc.record({
    kind: fc.constant('loseAnswers' as const),
    at,
    answers: fc.integer({ min: 1, max: 3 }),
  }),
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constantFrom('cutStore', 'cutStore', 'healStore'), at }),
  },
  fc.record({ kind: fc.constant('crash' as const), at }),
  fc.record({ kind: fc.constantFrom('cutLinks', 'healLinks') }),
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.constantFrom(10, 400, 3_000, 25_000),
    }),
  },
);

/** Reference model of a budget, without instances, grants or faults. */
class ReferenceBudget {
  prepaidTokens = budget.openingTokens;
  readonly #topUps = new Set<number>();
  /** Per request key, the amounts that its attempts tried to bill; at most one of them may be billed. */
  readonly attempts = new Map<string, number[]>();

  topUp(id: number, tokens: number): void {
    if (!this.#topUps.has(id)) this.prepaidTokens += tokens;
    this.#topUps.add(id);
  }

  attempt(key: string, tokens: number): void {
    this.attempts.set(key, [...(this.attempts.get(key) ?? []), tokens]);
  }
}

/** A platform that checks every version of the page when it is written. */
class CheckedPlatform extends MemoryPlatform {
  readonly violations: string[] = [];
  readonly #reference: ReferenceBudget;

  constructor(clock: ManualClock, reference: ReferenceBudget) {
    super(clock);
    this.#reference = reference;
  }

  override write(key: string, value: unknown, condition: WriteCondition): WriteResult {
    const result = super.write(key, value, condition);
    if (result.outcome === 'written') this.#check(parsePage(key, value).budgets.b);
    return result;
  }

  #check(page: PageBudget | undefined): void {
    if (page === undefined) return;
    const grantedTokens = sum(Object.values(page.grants).map((grant) => grant.tokens));
    const billedTokens = sum(Object.values(page.bills).map((bill) => bill.tokens));
    if (page.settledTokens + grantedTokens > this.#reference.prepaidTokens) {
      this.violations.push(`${page.settledTokens} settled and ${grantedTokens} granted`);
    }
    if (billedTokens !== page.settledTokens)
      this.violations.push('settled tokens differ from billed tokens');
  }
}

interface OpenRequest {
  readonly number: number;
  readonly ledger: BudgetLedger;
  readonly reservation: Reservation;
  readonly sinceMs: number;
  isSettling: boolean;
  heldTokens: number;
  /** Whether the reservation was released or its bill was written. */
  isEnded: boolean;
}

/** Instances, platform and reference model of one sequence of actions. */
class Run {
  readonly clock = new ManualClock();
  readonly reference = new ReferenceBudget();
  readonly platform = new CheckedPlatform(this.clock, this.reference);
  readonly #makePolicy: () => GrantPolicy;
  readonly #network = new LocalGrantNetwork({
    clock: this.clock,
    isConnected: () => this.#areLinksUp,
  });
  readonly #instances: { store: MemoryObjectStore; ledger: BudgetLedger }[] = [];
  readonly #openRequests: OpenRequest[] = [];
  #areLinksUp = true;
  #startedCount = 0;
  #requestCount = 0;
  readonly violations: string[] = [];

  constructor(makePolicy: () => GrantPolicy) {
    this.#makePolicy = makePolicy;
    for (let index = 0; index < instanceCount; index += 1) this.#instances.push(this.start());
  }

  start(): { store: MemoryObjectStore; ledger: BudgetLedger } {
    this.#startedCount += 1;
    const store = new MemoryObjectStore(this.platform, this.clock);
    store.link.delayMs = 2;
    const instanceId = `i${this.#startedCount}` as InstanceId;
    const ledger = new BudgetLedger({
      store,
      clock: this.clock,
      random: createRandom(this.#startedCount),
      instanceId,
      incarnation: '1',
      policy: this.#makePolicy(),
      peers: this.#network.peersOf(instanceId),
      grantLifetimeMs,
      longestRequestMs,
      maxSkewMs,
      keyProtectionMs: Infinity,
    });
    return { store, ledger };
  }

  async perform(step: Action): Promise<void> {
    this.#start(step);
    await this.clock.advance(step.kind === 'wait' ? step.ms : 1);
  }

  /** Repairs all links, waits for bills to be written, stops the instances, and lets all grants expire. */
  async end(): Promise<void> {
    this.#areLinksUp = true;
    for (const { store } of this.#instances) store.link.isDown = false;
    await this.clock.advance(60_000);
    for (const { ledger } of this.#instances) ledger[Symbol.dispose]();
    await this.clock.advance(grantLifetimeMs + longestRequestMs + maxSkewMs + 60_000);
  }

  #start(step: Action): void {
    switch (step.kind) {
      case 'reserve':
        void this.#reserve(step.at, step.tokens);
        return;
      case 'settle':
        void this.#settle(this.#selectUnsettled(step.pick), step.share);
        return;
      case 'settleElsewhere':
        void this.#settleElsewhere(step.pick, step.at);
        return;
      case 'release':
        this.#release(this.#selectUnsettled(step.pick));
        return;
      case 'topUp':
        this.reference.topUp(step.id, step.tokens);
        void topUpBudget(
          new MemoryObjectStore(this.platform, this.clock),
          this.clock,
          budget,
          `t${step.id}`,
          step.tokens,
        );
        return;
      case 'cutLinks':
      case 'healLinks':
        this.#areLinksUp = step.kind === 'healLinks';
        return;
      case 'wait':
        return;
      default:
        this.#applyFault(step);
    }
  }

  #applyFault(step: Extract<Action, { at: number }>): void {
    const instance = this.#instances[step.at];
    if (instance === undefined) return;
    const { link } = instance.store;
    if (step.kind === 'loseAnswers') link.responsesToLose += step.answers;
    if (step.kind === 'cutStore' || step.kind === 'crash') link.isDown = true;
    if (step.kind === 'healStore') link.isDown = false;
    if (step.kind !== 'crash') return;
    instance.ledger[Symbol.dispose]();
    this.#instances[step.at] = this.start();
  }

  async #reserve(index: number, tokens: number): Promise<void> {
    const ledger = this.#instances[index]?.ledger;
    if (ledger === undefined) return;
    const reservation = await ledger.reserve(budget, tokens).catch(() => undefined);
    if (reservation === undefined) return;
    this.#requestCount += 1;
    const sinceMs = this.clock.monotonicMs();
    this.#openRequests.push({
      number: this.#requestCount,
      ledger,
      reservation,
      sinceMs,
      isSettling: false,
      heldTokens: tokens,
      isEnded: false,
    });
    this.#checkCommitments();
  }

  /**
   * Checks that billed tokens and tokens reserved for running requests never exceed the prepaid ones.
   * A request of a crashed instance counts until its grant has returned to the budget.
   */
  #checkCommitments(): void {
    const nowMs = this.clock.monotonicMs();
    const running = this.#openRequests.filter(
      (open) => !open.isEnded && nowMs - open.sinceMs < longestRequestMs,
    );
    const committedTokens = sum(running.map((open) => open.heldTokens));
    const stored = this.platform.read(pageKeyOf(budget));
    const settledTokens = parsePage('', stored?.value).budgets.b?.settledTokens ?? 0;
    if (settledTokens + committedTokens <= this.reference.prepaidTokens) return;
    this.violations.push(`${settledTokens} settled and ${committedTokens} reserved`);
  }

  #selectUnsettled(unsettledIndex: number): OpenRequest | undefined {
    return this.#openRequests.filter((open) => !open.isSettling)[unsettledIndex];
  }

  #release(open: OpenRequest | undefined): void {
    if (open === undefined) return;
    open.isSettling = true;
    open.isEnded = true;
    open.ledger.release(open.reservation);
  }

  async #settle(open: OpenRequest | undefined, share: number): Promise<void> {
    if (open === undefined) return;
    open.isSettling = true;
    const tokens = Math.round(open.reservation.tokens * share);
    // The bill may be in the page before its response arrives.
    open.heldTokens = 0;
    const bill = await this.#bill(open.ledger, open.reservation, open.number, tokens);
    open.isEnded = true;
    // While the grant cannot have returned to its budget yet, the bill must cover all tokens.
    const isInTime = this.clock.monotonicMs() - open.sinceMs < longestRequestMs;
    if (isInTime && bill.unbillableTokens > 0) this.violations.push(`k${open.number}`);
  }

  /** Bills the same key at another instance, as a retry does while the first attempt still runs. */
  async #settleElsewhere(unsettledIndex: number, index: number): Promise<void> {
    const first = this.#selectUnsettled(unsettledIndex);
    const ledger = this.#instances[index]?.ledger;
    if (first === undefined || ledger === undefined) return;
    const { tokens } = first.reservation;
    const reservation = await ledger.reserve(budget, tokens).catch(() => undefined);
    if (reservation === undefined) return;
    await this.#bill(ledger, reservation, first.number, tokens);
  }

  #bill(ledger: BudgetLedger, reservation: Reservation, number: number, tokens: number) {
    this.#requestCount += 1;
    this.reference.attempt(`k${number}`, tokens);
    return ledger.settle(reservation, {
      requestKey: `k${number}` as RequestKey,
      requestId: `r${this.#requestCount}` as RequestId,
      bodyDigest: 'd',
      tokens,
    });
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

const policies: Record<string, () => GrantPolicy> = {
  fixed: () => new FixedGrantPolicy(1_000),
  equalSplit: () => new EqualSplitGrantPolicy(instanceCount),
  demand: () => new DemandGrantPolicy(),
};

// Guards against charges beyond a budget, two charges for one key, and prepaid tokens that are never
// available again, after any sequence of requests, lost responses, crashes and network partitions.
for (const [name, makePolicy] of Object.entries(policies)) {
  test(`no sequence of faults overspends, bills twice or loses tokens: ${name}`, async (t) => {
    const property = fc.asyncProperty(
      fc.array(action, { minLength: 20, maxLength: 80 }),
      async (steps) => {
        const run = new Run(makePolicy);
        for (const step of steps) await run.perform(step);
        await run.end();
        const violations = [...run.platform.violations, ...run.violations];
        if (violations.length > 0) throw new Error(violations.join('; '));
        await assertFinalState(run);
      },
    );
    await t.notThrowsAsync(fc.assert(property, { seed: 20_260_101, numRuns: 40 }));
  });
}

/** Asserts that no bill exceeds what was requested, and that exactly the unbilled tokens can be reserved. */
async function assertFinalState(run: Run): Promise<void> {
  const stored = run.platform.read(pageKeyOf(budget));
  const bills = parsePage('', stored?.value).budgets.b?.bills ?? {};
  for (const [key, bill] of Object.entries(bills)) {
    const maxRequestedTokens = Math.max(...(run.reference.attempts.get(key) ?? [-1]));
    if (bill.tokens > maxRequestedTokens)
      throw new Error(`${key}: billed ${bill.tokens}, requested ${maxRequestedTokens}`);
  }
  const spentTokens = sum(Object.values(bills).map((bill) => bill.tokens));
  const leftTokens = run.reference.prepaidTokens - spentTokens;
  const { ledger } = run.start();
  if (leftTokens > 0) await run.clock.runUntil(ledger.reserve(budget, leftTokens));
  const extraReservation = run.clock.runUntil(ledger.reserve(budget, 1));
  const isRefused = await extraReservation.then(
    () => false,
    () => true,
  );
  if (!isRefused) throw new Error('a token beyond the budget was reserved');
}
