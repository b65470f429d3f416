import {
  RouterError,
  toRouterError,
  type AccountId,
  type Clock,
  type InstanceId,
  type Random,
} from '@acaciacrank/base';
import type { ObjectStore, StoredObject } from '@acaciacrank/store';
import { UsageRate } from '../_lib/UsageRate/index.js';
import { ExhaustionCache } from '../_lib/ExhaustionCache/index.js';
import { LoanBook } from '../_lib/LoanBook/index.js';
import { StoredGrant } from '../_lib/StoredGrant/index.js';
import {
  homeStockDurationMs,
  initialStockTokens,
  targetStockTokens,
} from '../_lib/prepaidStock/index.js';
import { rankHolders } from '../_lib/rankHolders/index.js';
import type {
  LoanResponse,
  LoanOutcome,
  LoanRequest,
  PrepaidPeers,
} from '../PrepaidPeers/index.js';
import { instanceIdOf, processRunKey } from '../prepaidPage/index.js';
import type { RestoreKnowledge } from '../RestoreKnowledge/index.js';
import type { ProcessRun } from '../types.js';

/**
 * The outcome of an attempt to reserve tokens. `exhausted`: the tokens of the account that are neither
 * spent nor reserved are too few; `heldElsewhere`: enough are left, but this instance could not acquire
 * them, usually because other instances hold them; `storeAway`: the store is unavailable.
 */
export type ReserveOutcome = 'reserved' | 'exhausted' | 'heldElsewhere' | 'storeAway';

/** A change of the tokens that this instance may spend, for logs. */
export interface GrantEvent {
  readonly accountId: AccountId;
  /**
   * `denied`: the store has too few ungranted tokens; `unknown`: a call to the store failed, and a write
   * may have taken effect; `lent`: borrowed tokens were returned to the home; `writtenAgain`: the grant
   * was lost in a restore of the store.
   */
  readonly what:
    'granted' | 'returned' | 'denied' | 'unknown' | 'borrowed' | 'lent' | 'writtenAgain';
  readonly tokens: number;
  /** Tokens of the account that were not granted to any instance at that time; undefined if unknown. */
  readonly remainingTokens: number | undefined;
}

/** Options of `PrepaidAccounts`, shared by all its accounts. */
export interface PrepaidAccountsOptions {
  processRun: ProcessRun;
  store: ObjectStore;
  clock: Clock;
  peers: PrepaidPeers;
  onEvent: (event: GrantEvent) => void;
  random: Random;
  /** Whether the store is known to be unavailable. */
  isStoreUnavailable: () => boolean;
  /** The number of instances that may hold tokens of an account; infinite if unknown; 1 by default. */
  instanceCount?: () => number;
  /** What is known about restores of the store; by default it never returns from an older copy. */
  restores?: RestoreKnowledge;
}

/** Options of {@link PrepaidAccount}. */
export interface PrepaidAccountOptions extends PrepaidAccountsOptions {
  accountId: AccountId;
}

/** The limit of an account, and the version of the configuration that sets it. */
export interface PrepaidLimit {
  readonly prepaidTokens: number;
  readonly version: number;
}

/**
 * Stock is refilled below this share of its target. Refills can be frequent, since only the home calls
 * the store.
 */
const refillThresholdShare = 0.85;
/** Above this multiple of its target, excess stock is returned, so that a crash loses less. */
const returnThresholdFactor = 1.4;
/**
 * The smallest share of the prepaid tokens that is moved unless a request waits for it. Without it, a
 * large fleet would write to the store for each instance and account every second.
 */
const minMoveShare = 0.004;
/** The largest share of its remaining stock that a lender adds to what a waiting request needs. */
const maxSurplusLoanShare = 0.25;
/** The maximum delay after a write conflict, in milliseconds; the time of a few calls to the store. */
const maxConflictDelayMs = 30;
/** The maximum number of holders that the home requests tokens; each takes a few milliseconds. */
const maxHoldersAsked = 3;
/** The maximum attempts of a conditional write; the response to a conflict contains the current page. */
const maxWriteAttempts = 6;

