import {
  describeError,
  type AccountId,
  type Clock,
  type InstanceId,
  type Random,
} from '@acaciacrank/base';
import type { ObjectStore, StoredObject } from '@acaciacrank/store';
import { AccountPace } from '../_lib/AccountPace/index.js';
import { DryBelief } from '../_lib/DryBelief/index.js';
import { LoanBook } from '../_lib/LoanBook/index.js';
import { PrepaidGrant } from '../_lib/PrepaidGrant/index.js';
import { homeStockMs, openingStock, wantedStock } from '../_lib/prepaidStock/index.js';
import { rankHolders } from '../_lib/rankHolders/index.js';
import type { LoanAnswer, LoanOutcome, LoanQuestion, PrepaidPeers } from '../PrepaidPeers/index.js';
import { instanceOf, lifetimeKey } from '../prepaidPage/index.js';
import type { Lifetime } from '../types.js';

/** What an attempt to set tokens aside came to. */
export type ReserveOutcome = 'reserved' | 'exhausted' | 'heldElsewhere' | 'storeAway';

/** One change of what this instance may spend, for logs. */
export interface GrantEvent {
  readonly accountId: AccountId;
  readonly what: 'granted' | 'returned' | 'denied' | 'unknown' | 'borrowed' | 'lent';
  readonly tokens: number;
  /** Tokens of the account that nobody held when it was written. */
  readonly remainingTokens: number | undefined;
}

/** Options of `PrepaidAccounts`, which each of its accounts shares. */
export interface PrepaidAccountsOptions {
  lifetime: Lifetime;
  store: ObjectStore;
  clock: Clock;
  peers: PrepaidPeers;
  onEvent: (event: GrantEvent) => void;
  random: Random;
  /** Whether the store is known not to answer. */
  isStoreAway: () => boolean;
}

/** Options of {@link PrepaidAccount}. */
export interface PrepaidAccountOptions extends PrepaidAccountsOptions {
  accountId: AccountId;
}

/** An account's limit, and the version of the configuration that says so. */
export interface PrepaidLimit {
  readonly prepaidTokens: number;
  readonly version: number;
}

/** Below this share of the wanted stock more is asked for: one instance asks for all, so it can often. */
const refillShare = 0.85;
/** Above this multiple of the wanted stock the rest is given back, so that a death costs less. */
const returnFactor = 1.4;
/**
 * Less than this share of the prepaid tokens is not worth the call that moves it, unless a request
 * waits for it: a large fleet would else write for each instance and account every second.
 */
const leastMoveShare = 0.004;
/** A loan beyond what a waiting request needs is at most this share of the lender's stock. */
const lentShare = 0.25;
/** The longest pause after a lost race for a page, in milliseconds: a few calls to the store. */
const conflictPauseMs = 30;
/** Instances that the home asks for tokens when the store has no more: each takes a few milliseconds. */
const maxHoldersAsked = 3;
/** Conditional writes tried in a row; each loser of a race learns the page from the answer. */
const maxAttempts = 6;

/**
 * What this lifetime of the instance may spend of one client account.
 *
 * Grants are durable before they are drawn on. The stock of an account is gathered at one instance,
 * its home, from which the others borrow what they need for a second or two: one stock for all serves
 * an outage of the store far better than as many small ones, each of which runs dry on its own, and
 * only the home calls the store. An instance that cannot reach the home goes to the store itself.
 */
export class PrepaidAccount {
  readonly #options: PrepaidAccountOptions;
  readonly #grant: PrepaidGrant;
  readonly #loans = new LoanBook();
  /** The limit of the newest configuration. */
  #limit: PrepaidLimit;
  #reservedTokens = 0;
  #spentTokens = 0;
  readonly #pace: AccountPace;
  /** What requests that wait for the store need together. */
  #waitingTokens = 0;
  #isMeasured = false;
  /** Since when the store has answered, on the monotonic clock. */
  #storeCalmSinceMs: number;
  #isSuspended = false;
  readonly #dry = new DryBelief<ReserveOutcome>();
  #writing: Promise<ReserveOutcome> | undefined;
  /** The lifetime at the home that answered last. */
  #lender = '';
  #isFilling = false;
  /** Questions to the home that are under way. */
  #borrowing = 0;

  constructor(limit: PrepaidLimit, options: PrepaidAccountOptions) {
    this.#limit = limit;
    this.#options = options;
    this.#grant = new PrepaidGrant(options);
    const nowMs = options.clock.monotonicMs();
    this.#pace = new AccountPace(nowMs);
    this.#storeCalmSinceMs = nowMs;
  }

