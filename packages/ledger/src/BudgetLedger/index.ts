import {
  millisecondsInMinute,
  RouterError,
  type Clock,
  type GrantId,
  type InstanceId,
  type Random,
  type RequestKey,
} from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import type { GrantPeers, TransferredTokens } from '../GrantPeers/index.js';
import type { GrantPolicy, GrantPlan } from '../GrantPolicy/index.js';
import { NoGrantPeers } from '../NoGrantPeers/index.js';
import { pageKeyOf } from '../pageKeyOf/index.js';
import { parsePage } from '../pageSchema/index.js';
import { PageWriter } from '../PageWriter/index.js';
import {
  checkTokens,
  createExhaustedError,
  createTimeoutError,
  ignoreTransientError,
  isTransient,
} from '../_lib/ledgerErrors/index.js';
import { DemandMeter } from '../_lib/DemandMeter/index.js';
import { HeldGrants } from '../_lib/HeldGrants/index.js';
import { OpenRequests } from '../_lib/OpenRequests/index.js';
import { splitParts } from '../_lib/splitParts/index.js';
import { UnconfirmedReturns } from '../_lib/UnconfirmedReturns/index.js';
import { waitAtMost } from '../_lib/waitAtMost/index.js';
import type {
  Bill,
  BudgetRef,
  DeniedResult,
  GrantOperation,
  GrantPart,
  LedgerCounts,
  OperationResult,
  PageBill,
  PageOperation,
  RenewOperation,
  Reservation,
  SettleRequest,
} from '../types.js';

/** Options of {@link BudgetLedger}. */
export interface BudgetLedgerOptions {
  store: ObjectStore;
  clock: Clock;
  random: Random;
  instanceId: InstanceId;
  /** Differs between two process runs of the same instance, so that grant ids are never reused. */
  incarnation: string;
  policy: GrantPolicy;
  /** The other instances; none by default. */
  peers?: GrantPeers;
  /** How long a grant may be spent, in milliseconds; it is renewed while it is in use. */
  grantLifetimeMs?: number;
  /** The duration of the longest request, in milliseconds; part of the grace period of a grant. */
  longestRequestMs?: number;
  /** The largest skew between the wall clocks of two machines, in milliseconds. */
  maxSkewMs?: number;
  /** How long a request key prevents a second bill, in milliseconds. */
  keyProtectionMs?: number;
  /** How long bills of a busy page are collected before they are written together, in milliseconds. */
  groupCommitMs?: number;
  /** How long {@link BudgetLedger.reserve} waits for tokens, in milliseconds. */
  reserveTimeoutMs?: number;
  /** How long to wait for the store before peers are queried, in milliseconds. */
  askPeersAfterMs?: number;
  /** The maximum number of requests per page that are reserved or wait to be billed. */
  maxOpenRequestsPerPage?: number;
  /** The maximum number of requests on all pages that are reserved or wait to be billed. */
  maxOpenRequests?: number;
  /** A page that stores this many request keys accepts no new requests. */
  maxKeysPerPage?: number;
}

/** The interval at which idle grants are returned and expiring ones renewed, in milliseconds. */
const sweepIntervalMs = 5_000;
/** The grants of a budget are returned after it was unused for this long, in milliseconds. */
const budgetIdleTimeoutMs = 10 * millisecondsInMinute;
/** A grant is renewed when less than this share of its lifetime remains. */
const renewThresholdShare = 2 / 3;
/** The minimum time between two refills of a budget in advance, in milliseconds. */
const minRefillIntervalMs = 2_000;
/** Below this share of `refillBelowTokens` a refill is not deferred to the next bill. */
const urgentRefillShare = 0.5;
/** The minimum time between two recalls of a budget, in milliseconds. */
const minRecallIntervalMs = 200;
const initialBillBackoffMs = 250;
const maxBillBackoffMs = 5_000;

/** The local state of a budget. */
interface BudgetState {
  lastUsedMs: number;
  lastRefillMs: number;
  lastRecallMs: number;
  lastAvailableTokens: number | undefined;
}

/**
 * Acquires grants of budgets for an instance, reserves tokens from them and bills requests.
 *
 * The pages in the store are authoritative. The memory of this instance only tracks its own grants. If
 * it is lost, no tokens are lost: the grants return to their budgets after they expire.
 */