/** For stores that never return from an older copy; withholds everything if one does. */
const noRestores: RestoreKnowledge = { firstEpoch: () => 0, isAccounted: () => false };

/**
 * The prepaid tokens of one client account that this process run may spend.
 *
 * Grants are durable before they are used. Tokens that are granted but neither spent nor reserved are
 * called stock. The stock of an account is concentrated at one instance, its home, from which the others
 * borrow what they need for a second or two. During an outage of the store, one shared stock lasts far
 * longer than many small ones, each of which can run out on its own, and only the home calls the store.
 * An instance that cannot reach the home calls the store itself.
 */
export class PrepaidAccount implements Disposable {
  readonly #options: PrepaidAccountOptions;
  readonly #grant: StoredGrant;
  readonly #loans = new LoanBook();
  /** The limit of the newest configuration. */
  #limit: PrepaidLimit;
  #reservedTokens = 0;
  #spentTokens = 0;
  readonly #usageRate: UsageRate;
  /** Tokens needed by all requests that wait for the store. */
  #waitingTokens = 0;
  #isMembershipKnown = false;
  #isEnded = false;
  /** Since when the store has been available, on the monotonic clock. */
  #storeHealthySinceMs: number;
  /** Whether spending is suspended until the sum of grants does not exceed a lowered limit. */
  #isSuspended = false;
  readonly #exhaustion = new ExhaustionCache<ReserveOutcome>();
  #pendingUpdate: Promise<ReserveOutcome> | undefined;
  /** The key of the process run that last responded to a loan request. */
  #lastLender = '';
  #isRefilling = false;
  /** The number of loan requests that are under way. */
  #loanRequestsInFlight = 0;

  constructor(limit: PrepaidLimit, options: PrepaidAccountOptions) {
    this.#limit = limit;
    this.#options = options;
    this.#grant = new StoredGrant({ restores: noRestores, ...options });
    const nowMs = options.clock.monotonicMs();
    this.#usageRate = new UsageRate(nowMs);
    this.#storeHealthySinceMs = nowMs;
  }

  /** The key of the account's page in the store. */
  get key(): string {
    return this.#grant.key;
  }

  /** Tokens that can be reserved without a call to the store or a peer. */
  get stockTokens(): number {
    return this.#grant.tokens - this.#drawnTokens;
  }

  /** Whether this instance is the home of the account. */
  get isHome(): boolean {
    return this.#options.peers.homeOf(this.#options.accountId) === undefined;
  }

  /** Changes the limit. A lower limit suspends spending until the sum of grants is known not to exceed it. */
  setLimit(limit: PrepaidLimit): void {
    const isLower = limit.prepaidTokens < this.#limit.prepaidTokens;
    this.#limit = limit;
    this.#exhaustion.clear();
    if (!isLower) return;
    this.#grant.invalidatePage();
    this.#isSuspended = true;
    void this.#enforceLimit();
  }

