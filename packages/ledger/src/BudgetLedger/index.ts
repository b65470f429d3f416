import {
  millisecondsInMinute,
  RouterError,
  type Clock,
  type GrantId,
  type InstanceId,
  type Random,
  type RequestId,
  type RequestKey,
} from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import type { GrantPeers, TransferredTokens } from '../GrantPeers/index.js';
import type { GrantPolicy, GrantWish } from '../GrantPolicy/index.js';
import { NoGrantPeers } from '../NoGrantPeers/index.js';
import { pageKeyOf } from '../pageKeyOf/index.js';
import { parsePage } from '../pageSchema/index.js';
import { PageWriter } from '../PageWriter/index.js';
import { DemandMeter } from '../_lib/DemandMeter/index.js';
import { HeldGrants } from '../_lib/HeldGrants/index.js';
import { OpenRequests } from '../_lib/OpenRequests/index.js';
import { trimParts } from '../_lib/trimParts/index.js';
import { UnconfirmedReturns } from '../_lib/UnconfirmedReturns/index.js';
import { within } from '../_lib/within/index.js';
import type {
  BudgetRef,
  DeniedResult,
  GrantOperation,
  GrantPart,
  OperationResult,
  PageBill,
  PageOperation,
  RenewOperation,
} from '../types.js';

/** Options of {@link BudgetLedger}. */
export interface BudgetLedgerOptions {
  store: ObjectStore;
  clock: Clock;
  random: Random;
  instanceId: InstanceId;
  /** Differs between two lives of the same instance, so that grant ids never meet again. */
  incarnation: string;
  policy: GrantPolicy;
  /** The other instances; none by default. */
  peers?: GrantPeers;
  /** How long a grant may be spent, in milliseconds; it is prolonged while it is in use. */
  grantLifetimeMs?: number;
  /** The longest request, in milliseconds; a grant returns to its budget only after that. */
  longestRequestMs?: number;
  /** The most that two machines' wall clocks differ, in milliseconds. */
  maxSkewMs?: number;
  /** How long a request key protects against a second bill, in milliseconds. */
  keyProtectionMs?: number;
  /** How long bills of a busy page gather before they are written, in milliseconds. */
  groupCommitMs?: number;
  /** How long {@link BudgetLedger.reserve} waits for tokens, in milliseconds. */
  reserveTimeoutMs?: number;
  /** How long the store has to answer before peers are asked, in milliseconds. */
  askPeersAfterMs?: number;
  /** How many requests of one page may be reserved or wait to be billed. */
  maxOpenPerPage?: number;
  /** How many requests may be reserved or wait to be billed, over all pages. */
  maxOpen?: number;
  /** From how many kept request keys on a page takes no new requests. */
  maxKeysPerPage?: number;
}

/** Tokens held for one request, before it is dispatched. */
export interface Reservation {
  readonly budget: BudgetRef;
  readonly parts: readonly GrantPart[];
  readonly tokens: number;
}

/** What a request was billed. */
export interface Bill {
  readonly tokens: number;
  /** Generated but beyond what the budget reached; counted, never charged. */
  readonly unbillableTokens: number;
  /** Whether an earlier attempt under the same key had been billed already. */
  readonly isRepeat: boolean;
  /** Digest of the body that was billed: another than asked for where the key was used again. */
  readonly bodyDigest: string;
}

/** What to bill. */
export interface SettleRequest {
  readonly requestKey: RequestKey;
  readonly requestId: RequestId;
  readonly bodyDigest: string;
  readonly tokens: number;
}

/** What a ledger has done since it started, for the metrics. */
export interface LedgerCounts {
  commits: number;
  conflicts: number;
  grants: number;
  recalls: number;
  receivedTokens: number;
  passedOnTokens: number;
  unbillableTokens: number;
}