  /** Where the account's page lies. */
  get key(): string {
    return this.#grant.key;
  }

  /** Tokens that can be set aside without a call to the store or a peer. */
  get stockTokens(): number {
    return this.#grant.tokens - this.#drawnTokens;
  }

  /** Whether the account's stock is gathered here. */
  get isHome(): boolean {
    return this.#options.peers.homeOf(this.#options.accountId) === undefined;
  }

  /** Changes the limit; a lower one stops spending until the page is known to fit under it. */
  setLimit(limit: PrepaidLimit): void {
    const isLower = limit.prepaidTokens < this.#limit.prepaidTokens;
    this.#limit = limit;
    this.#dry.clear();
    if (!isLower) return;
    this.#grant.forgetPage();
    this.#isSuspended = true;
    void this.#fitUnderLimit();
  }

  /**
   * Sets tokens aside if they are in stock.
   *
   * @param tokens - the most that the request can use
   * @returns whether they are set aside; else {@link refill} may help
   */
  tryReserve(tokens: number): boolean {
    if (this.#isSuspended || this.stockTokens < tokens) return false;
    this.#reservedTokens += tokens;
    return true;
  }

  /** Ends a reservation with what was truly used. */
  settle(reservedTokens: number, usedTokens: number): void {
    this.#reservedTokens -= reservedTokens;
    this.#spentTokens += usedTokens;
  }

  /**
   * Gets more, from the account's home or else from the store.
   *
   * @param neededTokens - what a waiting request needs; 0 to fill up stock
   * @returns why there is no more, or `reserved` when stock grew enough
   */
  async refill(neededTokens: number): Promise<ReserveOutcome> {
    const known = this.#knownDry(neededTokens);
    if (known !== undefined) return known;
    const { peers, accountId } = this.#options;
    const borrowed = await this.#borrow(peers.homeOf(accountId), neededTokens);
    if (borrowed === 'lent') return 'reserved';
    // Stock that could not be had just now says nothing of what a request can get.
    if (borrowed !== undefined && neededTokens === 0) return 'heldElsewhere';
    if (borrowed === 'exhausted' || borrowed === 'heldElsewhere') {
      const remainingTokens = Math.max(0, neededTokens - 1 - this.stockTokens);
      return this.#dry.note(borrowed, remainingTokens, this.#nowMs);
    }
    const granted = await this.#refillFromStore(neededTokens);
    if (granted !== 'storeAway' || neededTokens === 0) return granted;
    // The store may turn away this instance alone, and the home too; others can still be granted.
    const helped = await this.#borrow(peers.backupOf(accountId), neededTokens);
    return helped === 'lent' ? 'reserved' : granted;
  }

  /** Answers a peer: takes in what it gave, and lends what it asks for. */
  async answerLoan(question: LoanQuestion): Promise<LoanAnswer> {
    const lender = this.#ownKey;
    if (question.givenTo === lender) this.#take(question.borrower, question.givenTokens);
    const outcome = await this.#lend(question);
    return { lender, lentTokens: this.#loans.lentTo(question.borrower), outcome };
  }

  /** Takes note of the page as some list showed it, which may be seconds old. */
  observe(stored: StoredObject): void {
    this.#grant.observe(stored);
  }

  /** Looks once a second whether to ask for more or to give back. */
  tick(): void {
    const nowMs = this.#nowMs;
    this.#isMeasured = true;
    if (this.#options.isStoreAway()) this.#storeCalmSinceMs = nowMs;
    this.#pace.measure({
      nowMs,
      usedTokens:
        this.#spentTokens + this.#reservedTokens + Math.max(0, -this.#loans.balanceTokens),
      seenBoundTokens: this.#grant.seenBoundTokens,
      openingTokensPerMs: openingStock(this.#situation) / homeStockMs,
    });
    if (this.#writing !== undefined || this.#isFilling) return;
    if (this.#isSuspended) void this.#fitUnderLimit();
    else if (this.#isLow()) void this.#fill();
    else if (this.#isIdle()) void this.#giveBack(this.#keptStock());
  }

  /** Gives back all that is not in use, before a planned end. */
  async close(): Promise<void> {
    while (this.#writing !== undefined) await this.#writing;
    if (this.stockTokens > 0) await this.#giveBack(0);
  }

  /** What is gone of this lifetime's own grant: spent, set aside or lent, less what was borrowed. */
  get #drawnTokens(): number {
    return this.#spentTokens + this.#reservedTokens - this.#loans.balanceTokens;
  }

  get #ownKey(): string {
    return lifetimeKey(this.#options.lifetime);
  }

  get #unheldSeen(): number {
    return Math.max(0, this.#limit.prepaidTokens - this.#grant.seenGrantedTokens);
  }

  get #situation() {
    // What was used here since the page was last written, in an outage above all.
    const untoldTokens = Math.max(0, this.#drawnTokens - this.#grant.toldTokens);
    return {
      prepaidTokens: this.#limit.prepaidTokens,
      seenBoundTokens: this.#grant.seenBoundTokens + untoldTokens,
      paceTokensPerMs: this.#pace.tokensPerMs,
      fleetPaceTokensPerMs: this.#pace.fleetTokensPerMs,
      isHome: this.isHome,
      isMeasured: this.#isMeasured,
      storeCalmMs: this.#nowMs - this.#storeCalmSinceMs,
    };
  }

  #wantedStock(): number {
    return wantedStock(this.#situation);
  }

  /** What may stay here: stock that is still there after an outage is not given back to be asked for again. */
  #keptStock(): number {
    return wantedStock({ ...this.#situation, storeCalmMs: Infinity });
  }

  #isLow(): boolean {
    if (this.#dry.isHeld(this.#nowMs)) return false;
    const wanted = this.#wantedStock();
    if (this.stockTokens >= wanted * refillShare) return false;
    if (wanted - this.stockTokens <= leastMoveShare * this.#limit.prepaidTokens) return false;
    return !this.isHome || this.#unheldSeen > 0;
  }

  /** Guards against tokens that lie idle here while another instance refuses for want of them. */
  #isIdle(): boolean {
    const kept = this.#keptStock();
    const excess = this.stockTokens - kept;
    return (
      this.stockTokens > returnFactor * kept && excess > leastMoveShare * this.#limit.prepaidTokens
    );
  }

  async #fill(): Promise<void> {
    this.#isFilling = true;
    try {
      await this.refill(0);
    } finally {
      this.#isFilling = false;
    }
  }

  /** Asks a peer; undefined where there is none, or it does not answer. */
  async #borrow(
    peer: InstanceId | undefined,
    neededTokens: number,
  ): Promise<LoanOutcome | undefined> {
    if (peer === undefined) return undefined;
    const missing = Math.max(0, neededTokens - this.stockTokens);
    // Requests that wait side by side would else each fill up the stock.
    const wanted = this.#borrowing > 0 ? 0 : Math.max(0, this.#wantedStock() - this.stockTokens);
    this.#borrowing += 1;
    const answer = await this.#askPeer(peer, this.#question(missing, wanted));
    this.#borrowing -= 1;
    if (answer === undefined) return undefined;
    this.#lender = answer.lender;
    return answer.outcome;
  }

  /** Asks a peer and takes in what it lends; undefined where it does not answer. */
  async #askPeer(peer: InstanceId, question: LoanQuestion): Promise<LoanAnswer | undefined> {
    const answer = await this.#options.peers.ask(peer, question);
    if (answer === undefined) return undefined;
    const taken = this.#take(answer.lender, answer.lentTokens);
    if (taken > 0) this.#report('borrowed', taken);
    return answer;
  }

  #question(neededTokens: number, wantedTokens: number): LoanQuestion {
    return {
      accountId: this.#options.accountId,
      borrower: this.#ownKey,
      limitVersion: this.#limit.version,
      givenTo: this.#lender,
      givenTokens: this.#loans.lentTo(this.#lender),
      neededTokens: Math.ceil(neededTokens),
      wantedTokens: Math.ceil(wantedTokens),
    };
  }

  #take(lender: string, totalTokens: number): number {
    const taken = this.#loans.take(lender, totalTokens);
    if (taken > 0) this.#dry.clear();
    return taken;
  }

  async #lend(question: LoanQuestion): Promise<LoanOutcome> {
    const { neededTokens, wantedTokens, limitVersion, borrower } = question;
    if (neededTokens + wantedTokens <= 0) return 'lent';
    // A borrower that knows a newer limit must not get what was granted under the older one.
    if (limitVersion > this.#limit.version) return 'behind';
    if (this.#isSuspended) return 'heldElsewhere';
    if (this.stockTokens < neededTokens) {
      const outcome = await this.#refillFromStore(neededTokens);
      if (outcome !== 'reserved') return outcome;
    }
    if (this.#isSuspended || this.stockTokens < neededTokens) return 'heldElsewhere';
    // The home puts together what requests need; anybody else leaves most for the next one.
    const share = this.#isHomeOf(borrower) ? 1 : lentShare;
    const spare = Math.floor((this.stockTokens - neededTokens) * share);
    const tokens = neededTokens + Math.max(0, Math.min(wantedTokens, spare));
    if (tokens === 0) return 'heldElsewhere';
    this.#loans.lend(borrower, tokens);
    return 'lent';
  }

  /** Whether a lifetime is one of the instance where the account's stock is gathered. */
  #isHomeOf(lifetime: string): boolean {
    return instanceOf(lifetime) === this.#options.peers.homeOf(this.#options.accountId);
  }

  /**
   * At the home, collects what others hold where the store has no more.
   *
   * Guards against tokens that lie idle with instances that were the home before, took them before
   * they knew the others, or borrowed them: it shows as requests refused for tokens that live
   * instances hold.
   */
  async #collect(neededTokens: number): Promise<boolean> {
    const holders = rankHolders({
      page: this.#grant.page,
      loans: this.#loans.outstanding(),
      ownInstance: this.#options.lifetime.instanceId,
    });
    for (const holder of holders.slice(0, maxHoldersAsked)) {
      if (this.stockTokens >= neededTokens) break;
      const missing = Math.ceil(neededTokens - this.stockTokens);
      // As stock, not as a need: a need would send the holder to the store, which has no more.
      const answer = await this.#askPeer(holder, this.#question(0, missing));
      // A request waits; without its links this instance is alone for the moment.
      if (answer === undefined) break;
    }
    return this.stockTokens >= neededTokens && this.isHome;
  }

  #knownDry(neededTokens: number): ReserveOutcome | undefined {
    return this.#dry.outcomeFor(neededTokens - this.stockTokens, this.#nowMs);
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  async #refillFromStore(neededTokens: number): Promise<ReserveOutcome> {
    // A request that only the store could help is refused at once while the store is away.
    if (this.#options.isStoreAway()) {
      return this.#isUsedUp(neededTokens) ? 'exhausted' : 'storeAway';
    }
    this.#waitingTokens += neededTokens;
    try {
      return await this.#refillInTurn(neededTokens);
    } finally {
      this.#waitingTokens -= neededTokens;
    }
  }

  async #refillInTurn(neededTokens: number): Promise<ReserveOutcome> {
    while (this.#writing !== undefined) await this.#writing;
    if (neededTokens > 0 && !this.#isSuspended && this.stockTokens >= neededTokens)
      return 'reserved';
    const known = this.#knownDry(neededTokens);
    if (known !== undefined) return known;
    const asked = await this.#alone(this.#ask(neededTokens));
    const isHeld = asked === 'heldElsewhere' && neededTokens > 0 && this.isHome;
    if (!isHeld || !(await this.#collect(neededTokens))) return asked;
    this.#dry.clear();
    return 'reserved';
  }

  /** Whether nothing can help, or tokens that others hold may come back. */
  #refusal(neededTokens: number): ReserveOutcome {
    return this.#isUsedUp(neededTokens) ? 'exhausted' : 'heldElsewhere';
  }

  /**
   * Whether so much was used or is set aside that the rest does not cover a request.
   *
   * What was used only grows, so old knowledge of it holds; what is set aside counts at its most. It
   * spares callers of a used up account the ways that lead to no tokens, above all while the store is
   * away.
   */
  #isUsedUp(neededTokens: number): boolean {
    const { prepaidTokens, seenBoundTokens } = this.#situation;
    return neededTokens > 0 && prepaidTokens - seenBoundTokens < neededTokens;
  }

  async #ask(neededTokens: number): Promise<ReserveOutcome> {
    let isFresh = false;
    try {
      for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
        if (this.#grant.page === undefined) {
          await this.#grant.read();
          isFresh = true;
        }
        const remaining = this.#limit.prepaidTokens - this.#grant.seenGrantedTokens;
        const shortage = Math.max(0, neededTokens - this.stockTokens);
        // One write serves all requests that wait for this page.
        const wanted = Math.max(this.#waitingTokens, this.#wantedStock());
        const wish = Math.max(shortage, wanted - this.stockTokens);
        const extra = Math.min(Math.ceil(wish), remaining);
        if (this.#isSuspended || extra < shortage || extra <= 0) {
          if (extra <= 0 && shortage === 0) return 'reserved';
          if (isFresh) return this.#deny(neededTokens, remaining);
          this.#grant.forgetPage();
          continue;
        }
        const granted = this.#grant.storedTokens + extra;
        if ((await this.#grant.write(granted, this.#drawnTokens)) === 'written') {
          this.#report('granted', extra);
          return 'reserved';
        }
        isFresh = true;
        await this.#pauseAfterConflict();
      }
    } catch (thrown) {
      return this.#failed(thrown, neededTokens);
    }
    return 'heldElsewhere';
  }

  #failed(thrown: unknown, tokens: number): ReserveOutcome {
    this.#grant.forgetPage();
    this.#report('unknown', tokens);
    return describeError(thrown).kind === 'storeUnavailable' ? 'storeAway' : 'heldElsewhere';
  }

  #deny(neededTokens: number, remainingTokens: number): ReserveOutcome {
    this.#report('denied', neededTokens);
    return this.#dry.note(this.#refusal(neededTokens), Math.max(0, remainingTokens), this.#nowMs);
  }