export class BudgetLedger implements Disposable {
  readonly #options: Required<BudgetLedgerOptions>;
  readonly #writer: PageWriter;
  readonly #heldGrants: HeldGrants;
  readonly #demand: DemandMeter;
  readonly #openRequests: OpenRequests;
  readonly #unconfirmedReturns = new UnconfirmedReturns();
  readonly #budgetStates = new Map<string, BudgetState>();
  readonly #pendingGrants = new Map<string, Promise<OperationResult>>();
  readonly #pendingAcquisitions = new Map<string, Promise<void>>();
  readonly #peerHandlerRegistration: Disposable;
  readonly #counts = {
    grants: 0,
    recalls: 0,
    receivedTokens: 0,
    transferredTokens: 0,
    unbillableTokens: 0,
  };
  #sweepTimer: Disposable | undefined;
  #isStoreFailing = false;
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
      maxOpenRequestsPerPage: 300,
      maxOpenRequests: 10_000,
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
    this.#heldGrants = new HeldGrants(clock, `${instanceId}.${incarnation}`);
    this.#demand = new DemandMeter(clock);
    this.#openRequests = new OpenRequests(this.#options);
    this.#peerHandlerRegistration = peers.serve({
      giveBack: (budget) => this.#returnIdleTokens(budget),
      handOver: (budget, tokens) => this.#transferTokens(budget, tokens),
    });
  }

  /** Counts since this ledger was created. */
  get counts(): LedgerCounts {
    return { ...this.#counts, commits: this.#writer.commits, conflicts: this.#writer.conflicts };
  }

  /**
   * Reserves tokens for one request.
   *
   * @param budget - the budget to reserve from
   * @param tokens - the worst case: the prompt and the longest response
   * @returns the reservation, which must be settled or released
   * @throws RouterError `budgetExhausted`, `storeUnavailable`, `overloaded` or `badRequest`; in
   * each case nothing was reserved
   */
  async reserve(budget: BudgetRef, tokens: number): Promise<Reservation> {
    checkTokens(tokens);
    const pageKey = pageKeyOf(budget);
    this.#openRequests.checkLimit(pageKey);
    await this.#checkPageCapacity(budget, pageKey);
    this.#demand.add(budget.budgetId, tokens);
    const deadlineMs = this.#options.clock.monotonicMs() + this.#options.reserveTimeoutMs;
    for (;;) {
      const parts = this.#heldGrants.reserve(budget, tokens);
      if (parts !== undefined) {
        this.#openRequests.add(pageKey);
        this.#stateOf(budget).lastUsedMs = this.#options.clock.monotonicMs();
        this.#refillIfLow(budget, urgentRefillShare);
        return { budget, parts, tokens };
      }
      if (this.#options.clock.monotonicMs() >= deadlineMs) throw createTimeoutError(budget);
      await this.#joinOrAcquireTokens(budget, tokens, deadlineMs);
    }
  }

  /**
   * Whether the tokens of a reservation may still be spent.
   *
   * A process that is paused between reserving and dispatching would spend tokens that have returned
   * to the budget in the meantime. The pause shows because the grants of the reservation have expired
   * by the monotonic clock, which a pause does not stop.
   */
  isSpendable(reservation: Reservation): boolean {
    return this.#heldGrants.areSpendable(reservation.budget, reservation.parts);
  }

  /** Releases the reservation of a request that did not run. */
  release(reservation: Reservation): void {
    if (!this.#openRequests.remove(pageKeyOf(reservation.budget), reservation)) return;
    this.#heldGrants.release(reservation.budget, reservation.parts);
  }

  /**
   * Bills a request, durably.
   *
   * Retries until the store responds, because the last frame to the caller waits for the bill. Reserved
   * tokens that the bill does not need are available to other requests immediately.
   *
   * @param reservation - the tokens reserved for the request
   * @param request - what to bill; at most the reserved tokens are charged
   * @returns the bill, which may be that of an earlier attempt
   * @throws RouterError `internal` if the page does not parse
   */
  async settle(reservation: Reservation, request: SettleRequest): Promise<Bill> {
    const { budget } = reservation;
    const pageKey = pageKeyOf(budget);
    const { kept: parts, rest } = splitParts(reservation.parts, request.tokens);
    this.#heldGrants.release(budget, rest);
    try {
      const tokens = Math.min(request.tokens, reservation.tokens);
      const result = await this.#submitBill(budget, parts, { ...request, tokens });
      return this.#createBill(budget, parts, request, result);
    } finally {
      this.#openRequests.remove(pageKey, reservation);
    }
  }

  /**
   * The billing record of a request key, read from the store.
   *
   * @throws RouterError `storeUnavailable`, or `internal` if the page does not parse
   */
  async findBill(budget: BudgetRef, requestKey: RequestKey): Promise<PageBill | undefined> {
    const key = pageKeyOf(budget);
    const page = parsePage(key, (await this.#options.store.read(key))?.value);
    return page.budgets[budget.budgetId]?.bills[requestKey];
  }

  /** Returns all idle tokens to their budgets, before a planned shutdown. */
  async closeAll(): Promise<void> {
    for (const budget of this.#heldGrants.budgets()) await this.#returnIdleTokens(budget);
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    this.#sweepTimer?.[Symbol.dispose]();
    this.#writer[Symbol.dispose]();
    this.#peerHandlerRegistration[Symbol.dispose]();
  }

  #createBill(
    budget: BudgetRef,
    parts: readonly GrantPart[],
    request: SettleRequest,
    result: OperationResult,
  ): Bill {
    if (result.kind === 'alreadyBilled') {
      this.#heldGrants.release(budget, parts);
      const { tokens, bodyDigest } = result.bill;
      return { tokens, unbillableTokens: 0, isRepeat: true, bodyDigest };
    }
    this.#heldGrants.spend(budget, parts);
    const tokens = result.kind === 'billed' ? result.chargedTokens : 0;
    if (result.kind === 'billed')
      this.#stateOf(budget).lastAvailableTokens = result.availableTokens;
    const unbillableTokens = request.tokens - tokens;
    this.#counts.unbillableTokens += unbillableTokens;
    return { tokens, unbillableTokens, isRepeat: false, bodyDigest: request.bodyDigest };
  }

  /**
   * Refuses a request if its page is full. A page keeps each request key for its protection period, so
   * it would otherwise outgrow the size limit of the store, or drop a key that is still needed.
   */
  async #checkPageCapacity(budget: BudgetRef, pageKey: string): Promise<void> {
    const { maxKeysPerPage } = this.#options;
    if (this.#writer.requestKeyCount(pageKey) < maxKeysPerPage) return;
    await this.#submit(budget, [{ kind: 'prune', budget }]);
    if (this.#writer.requestKeyCount(pageKey) < maxKeysPerPage) return;
    throw new RouterError('overloaded', `${pageKey} already stores ${maxKeysPerPage} request keys`);
  }

  /** Acquires tokens, or waits if this is already under way for the budget; the caller then checks again. */
  async #joinOrAcquireTokens(budget: BudgetRef, tokens: number, deadlineMs: number): Promise<void> {
    const pending = this.#pendingAcquisitions.get(budget.budgetId);
    if (pending !== undefined) {
      await pending.catch(() => undefined);
      return;
    }
    const acquisition = this.#acquireTokens(budget, tokens, deadlineMs);
    this.#pendingAcquisitions.set(budget.budgetId, acquisition);
    try {
      await acquisition;
    } finally {
      this.#pendingAcquisitions.delete(budget.budgetId);
    }
  }

  /** Acquires tokens from the page, or from peers while the store does not respond. */
  async #acquireTokens(budget: BudgetRef, tokens: number, deadlineMs: number): Promise<void> {
    const { clock, askPeersAfterMs } = this.#options;
    const missing = () => tokens - this.#heldGrants.availableTokens(budget);
    if (this.#isStoreFailing && (await this.#askPeers(budget, missing()))) return;
    await waitAtMost(clock, askPeersAfterMs, this.#waitForPendingGrant(budget));
    if (missing() <= 0) return;
    const pendingGrant = this.#requestGrant(budget, missing());
    const earlyResult = await waitAtMost(clock, askPeersAfterMs, pendingGrant).catch(
      ignoreTransientError,
    );
    if (earlyResult?.kind === 'denied') {
      await this.#recallAndRetry(budget, tokens, earlyResult);
      return;
    }
    if (earlyResult !== undefined || missing() <= 0) return;
    if (await this.#askPeers(budget, missing())) return;
    const lateResult = await waitAtMost(clock, deadlineMs - clock.monotonicMs(), pendingGrant);
    if (lateResult === undefined) throw createTimeoutError(budget);
  }

  async #recallAndRetry(budget: BudgetRef, tokens: number, denied: DeniedResult): Promise<void> {
    const { policy, peers, instanceId, clock } = this.#options;
    const missing = () => tokens - this.#heldGrants.availableTokens(budget);
    const others = denied.holders.filter((holder) => holder !== instanceId);
    const state = this.#stateOf(budget);
    const sinceRecallMs = clock.monotonicMs() - state.lastRecallMs;
    if (policy.isRecallEnabled && others.length > 0 && sinceRecallMs >= minRecallIntervalMs) {
      state.lastRecallMs = clock.monotonicMs();
      this.#counts.recalls += 1;
      await peers.recall(budget, others);
    }
    if (missing() <= 0) return;
    const retryResult = await this.#requestGrant(budget, missing());
    if (retryResult.kind === 'denied' && missing() > 0)
      throw createExhaustedError(budget, tokens, retryResult);
  }

  /** Asks peers for tokens and returns whether they sent enough. */
  async #askPeers(budget: BudgetRef, missingTokens: number): Promise<boolean> {
    const { clock, peers } = this.#options;
    const askedMs = clock.monotonicMs();
    const transfers = await peers.requestTokens(budget, missingTokens);
    for (const { grantId, tokens, remainingMs } of transfers) {
      const spendableUntilMs = askedMs + remainingMs;
      this.#heldGrants.add({ grantId, budget, tokens, spendableUntilMs, isTransferred: true });
      this.#counts.receivedTokens += tokens;
    }
    if (transfers.length > 0) this.#scheduleSweep();
    return transfers.reduce((sum, { tokens }) => sum + tokens, 0) >= missingTokens;
  }

  /** Waits for a pending grant operation, if there is one. */
  async #waitForPendingGrant(budget: BudgetRef): Promise<void> {
    await this.#pendingGrants.get(budget.budgetId)?.catch(ignoreTransientError);
  }

  /** Requests a grant; concurrent calls for the same budget share one operation. */
  #requestGrant(budget: BudgetRef, missingTokens: number): Promise<OperationResult> {
    const pending = this.#pendingGrants.get(budget.budgetId);
    if (pending !== undefined) return pending;
    const pendingGrant = this.#submitGrant(budget, missingTokens).finally(() => {
      this.#pendingGrants.delete(budget.budgetId);
    });
    pendingGrant.catch(() => undefined);
    this.#pendingGrants.set(budget.budgetId, pendingGrant);
    return pendingGrant;
  }

  async #submitGrant(budget: BudgetRef, missingTokens: number): Promise<OperationResult> {
    const { clock, grantLifetimeMs } = this.#options;
    const spendableUntilMs = clock.monotonicMs() + grantLifetimeMs;
    const operation = this.#createGrantOperation(budget, missingTokens);
    const results = await this.#submit(budget, [...this.#heldGrants.takeSpent(budget), operation]);
    const result = results.at(-1);
    if (result === undefined)
      throw new RouterError('internal', 'a grant operation returned no result');
    if (result.kind === 'granted') {
      const { grantId } = operation;
      const { tokens } = result;
      this.#heldGrants.add({ grantId, budget, tokens, spendableUntilMs, isTransferred: false });
      this.#scheduleSweep();
    }
    if (result.kind === 'granted' || result.kind === 'denied') {
      this.#stateOf(budget).lastAvailableTokens = result.availableTokens;
    }
    return result;
  }

  #createGrantOperation(budget: BudgetRef, missingTokens: number): GrantOperation {
    const { clock, instanceId, incarnation, grantLifetimeMs, peers } = this.#options;
    this.#counts.grants += 1;
    const plan = this.#planGrant(budget, missingTokens);
    const heldTokens = this.#heldGrants.availableTokens(budget);
    return {
      kind: 'grant',
      budget,
      grantId: `${instanceId}.${incarnation}.${this.#counts.grants}` as GrantId,
      holder: instanceId,
      minTokens: missingTokens,
      wantedTokens: Math.max(missingTokens, plan.wantedTokens - heldTokens),
      maxShare: plan.maxShare,
      maxTotalShare: plan.maxTotalShare,
      unreachableWeight: plan.unreachableWeight,
      reachable: peers.reachable(),
      expiresAtMs: clock.wallMs() + grantLifetimeMs,
    };
  }

  #planGrant(budget: BudgetRef, neededTokens: number): GrantPlan {
    const tokensPerMinute = this.#demand.tokensPerMinute(budget.budgetId);
    const { lastAvailableTokens } = this.#stateOf(budget);
    return this.#options.policy.plan({ neededTokens, tokensPerMinute, lastAvailableTokens });
  }

  /** Requests the next grant in advance, so that this instance has tokens during a partition. */
  #refillIfLow(budget: BudgetRef, share: number): void {
    const { refillBelowTokens } = this.#planGrant(budget, 1);
    if (this.#heldGrants.availableTokens(budget) >= share * refillBelowTokens) return;
    const state = this.#stateOf(budget);
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs - state.lastRefillMs < minRefillIntervalMs) return;
    state.lastRefillMs = nowMs;
    void this.#requestGrant(budget, 0).catch(() => undefined);
  }

  async #returnIdleTokens(budget: BudgetRef): Promise<void> {
    const returns = this.#heldGrants.takeIdle(budget);
    if (returns.length > 0) await this.#submit(budget, returns);
  }

  #transferTokens(budget: BudgetRef, tokens: number): readonly TransferredTokens[] {
    const transfers = this.#heldGrants.handOver(budget, tokens);
    this.#counts.transferredTokens += transfers.reduce((sum, transfer) => sum + transfer.tokens, 0);
    return transfers;
  }

  async #submitBill(
    budget: BudgetRef,
    parts: readonly GrantPart[],
    request: SettleRequest,
  ): Promise<OperationResult> {
    const { clock, random } = this.#options;
    // In the same event loop turn as the bill, so that one write covers both.
    this.#refillIfLow(budget, 1);
    let backoffMs = initialBillBackoffMs;
    for (;;) {
      try {
        const bill = { kind: 'bill', budget, parts, ...request } as const;
        const [result] = await this.#submit(budget, [bill]);
        if (result !== undefined) return result;
      } catch (error) {
        if (!(error instanceof RouterError) || !isTransient(error)) throw error;
      }
      await clock.sleep(backoffMs * random());
      backoffMs = Math.min(maxBillBackoffMs, backoffMs * 2);
    }
  }

  /** Submits operations, preceded by earlier returns whose write was not confirmed. */
  async #submit(
    budget: BudgetRef,
    operations: readonly PageOperation[],
  ): Promise<OperationResult[]> {
    const pageKey = pageKeyOf(budget);
    const earlier = this.#unconfirmedReturns.take(pageKey);
    try {
      const results = await this.#writer.submit(pageKey, [...earlier, ...operations]);
      this.#isStoreFailing = false;
      return results.slice(earlier.length);
    } catch (error) {
      if (error instanceof RouterError && isTransient(error)) this.#isStoreFailing = true;
      this.#unconfirmedReturns.add(pageKey, [...earlier, ...operations]);
      throw error;
    }
  }

  #scheduleSweep(): void {
    if (this.#isDisposed || this.#sweepTimer !== undefined) return;
    this.#sweepTimer = this.#options.clock.schedule(sweepIntervalMs, () => {
      this.#sweepTimer = undefined;
      for (const budget of this.#heldGrants.budgets())
        void this.#sweep(budget).catch(() => undefined);
      if (this.#heldGrants.size > 0) this.#scheduleSweep();
    });
  }

  /** Returns the grants of an unused budget, and renews those of a budget in use. */
  async #sweep(budget: BudgetRef): Promise<void> {
    const { clock, grantLifetimeMs } = this.#options;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.#stateOf(budget).lastUsedMs >= budgetIdleTimeoutMs) {
      this.#budgetStates.delete(budget.budgetId);
      this.#demand.remove(budget.budgetId);
      await this.#returnIdleTokens(budget);
      return;
    }
    const expiresAtMs = clock.wallMs() + grantLifetimeMs;
    const renewals = this.#heldGrants.renewals(
      budget,
      renewThresholdShare * grantLifetimeMs,
      expiresAtMs,
    );
    if (renewals.length === 0 || this.#isStoreFailing) return;
    const results = await this.#submit(budget, renewals);
    renewals.forEach((renewal, index) => {
      this.#applyRenewal(renewal, results[index], nowMs + grantLifetimeMs);
    });
  }

  #applyRenewal(
    renewal: RenewOperation,
    result: OperationResult | undefined,
    spendableUntilMs: number,
  ): void {
    const { budget, grantId } = renewal;
    if (result?.kind === 'renewed') this.#heldGrants.setExpiry(budget, grantId, spendableUntilMs);
    if (result?.kind === 'gone') this.#heldGrants.setExpiry(budget, grantId, 0);
  }

  #stateOf(budget: BudgetRef): BudgetState {
    const found = this.#budgetStates.get(budget.budgetId);
    if (found !== undefined) return found;
    const state: BudgetState = {
      lastUsedMs: this.#options.clock.monotonicMs(),
      lastRefillMs: -Infinity,
      lastRecallMs: -Infinity,
      lastAvailableTokens: undefined,
    };
    this.#budgetStates.set(budget.budgetId, state);
    return state;
  }
}