/** How often idle and ending grants are looked after, in milliseconds. */
const sweepMs = 5_000;
/** How long a budget may rest before its grants are given back, in milliseconds. */
const idleMs = 10 * millisecondsInMinute;
/** A grant is prolonged when less than this share of its life is left. */
const renewShare = 2 / 3;
/** The shortest time between two refills of one budget ahead of need, in milliseconds. */
const refillEveryMs = 2_000;
/** Below this share of the refill mark a refill does not wait for the next bill to join. */
const urgentRefillShare = 0.5;
/** The shortest time between two recalls of one budget, in milliseconds. */
const recallEveryMs = 200;
const firstBillBackOffMs = 250;
const longestBillBackOffMs = 5_000;

/** What one budget does here. */
interface BudgetUse {
  lastUsedMs: number;
  lastRefillMs: number;
  lastRecallMs: number;
  lastAvailableTokens: number | undefined;
}

/**
 * An instance's view of budgets: takes grants, reserves from them and bills.
 *
 * The pages in the store are the only truth. What is kept here is what this instance has set
 * aside, so losing it loses no money: the grants return to their budgets after they expire.
 */
export class BudgetLedger implements Disposable {
  readonly #options: Required<BudgetLedgerOptions>;
  readonly #writer: PageWriter;
  readonly #held: HeldGrants;
  readonly #demand: DemandMeter;
  readonly #open: OpenRequests;
  readonly #unconfirmed = new UnconfirmedReturns();
  readonly #uses = new Map<string, BudgetUse>();
  readonly #acquiring = new Map<string, Promise<OperationResult>>();
  readonly #obtaining = new Map<string, Promise<void>>();
  readonly #serving: Disposable;
  readonly #counts = {
    grants: 0,
    recalls: 0,
    receivedTokens: 0,
    passedOnTokens: 0,
    unbillableTokens: 0,
  };
  #sweepTimer: Disposable | undefined;
  #isStoreInTrouble = false;
  #isDisposed = false;

  constructor(options: BudgetLedgerOptions) {
    this.#options = {
      peers: new NoGrantPeers(),
      grantLifetimeMs: 15 * millisecondsInMinute,
      longestRequestMs: 10 * millisecondsInMinute,
      maxSkewMs: 5_000,
      keyProtectionMs: 10 * millisecondsInMinute,
      groupCommitMs: 50,
      reserveTimeoutMs: 10_000,
      askPeersAfterMs: 300,
      maxOpenPerPage: 300,
      maxOpen: 10_000,
      maxKeysPerPage: 2_500,
      ...options,
    };
    const { store, clock, random, instanceId, incarnation, peers } = this.#options;
    const { longestRequestMs, maxSkewMs, keyProtectionMs, groupCommitMs } = this.#options;
    this.#writer = new PageWriter({
      store,
      clock,
      random,
      graceMs: longestRequestMs + maxSkewMs,
      keyProtectionMs,
      groupCommitMs,
    });
    this.#held = new HeldGrants(clock, `${instanceId}.${incarnation}`);
    this.#demand = new DemandMeter(clock);
    this.#open = new OpenRequests(this.#options);
    this.#serving = peers.serve({
      giveBack: (budget) => this.#giveBack(budget),
      handOver: (budget, tokens) => this.#handOver(budget, tokens),
    });
  }

  /** What was done since the start. */
  get counts(): LedgerCounts {
    return { ...this.#counts, commits: this.#writer.commits, conflicts: this.#writer.conflicts };
  }

  /**
   * Holds tokens for one request.
   *
   * @param budget - the budget to draw on
   * @param tokens - the worst case: prompt and longest answer
   * @returns the reservation, to be settled or released
   * @throws RouterError `budgetExhausted`, `storeUnavailable`, `overloaded` or `badRequest`; all
   * mean that nothing was held
   */
  async reserve(budget: BudgetRef, tokens: number): Promise<Reservation> {
    checkTokens(tokens);
    const pageKey = pageKeyOf(budget);
    this.#open.refuseBeyond(pageKey);
    await this.#refuseFullPage(budget, pageKey);
    this.#demand.add(budget.budgetId, tokens);
    const untilMs = this.#options.clock.monotonicMs() + this.#options.reserveTimeoutMs;
    for (;;) {
      const parts = this.#held.reserve(budget, tokens);
      if (parts !== undefined) {
        this.#open.add(pageKey);
        this.#useOf(budget).lastUsedMs = this.#options.clock.monotonicMs();
        this.#refill(budget, urgentRefillShare);
        return { budget, parts, tokens };
      }
      if (this.#options.clock.monotonicMs() >= untilMs) throw tooLate(budget);
      await this.#obtainOnce(budget, tokens, untilMs);
    }
  }

  /**
   * Whether a reservation may still be acted on.
   *
   * Guards against a pause: a process frozen between reserving and dispatching would spend tokens
   * that have since returned to the budget. It shows as a reservation older than its grant, by the
   * monotonic clock, which a pause does not stop.
   */
  isSpendable(reservation: Reservation): boolean {
    return this.#held.areSpendable(reservation.budget, reservation.parts);
  }

  /** Gives back a reservation of a request that did not run. */
  release(reservation: Reservation): void {
    if (!this.#open.remove(pageKeyOf(reservation.budget), reservation)) return;
    this.#held.release(reservation.budget, reservation.parts);
  }

  /**
   * Bills a request, durably.
   *
   * Tries until the store answers: the caller's final frame waits for it. What was held beyond the
   * bill is free for other requests at once.
   *
   * @param reservation - what was held
   * @param request - what to bill; more than was held is cut to what was held
   * @returns the bill, which may be an earlier attempt's
   * @throws RouterError `internal` when the page is unreadable
   */
  async settle(reservation: Reservation, request: SettleRequest): Promise<Bill> {
    const { budget } = reservation;
    const pageKey = pageKeyOf(budget);
    const { kept: parts, rest } = trimParts(reservation.parts, request.tokens);
    this.#held.release(budget, rest);
    try {
      const tokens = Math.min(request.tokens, reservation.tokens);
      const result = await this.#submitBill(budget, parts, { ...request, tokens });
      return this.#settled(budget, parts, request, result);
    } finally {
      this.#open.remove(pageKey, reservation);
    }
  }

  /**
   * The billing record of a request key, read from the store.
   *
   * @throws RouterError `storeUnavailable`
   */
  async findBill(budget: BudgetRef, requestKey: RequestKey): Promise<PageBill | undefined> {
    const key = pageKeyOf(budget);
    const page = parsePage(key, (await this.#options.store.read(key))?.value);
    return page.budgets[budget.budgetId]?.bills[requestKey];
  }

  /** Gives every idle grant back to its budget, for a planned stop. */
  async closeAll(): Promise<void> {
    for (const budget of this.#held.budgets()) await this.#giveBack(budget);
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    this.#sweepTimer?.[Symbol.dispose]();
    this.#serving[Symbol.dispose]();
  }

  #settled(
    budget: BudgetRef,
    parts: readonly GrantPart[],
    request: SettleRequest,
    result: OperationResult,
  ): Bill {
    if (result.kind === 'alreadyBilled') {
      this.#held.release(budget, parts);
      const { tokens, bodyDigest } = result.bill;
      return { tokens, unbillableTokens: 0, isRepeat: true, bodyDigest };
    }
    this.#held.spend(budget, parts);
    const tokens = result.kind === 'billed' ? result.chargedTokens : 0;
    if (result.kind === 'billed') this.#useOf(budget).lastAvailableTokens = result.availableTokens;
    const unbillableTokens = request.tokens - tokens;
    this.#counts.unbillableTokens += unbillableTokens;
    return { tokens, unbillableTokens, isRepeat: false, bodyDigest: request.bodyDigest };
  }

  /**
   * A page keeps each request key for as long as it protects, so a page with too many takes no new
   * requests until old ones have ended: it would outgrow what the store holds, or forget a key that
   * still protects.
   */
  async #refuseFullPage(budget: BudgetRef, pageKey: string): Promise<void> {
    const { maxKeysPerPage } = this.#options;
    if (this.#writer.keysIn(pageKey) < maxKeysPerPage) return;
    await this.#submit(budget, [{ kind: 'prune', budget }]);
    if (this.#writer.keysIn(pageKey) < maxKeysPerPage) return;
    throw new RouterError('overloaded', `${pageKey} keeps ${maxKeysPerPage} request keys already`);
  }

  /** One attempt a budget at a time: those who waited look at what came first. */
  async #obtainOnce(budget: BudgetRef, tokens: number, untilMs: number): Promise<void> {
    const underWay = this.#obtaining.get(budget.budgetId);
    if (underWay !== undefined) {
      await underWay.catch(() => undefined);
      return;
    }
    const obtaining = this.#obtain(budget, tokens, untilMs);
    this.#obtaining.set(budget.budgetId, obtaining);
    try {
      await obtaining;
    } finally {
      this.#obtaining.delete(budget.budgetId);
    }
  }

  /** From the page; while the store does not answer, from peers. */
  async #obtain(budget: BudgetRef, tokens: number, untilMs: number): Promise<void> {
    const { clock, askPeersAfterMs } = this.#options;
    const missing = () => tokens - this.#held.availableTokens(budget);
    if (this.#isStoreInTrouble && (await this.#askPeers(budget, missing()))) return;
    await within(clock, askPeersAfterMs, this.#refilled(budget));
    if (missing() <= 0) return;
    const acquiring = this.#acquire(budget, missing());
    const soon = await within(clock, askPeersAfterMs, acquiring).catch(ignoreTrouble);
    if (soon?.kind === 'denied') {
      await this.#recallAndRetry(budget, tokens, soon);
      return;
    }
    if (soon !== undefined || missing() <= 0) return;
    if (await this.#askPeers(budget, missing())) return;
    const late = await within(clock, untilMs - clock.monotonicMs(), acquiring);
    if (late === undefined) throw tooLate(budget);
  }

  async #recallAndRetry(budget: BudgetRef, tokens: number, denied: DeniedResult): Promise<void> {
    const { policy, peers, instanceId, clock } = this.#options;
    const missing = () => tokens - this.#held.availableTokens(budget);
    const others = denied.holders.filter((holder) => holder !== instanceId);
    const use = this.#useOf(budget);
    const sinceRecallMs = clock.monotonicMs() - use.lastRecallMs;
    if (policy.isRecalling && others.length > 0 && sinceRecallMs >= recallEveryMs) {
      use.lastRecallMs = clock.monotonicMs();
      this.#counts.recalls += 1;
      await peers.recall(budget, others);
    }
    if (missing() <= 0) return;
    const again = await this.#acquire(budget, missing());
    if (again.kind === 'denied' && missing() > 0) throw exhausted(budget, tokens, again);
  }

  /** Whether enough came. */
  async #askPeers(budget: BudgetRef, missingTokens: number): Promise<boolean> {
    const { clock, peers } = this.#options;
    const askedMs = clock.monotonicMs();
    const transfers = await peers.askTokens(budget, missingTokens);
    for (const { grantId, tokens, remainingMs } of transfers) {
      const spendableUntilMs = askedMs + remainingMs;
      this.#held.add({ grantId, budget, tokens, spendableUntilMs, isTransferred: true });
      this.#counts.receivedTokens += tokens;
    }
    if (transfers.length > 0) this.#scheduleSweep();
    return transfers.reduce((sum, { tokens }) => sum + tokens, 0) >= missingTokens;
  }

  /** Waits for a refill that is under way. */
  async #refilled(budget: BudgetRef): Promise<void> {
    await this.#acquiring.get(budget.budgetId)?.catch(ignoreTrouble);
  }

  /** Takes a grant; whoever needs one meanwhile shares it. */
  #acquire(budget: BudgetRef, missingTokens: number): Promise<OperationResult> {
    const underWay = this.#acquiring.get(budget.budgetId);
    if (underWay !== undefined) return underWay;
    const acquiring = this.#acquireNow(budget, missingTokens).finally(() => {
      this.#acquiring.delete(budget.budgetId);
    });
    acquiring.catch(() => undefined);
    this.#acquiring.set(budget.budgetId, acquiring);
    return acquiring;
  }

  async #acquireNow(budget: BudgetRef, missingTokens: number): Promise<OperationResult> {
    const { clock, grantLifetimeMs } = this.#options;
    const spendableUntilMs = clock.monotonicMs() + grantLifetimeMs;
    const operation = this.#grantOperation(budget, missingTokens);
    const results = await this.#submit(budget, [...this.#held.takeSpent(budget), operation]);
    const result = results.at(-1);
    if (result === undefined) throw new RouterError('internal', 'a grant had no result');
    if (result.kind === 'granted') {
      const { grantId } = operation;
      const { tokens } = result;
      this.#held.add({ grantId, budget, tokens, spendableUntilMs, isTransferred: false });
      this.#scheduleSweep();
    }
    if (result.kind === 'granted' || result.kind === 'denied') {
      this.#useOf(budget).lastAvailableTokens = result.availableTokens;
    }
    return result;
  }

  #grantOperation(budget: BudgetRef, missingTokens: number): GrantOperation {
    const { clock, instanceId, incarnation, grantLifetimeMs, peers } = this.#options;
    this.#counts.grants += 1;
    const wish = this.#wish(budget, missingTokens);
    const heldTokens = this.#held.availableTokens(budget);
    return {
      kind: 'grant',
      budget,
      grantId: `${instanceId}.${incarnation}.${this.#counts.grants}` as GrantId,
      holder: instanceId,
      minTokens: missingTokens,
      wantedTokens: Math.max(missingTokens, wish.wantedTokens - heldTokens),
      maxShare: wish.maxShare,
      maxTotalShare: wish.maxTotalShare,
      awayWeight: wish.awayWeight,
      reachable: peers.reachable(),
      expiresAtMs: clock.wallMs() + grantLifetimeMs,
    };
  }

  #wish(budget: BudgetRef, neededTokens: number): GrantWish {
    const tokensPerMinute = this.#demand.tokensPerMinute(budget.budgetId);
    const { lastAvailableTokens } = this.#useOf(budget);
    return this.#options.policy.wish({ neededTokens, tokensPerMinute, lastAvailableTokens });
  }

  /** Takes the next grant ahead of need, so that a partition finds this instance provided for. */
  #refill(budget: BudgetRef, share: number): void {
    const { refillBelowTokens } = this.#wish(budget, 1);
    if (this.#held.availableTokens(budget) >= share * refillBelowTokens) return;
    const use = this.#useOf(budget);
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs - use.lastRefillMs < refillEveryMs) return;
    use.lastRefillMs = nowMs;
    void this.#acquire(budget, 0).catch(() => undefined);
  }

  async #giveBack(budget: BudgetRef): Promise<void> {
    const returns = this.#held.takeIdle(budget);
    if (returns.length > 0) await this.#submit(budget, returns);
  }

  #handOver(budget: BudgetRef, tokens: number): readonly TransferredTokens[] {
    const transfers = this.#held.handOver(budget, tokens);
    this.#counts.passedOnTokens += transfers.reduce((sum, transfer) => sum + transfer.tokens, 0);
    return transfers;
  }

  async #submitBill(
    budget: BudgetRef,
    parts: readonly GrantPart[],
    request: SettleRequest,
  ): Promise<OperationResult> {
    const { clock, random } = this.#options;
    // In the same turn as the bill, so both are one write.
    this.#refill(budget, 1);
    let backOffMs = firstBillBackOffMs;
    for (;;) {
      try {
        const bill = { kind: 'bill', budget, parts, ...request } as const;
        const [result] = await this.#submit(budget, [bill]);
        if (result !== undefined) return result;
      } catch (error) {
        if (!(error instanceof RouterError) || !isPassing(error)) throw error;
      }
      await clock.sleep(backOffMs * random());
      backOffMs = Math.min(longestBillBackOffMs, backOffMs * 2);
    }
  }

  /** Writes operations, and before them the returns of which it is not known whether they hold. */
  async #submit(
    budget: BudgetRef,
    operations: readonly PageOperation[],
  ): Promise<OperationResult[]> {
    const pageKey = pageKeyOf(budget);
    const earlier = this.#unconfirmed.take(pageKey);
    try {
      const results = await this.#writer.submit(pageKey, [...earlier, ...operations]);
      this.#isStoreInTrouble = false;
      return results.slice(earlier.length);
    } catch (error) {
      if (error instanceof RouterError && isPassing(error)) this.#isStoreInTrouble = true;
      this.#unconfirmed.add(pageKey, [...earlier, ...operations]);
      throw error;
    }
  }

  #scheduleSweep(): void {
    if (this.#isDisposed || this.#sweepTimer !== undefined) return;
    this.#sweepTimer = this.#options.clock.schedule(sweepMs, () => {
      this.#sweepTimer = undefined;
      for (const budget of this.#held.budgets()) void this.#sweep(budget).catch(() => undefined);
      if (this.#held.size > 0) this.#scheduleSweep();
    });
  }

  /** Gives back what rests or has ended, and prolongs what is in use. */
  async #sweep(budget: BudgetRef): Promise<void> {
    const { clock, grantLifetimeMs } = this.#options;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.#useOf(budget).lastUsedMs >= idleMs) {
      this.#uses.delete(budget.budgetId);
      this.#demand.forget(budget.budgetId);
      await this.#giveBack(budget);
      return;
    }
    const expiresAtMs = clock.wallMs() + grantLifetimeMs;
    const renewals = this.#held.renewals(budget, renewShare * grantLifetimeMs, expiresAtMs);
    if (renewals.length === 0 || this.#isStoreInTrouble) return;
    const results = await this.#submit(budget, renewals);
    renewals.forEach((renewal, index) => {
      this.#setEnd(renewal, results[index], nowMs + grantLifetimeMs);
    });
  }

  #setEnd(renewal: RenewOperation, result: OperationResult | undefined, untilMs: number): void {
    const { budget, grantId } = renewal;
    if (result?.kind === 'renewed') this.#held.setEnd(budget, grantId, untilMs);
    if (result?.kind === 'gone') this.#held.setEnd(budget, grantId, 0);
  }

  #useOf(budget: BudgetRef): BudgetUse {
    const found = this.#uses.get(budget.budgetId);
    if (found !== undefined) return found;
    const use: BudgetUse = {
      lastUsedMs: this.#options.clock.monotonicMs(),
      lastRefillMs: -Infinity,
      lastRecallMs: -Infinity,
      lastAvailableTokens: undefined,
    };
    this.#uses.set(budget.budgetId, use);
    return use;
  }
}

function checkTokens(tokens: number): void {
  if (Number.isSafeInteger(tokens) && tokens > 0) return;
  throw new RouterError('badRequest', `a request reserves whole tokens, at least 1, not ${tokens}`);
}

/** The store did not answer, or too much waits for it: both pass. */
function isPassing(error: RouterError): boolean {
  return error.kind === 'storeUnavailable' || error.kind === 'overloaded';
}

function ignoreTrouble(error: unknown): undefined {
  if (error instanceof RouterError && isPassing(error)) return undefined;
  throw error;
}

function tooLate(budget: BudgetRef): RouterError {
  const message = `neither the store nor peers had tokens of ${budget.budgetId} in time`;
  return new RouterError('storeUnavailable', message);
}

function exhausted(budget: BudgetRef, neededTokens: number, denied: DeniedResult): RouterError {
  return new RouterError(
    'budgetExhausted',
    `budget ${budget.budgetId} has ${denied.availableTokens} tokens that are not in use; ${neededTokens} are needed`,
  );
}