  /** Passes idle tokens on, so that others can have them: to the home, or where it is here, to the store. */
  async #giveBack(keptTokens: number): Promise<void> {
    await this.#giveToHome(keptTokens);
    const idle = Math.floor(this.stockTokens - keptTokens);
    if (idle > 0) await this.#alone(this.#lower(idle));
  }

  /**
   * Gives the home what was borrowed and is idle.
   *
   * Guards against a home that is gone: what is given to it is lost to the account. So it is asked
   * first, and gets the tokens only right after it has answered.
   */
  async #giveToHome(keptTokens: number): Promise<void> {
    const { peers, accountId } = this.#options;
    const home = peers.homeOf(accountId);
    if (home === undefined || this.#loans.balanceTokens <= 0) return;
    const answer = await peers.ask(home, this.#question(0, 0));
    if (answer === undefined) return;
    this.#lender = answer.lender;
    this.#take(answer.lender, answer.lentTokens);
    const idle = Math.floor(this.stockTokens - keptTokens);
    const given = Math.min(idle, this.#loans.balanceTokens);
    if (given <= 0) return;
    this.#loans.lend(answer.lender, given);
    this.#report('lent', given);
    await peers.ask(home, this.#question(0, 0));
  }

  /** Marks a change of the page as under way, so that no other one begins here. */
  async #alone(work: Promise<ReserveOutcome>): Promise<ReserveOutcome> {
    this.#writing = work;
    try {
      return await work;
    } finally {
      this.#writing = undefined;
    }
  }

  async #lower(returnedTokens: number): Promise<ReserveOutcome> {
    try {
      for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
        if (this.#grant.page === undefined) await this.#grant.read();
        const idle = Math.min(returnedTokens, Math.max(0, this.stockTokens));
        const returned = Math.min(idle, this.#grant.storedTokens);
        if (returned <= 0) return 'reserved';
        const lowered = this.#grant.bindLower(this.#grant.storedTokens - returned);
        if ((await this.#grant.write(lowered, this.#drawnTokens)) === 'written') {
          this.#report('returned', returned);
          return 'reserved';
        }
        await this.#pauseAfterConflict();
      }
    } catch (thrown) {
      return this.#failed(thrown, returnedTokens);
    }
    return 'heldElsewhere';
  }

  /** After the limit was lowered: gives back what is idle until all grants fit under it. */
  async #fitUnderLimit(): Promise<void> {
    while (this.#writing !== undefined) await this.#writing;
    if (!this.#isSuspended) return;
    await this.#giveToHome(0);
    await this.#alone(this.#fit());
  }

  async #fit(): Promise<ReserveOutcome> {
    try {
      await this.#grant.read();
      const { prepaidTokens } = this.#limit;
      if (this.#grant.seenGrantedTokens > prepaidTokens && this.stockTokens > 0) {
        await this.#lower(this.stockTokens);
      }
      this.#isSuspended = this.#grant.seenGrantedTokens > this.#limit.prepaidTokens;
    } catch (thrown) {
      return this.#failed(thrown, 0);
    }
    return 'reserved';
  }

  /** Spreads the losers of a race: all at once again, all but one of them would lose again. */
  async #pauseAfterConflict(): Promise<void> {
    const { clock, random } = this.#options;
    await clock.sleep(random() * conflictPauseMs);
  }

  #report(what: GrantEvent['what'], tokens: number): void {
    const isKnown = this.#grant.page !== undefined;
    const remainingTokens = isKnown
      ? this.#limit.prepaidTokens - this.#grant.seenGrantedTokens
      : undefined;
    this.#options.onEvent({ accountId: this.#options.accountId, what, tokens, remainingTokens });
  }
}