  /**
   * Reserves tokens if they are in stock.
   *
   * @param tokens - the most that the request can use
   * @returns whether they are reserved; if not, call {@link refill}
   */
  tryReserve(tokens: number): boolean {
    if (this.#isSuspended || this.stockTokens < tokens) return false;
    this.#reservedTokens += tokens;
    return true;
  }

  /** Ends a reservation and counts the tokens that were actually used. */
  settle(reservedTokens: number, usedTokens: number): void {
    this.#reservedTokens -= reservedTokens;
    this.#spentTokens += usedTokens;
  }

  /**
   * Acquires more tokens from the home of the account, or else from the store.
   *
   * @param neededTokens - tokens that a waiting request needs; 0 to refill the stock
   * @returns `reserved` if there is enough stock now, otherwise why there is not
   */
  async refill(neededTokens: number): Promise<ReserveOutcome> {
    const refusal = this.#cachedRefusal(neededTokens);
    if (refusal !== undefined) return refusal;
    const { peers, accountId } = this.#options;
    const homeOutcome = await this.#borrow(peers.homeOf(accountId), neededTokens);
    if (homeOutcome === 'lent') return 'reserved';
    // That the home lends nothing for stock does not mean that it would refuse a waiting request.
    if (homeOutcome !== undefined && neededTokens === 0) return 'heldElsewhere';
    if (homeOutcome === 'exhausted' || homeOutcome === 'heldElsewhere') {
      const remainingTokens = Math.max(0, neededTokens - 1 - this.stockTokens);
      return this.#exhaustion.record(homeOutcome, remainingTokens, this.#nowMs);
    }
    const storeOutcome = await this.#refillFromStore(neededTokens);
    if (storeOutcome !== 'storeAway' || neededTokens === 0) return storeOutcome;
    // The store may reject only this instance and the home; another peer may still get a grant.
    const backupOutcome = await this.#borrow(peers.backupOf(accountId), neededTokens);
    return backupOutcome === 'lent' ? 'reserved' : storeOutcome;
  }

  /** Handles the request of a peer: accounts for tokens that it passed on, and lends what it needs. */
  async handleLoanRequest(request: LoanRequest): Promise<LoanResponse> {
    const lender = this.#ownRunKey;
    if (request.givenTo === lender) this.#receiveLoan(request.borrower, request.givenTokens);
    const outcome = await this.#lend(request);
    return { lender, lentTokens: this.#loans.totalLentTo(request.borrower), outcome };
  }

  /** Whether this process run may have a grant in the store. */
  get hasWritten(): boolean {
    return this.#grant.hasWritten;
  }

  /** Whether tokens that are granted to nobody are withheld, since a restore of the store. */
  get isWithheld(): boolean {
    return this.#grant.isWithheld;
  }

  /**
   * Checks that the store holds the grant of this process run, and writes it again if the store lost it.
   *
   * @returns whether the store holds it now
   */
  async confirmGrant(): Promise<boolean> {
    while (this.#pendingUpdate !== undefined) await this.#pendingUpdate;
    this.#grant.invalidatePage();
    const outcome = await this.#runExclusively(this.#writeLostGrant());
    return outcome === 'reserved' && !this.#grant.isLost;
  }

  /** Updates the known totals from a listed page, which may be seconds old. */
  observe(stored: StoredObject): void {
    this.#grant.observe(stored);
  }

  /** Called about once per second: updates the usage rate, and refills or returns stock. */
  tick(): void {
    const nowMs = this.#nowMs;
    this.#isMembershipKnown = true;
    if (this.#options.isStoreUnavailable()) this.#storeHealthySinceMs = nowMs;
    this.#usageRate.measure({
      nowMs,
      usedTokens:
        this.#spentTokens + this.#reservedTokens + Math.max(0, -this.#loans.balanceTokens),
      seenBoundTokens: this.#grant.seenBoundTokens,
      initialTokensPerMs: initialStockTokens(this.#stockInputs) / homeStockDurationMs,
    });
    if (this.#pendingUpdate !== undefined || this.#isRefilling) return;
    if (this.#grant.isLost) void this.#runExclusively(this.#writeLostGrant());
    else if (this.#isSuspended) void this.#enforceLimit();
    else if (this.#needsRefill()) void this.#refillStock();
    else if (this.#hasExcessStock()) void this.#returnIdleTokens(this.#retainedStock());
  }

  /** Ends this process run's part in the account. */
  [Symbol.dispose](): void {
    this.#isEnded = true;
  }

  /** Returns all idle tokens, before a planned shutdown. */
  async close(): Promise<void> {
    while (this.#pendingUpdate !== undefined) await this.#pendingUpdate;
    if (this.stockTokens > 0) await this.#returnIdleTokens(0);
  }

  /** Tokens of the own grant that are used: spent, reserved or lent, less borrowed ones. */
  get #drawnTokens(): number {
    return this.#spentTokens + this.#reservedTokens - this.#loans.balanceTokens;
  }

  get #ownRunKey(): string {
    return processRunKey(this.#options.processRun);
  }

  get #ungrantedTokens(): number {
    if (this.#grant.isWithheld) return 0;
    return Math.max(0, this.#limit.prepaidTokens - this.#grant.seenGrantedTokens);
  }

  /** Counted only while it matters: it takes time that grows with the fleet. */
  get #instanceCount(): number {
    return this.#isMembershipKnown ? 1 : (this.#options.instanceCount?.() ?? 1);
  }

  get #stockInputs() {
    // Usage since the page was last written, which can be large during an outage.
    const unreportedTokens = Math.max(0, this.#drawnTokens - this.#grant.reportedTokens);
    return {
      prepaidTokens: this.#limit.prepaidTokens,
      seenBoundTokens: this.#grant.seenBoundTokens + unreportedTokens,
      usageTokensPerMs: this.#usageRate.tokensPerMs,
      fleetUsageTokensPerMs: this.#usageRate.fleetTokensPerMs,
      isHome: this.isHome,
      isMembershipKnown: this.#isMembershipKnown,
      instanceCount: this.#instanceCount,
      storeHealthyMs: this.#nowMs - this.#storeHealthySinceMs,
    };
  }

  #targetStock(): number {
    return targetStockTokens(this.#stockInputs);
  }

  /**
   * The target without its reduction after an outage. Excess is measured against it, so that stock left
   * after an outage is not returned only to be requested again.
   */
  #retainedStock(): number {
    return targetStockTokens({ ...this.#stockInputs, storeHealthyMs: Infinity });
  }

  #needsRefill(): boolean {
    if (this.#exhaustion.isActive(this.#nowMs)) return false;
    const wanted = this.#targetStock();
    if (this.stockTokens >= wanted * refillThresholdShare) return false;
    if (wanted - this.stockTokens <= minMoveShare * this.#limit.prepaidTokens) return false;
    return !this.isHome || this.#ungrantedTokens > 0;
  }

  /** Whether to return stock, so that other instances need not refuse requests for lack of tokens. */
  #hasExcessStock(): boolean {
    // Nobody could be granted what is returned.
    if (this.#grant.isWithheld) return false;
    const retained = this.#retainedStock();
    const excess = this.stockTokens - retained;
    return (
      this.stockTokens > returnThresholdFactor * retained &&
      excess > minMoveShare * this.#limit.prepaidTokens
    );
  }

  async #refillStock(): Promise<void> {
    this.#isRefilling = true;
    try {
      await this.refill(0);
    } finally {
      this.#isRefilling = false;
    }
  }

  /** Borrows tokens from a peer; undefined if there is none or it does not respond. */
  async #borrow(
    peer: InstanceId | undefined,
    neededTokens: number,
  ): Promise<LoanOutcome | undefined> {
    if (peer === undefined) return undefined;
    const missing = Math.max(0, neededTokens - this.stockTokens);
    // Otherwise each of several concurrent requests would request a full stock.
    const wanted =
      this.#loanRequestsInFlight > 0 ? 0 : Math.max(0, this.#targetStock() - this.stockTokens);
    this.#loanRequestsInFlight += 1;
    const response = await this.#requestLoan(peer, this.#createLoanRequest(missing, wanted));
    this.#loanRequestsInFlight -= 1;
    if (response === undefined) return undefined;
    this.#lastLender = response.lender;
    return response.outcome;
  }

  /** Asks a peer for a loan and receives it; undefined if the peer does not respond. */
  async #requestLoan(peer: InstanceId, request: LoanRequest): Promise<LoanResponse | undefined> {
    const response = await this.#options.peers.ask(peer, request);
    if (response === undefined) return undefined;
    const taken = this.#receiveLoan(response.lender, response.lentTokens);
    if (taken > 0) this.#report('borrowed', taken);
    return response;
  }

  #createLoanRequest(neededTokens: number, wantedTokens: number): LoanRequest {
    return {
      accountId: this.#options.accountId,
      borrower: this.#ownRunKey,
      limitVersion: this.#limit.version,
      givenTo: this.#lastLender,
      givenTokens: this.#loans.totalLentTo(this.#lastLender),
      neededTokens: Math.ceil(neededTokens),
      wantedTokens: Math.ceil(wantedTokens),
    };
  }

  #receiveLoan(lender: string, totalTokens: number): number {
    const taken = this.#loans.receive(lender, totalTokens);
    if (taken > 0) this.#exhaustion.clear();
    return taken;
  }

  async #lend(request: LoanRequest): Promise<LoanOutcome> {
    const { neededTokens, wantedTokens, limitVersion, borrower } = request;
    if (neededTokens + wantedTokens <= 0) return 'lent';
    // Tokens that were granted under an older limit must not be lent to a borrower with a newer one.
    if (limitVersion > this.#limit.version) return 'behind';
    if (this.#isSuspended) return 'heldElsewhere';
    if (this.stockTokens < neededTokens) {
      const outcome = await this.#refillFromStore(neededTokens);
      if (outcome !== 'reserved') return outcome;
    }
    if (this.#isSuspended || this.stockTokens < neededTokens) return 'heldElsewhere';
    // The home may borrow all spare tokens; for other borrowers most are kept for the next one.
    const share = this.#isHomeOf(borrower) ? 1 : maxSurplusLoanShare;
    const spareTokens = Math.floor((this.stockTokens - neededTokens) * share);
    const tokens = neededTokens + Math.max(0, Math.min(wantedTokens, spareTokens));
    if (tokens === 0) return 'heldElsewhere';
    this.#loans.lend(borrower, tokens);
    return 'lent';
  }

  /** Whether a process run belongs to the home of the account. */
  #isHomeOf(runKey: string): boolean {
    return instanceIdOf(runKey) === this.#options.peers.homeOf(this.#options.accountId);
  }

  /**
   * At the home, collects idle tokens of other instances when the store has no more.
   *
   * Such tokens are held by instances that were the home before, that acquired them before they knew
   * the other instances, or that borrowed them. Without this, requests would be refused although live
   * instances hold enough tokens.
   */
  async #collectFromHolders(neededTokens: number): Promise<boolean> {
    const holders = rankHolders({
      page: this.#grant.page,
      loans: this.#loans.outstanding(),
      ownInstance: this.#options.processRun.instanceId,
    });
    for (const holder of holders.slice(0, maxHoldersAsked)) {
      if (this.stockTokens >= neededTokens) break;
      const missing = Math.ceil(neededTokens - this.stockTokens);
      // Request stock: for a need, the holder would call the store, which has no more tokens.
      const response = await this.#requestLoan(holder, this.#createLoanRequest(0, missing));
      // Stop, since a request is waiting and a missing response suggests that no peer can be reached.
      if (response === undefined) break;
    }
    return this.stockTokens >= neededTokens && this.isHome;
  }

  #cachedRefusal(neededTokens: number): ReserveOutcome | undefined {
    return this.#exhaustion.lookUp(neededTokens - this.stockTokens, this.#nowMs);
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  async #refillFromStore(neededTokens: number): Promise<ReserveOutcome> {
    // While the store is unavailable, requests that need it are refused at once.
    if (this.#options.isStoreUnavailable()) {
      return this.#isUsedUp(neededTokens) ? 'exhausted' : 'storeAway';
    }
    this.#waitingTokens += neededTokens;
    try {
      return await this.#refillAfterPendingUpdate(neededTokens);
    } finally {
      this.#waitingTokens -= neededTokens;
    }
  }

  async #refillAfterPendingUpdate(neededTokens: number): Promise<ReserveOutcome> {
    while (this.#pendingUpdate !== undefined) await this.#pendingUpdate;
    if (neededTokens > 0 && !this.#isSuspended && this.stockTokens >= neededTokens)
      return 'reserved';
    const refusal = this.#cachedRefusal(neededTokens);
    if (refusal !== undefined) return refusal;
    const outcome = await this.#runExclusively(this.#raiseGrant(neededTokens));
    const isHeldElsewhere = outcome === 'heldElsewhere' && neededTokens > 0 && this.isHome;
    if (!isHeldElsewhere || !(await this.#collectFromHolders(neededTokens))) return outcome;
    this.#exhaustion.clear();
    return 'reserved';
  }

  /** Distinguishes an exhausted account from one whose tokens are held by other instances. */
  #refusalOutcome(neededTokens: number): ReserveOutcome {
    return this.#isUsedUp(neededTokens) ? 'exhausted' : 'heldElsewhere';
  }

  /**
   * Whether the tokens that are neither spent nor reserved do not cover a request.
   *
   * Spent tokens only increase, so old totals remain valid; reserved tokens count in full. This avoids
   * calls to peers and the store for a used up account, above all while the store is unavailable.
   */
  #isUsedUp(neededTokens: number): boolean {
    const { prepaidTokens, seenBoundTokens } = this.#stockInputs;
    return neededTokens > 0 && prepaidTokens - seenBoundTokens < neededTokens;
  }

  async #raiseGrant(neededTokens: number): Promise<ReserveOutcome> {
    let isFresh = false;
    try {
      for (let attempt = 1; attempt <= maxWriteAttempts; attempt += 1) {
        if (this.#grant.page === undefined) {
          await this.#grant.read();
          isFresh = true;
        }
        if (this.#grant.isLost) {
          await this.#writeGrantAgain();
          continue;
        }
        const remaining = this.#grant.isWithheld
          ? 0
          : this.#limit.prepaidTokens - this.#grant.seenGrantedTokens;
        const shortage = Math.max(0, neededTokens - this.stockTokens);
        // One write covers all requests that wait for this page.
        const wanted = Math.max(this.#waitingTokens, this.#targetStock());
        const desired = Math.max(shortage, wanted - this.stockTokens);
        const increase = Math.min(Math.ceil(desired), remaining);
        if (this.#isSuspended || increase < shortage || increase <= 0) {
          if (increase <= 0 && shortage === 0) return 'reserved';
          if (isFresh) return this.#deny(neededTokens, remaining);
          this.#grant.invalidatePage();
          continue;
        }
        const raised = this.#grant.storedTokens + increase;
        if ((await this.#grant.write(raised, this.#drawnTokens)) === 'written') {
          this.#report('granted', increase);
          return 'reserved';
        }
        isFresh = true;
        await this.#delayAfterConflict();
      }
    } catch (thrown) {
      return this.#handleStoreError(thrown, neededTokens);
    }
    return 'heldElsewhere';
  }

  /** Writes the grant again if the store lost it when it returned from an older copy. */
  async #writeLostGrant(): Promise<ReserveOutcome> {
    try {
      for (let attempt = 1; attempt <= maxWriteAttempts; attempt += 1) {
        if (this.#grant.page === undefined) await this.#grant.read();
        if (!this.#grant.isLost) return 'reserved';
        await this.#writeGrantAgain();
      }
    } catch (thrown) {
      return this.#handleStoreError(thrown, 0);
    }
    return 'heldElsewhere';
  }

  async #writeGrantAgain(): Promise<void> {
    // A later run of this instance may already have closed the grant.
    if (this.#isEnded) throw new RouterError('storeUnavailable', 'this process run has ended');
    // The cached page may be from before the restore.
    await this.#grant.read();
    if ((await this.#grant.write(this.#grant.tokens, this.#drawnTokens)) === 'written') {
      this.#report('writtenAgain', this.#grant.tokens);
      return;
    }
    await this.#delayAfterConflict();
  }

  #handleStoreError(thrown: unknown, tokens: number): ReserveOutcome {
    this.#grant.invalidatePage();
    this.#report('unknown', tokens);
    return toRouterError(thrown).kind === 'storeUnavailable' ? 'storeAway' : 'heldElsewhere';
  }

  #deny(neededTokens: number, remainingTokens: number): ReserveOutcome {
    this.#report('denied', neededTokens);
    return this.#exhaustion.record(
      this.#refusalOutcome(neededTokens),
      Math.max(0, remainingTokens),
      this.#nowMs,
    );
  }

  /** Returns idle tokens for use by others: borrowed ones to the home, the rest to the store. */
  async #returnIdleTokens(keptTokens: number): Promise<void> {
    await this.#returnToHome(keptTokens);
    const idle = Math.floor(this.stockTokens - keptTokens);
    if (idle > 0) await this.#runExclusively(this.#lowerGrant(idle));
  }

  /**
   * Returns idle borrowed tokens to the home.
   *
   * Tokens that are returned to a crashed home are lost to the account. Therefore the home is queried
   * first, and gets the tokens only right after it has responded.
   */
  async #returnToHome(keptTokens: number): Promise<void> {
    const { peers, accountId } = this.#options;
    const home = peers.homeOf(accountId);
    if (home === undefined || this.#loans.balanceTokens <= 0) return;
    const response = await peers.ask(home, this.#createLoanRequest(0, 0));
    if (response === undefined) return;
    this.#lastLender = response.lender;
    this.#receiveLoan(response.lender, response.lentTokens);
    const idle = Math.floor(this.stockTokens - keptTokens);
    const returned = Math.min(idle, this.#loans.balanceTokens);
    if (returned <= 0) return;
    this.#loans.lend(response.lender, returned);
    this.#report('lent', returned);
    await peers.ask(home, this.#createLoanRequest(0, 0));
  }

  /** Marks a change of the page as pending, so that this instance starts no other one meanwhile. */
  async #runExclusively(work: Promise<ReserveOutcome>): Promise<ReserveOutcome> {
    this.#pendingUpdate = work;
    try {
      return await work;
    } finally {
      this.#pendingUpdate = undefined;
    }
  }

  async #lowerGrant(returnedTokens: number): Promise<ReserveOutcome> {
    try {
      for (let attempt = 1; attempt <= maxWriteAttempts; attempt += 1) {
        if (this.#grant.page === undefined) await this.#grant.read();
        if (this.#grant.isLost) {
          await this.#writeGrantAgain();
          continue;
        }
        const idle = Math.min(returnedTokens, Math.max(0, this.stockTokens));
        const returned = Math.min(idle, this.#grant.storedTokens);
        if (returned <= 0) return 'reserved';
        const lowered = this.#grant.startDecrease(this.#grant.storedTokens - returned);
        if ((await this.#grant.write(lowered, this.#drawnTokens)) === 'written') {
          this.#report('returned', returned);
          return 'reserved';
        }
        await this.#delayAfterConflict();
      }
    } catch (thrown) {
      return this.#handleStoreError(thrown, returnedTokens);
    }
    return 'heldElsewhere';
  }

  /** After the limit was lowered, returns idle tokens until the sum of grants does not exceed it. */
  async #enforceLimit(): Promise<void> {
    while (this.#pendingUpdate !== undefined) await this.#pendingUpdate;
    if (!this.#isSuspended) return;
    await this.#returnToHome(0);
    await this.#runExclusively(this.#shrinkToLimit());
  }

  async #shrinkToLimit(): Promise<ReserveOutcome> {
    try {
      await this.#grant.read();
      const { prepaidTokens } = this.#limit;
      if (this.#grant.seenGrantedTokens > prepaidTokens && this.stockTokens > 0) {
        await this.#lowerGrant(this.stockTokens);
      }
      this.#isSuspended = this.#grant.seenGrantedTokens > this.#limit.prepaidTokens;
    } catch (thrown) {
      return this.#handleStoreError(thrown, 0);
    }
    return 'reserved';
  }

  /** Random delay after a conflict: if all writers retried at once, all but one would conflict again. */
  async #delayAfterConflict(): Promise<void> {
    const { clock, random } = this.#options;
    await clock.sleep(random() * maxConflictDelayMs);
  }

  #report(what: GrantEvent['what'], tokens: number): void {
    const isKnown = this.#grant.page !== undefined;
    const remainingTokens = isKnown
      ? this.#limit.prepaidTokens - this.#grant.seenGrantedTokens
      : undefined;
    this.#options.onEvent({ accountId: this.#options.accountId, what, tokens, remainingTokens });
  }
}
