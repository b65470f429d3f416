import { describeError, type AccountId, type Clock, type Random } from '@acaciacrank/base';
import type { ObjectStore, StoredObject } from '@acaciacrank/store';
import {
  boundAtLeast,
  emptyPrepaidPage,
  grantedTotal,
  lifetimeKey,
  parsePrepaidPage,
  withGrant,
  type PrepaidPage,
} from '../prepaidPage/index.js';
import type { Lifetime } from '../types.js';

/** What an attempt to set tokens aside came to. */
export type ReserveOutcome = 'reserved' | 'exhausted' | 'heldElsewhere' | 'storeAway';

/** One change of what this instance may spend, for logs. */
export interface GrantEvent {
  readonly accountId: AccountId;
  readonly what: 'granted' | 'returned' | 'denied' | 'unknown';
  readonly tokens: number;
  /** Tokens of the account that nobody held when it was written. */
  readonly remainingTokens: number | undefined;
}

/** Options of `PrepaidAccounts`, which each of its accounts shares. */
export interface PrepaidAccountsOptions {
  lifetime: Lifetime;
  store: ObjectStore;
  clock: Clock;
  /** How many instances share the accounts now, this one included. */
  instanceCount: () => number;
  onEvent: (event: GrantEvent) => void;
  random: Random;
  /** Whether the store is known not to answer. */
  isStoreAway: () => boolean;
}

/** Options of {@link PrepaidAccount}. */
export interface PrepaidAccountOptions extends PrepaidAccountsOptions {
  accountId: AccountId;
}

/**
 * How long stock should last at the present pace, in milliseconds. Stock carries the account through
 * an outage of the store, 5 to 9 s long, and is lost when the process dies: with all instances dead
 * at once the account loses this much of its time.
 */
const stockMs = 10_000;
/** Below this share of the wanted stock more is asked for. */
const refillShare = 0.65;
/** Above this multiple of the wanted stock the rest is given back, so that a death costs less. */
const returnFactor = 1.4;
/**
 * The share of the prepaid tokens that all instances hold before they know their pace: what an
 * account uses in {@link stockMs} when its tokens are meant for about a minute.
 */
const openingShareOfAll = 0.25;
/**
 * The idle stock of all instances together is at most this share of what the account has not spent.
 * Near its end an account whose stock is lost with a process is refused all that it asks for later,
 * though it has paid; so stock shrinks with what is left.
 */
const idleShareOfUnspent = 0.25;
/**
 * Less than this share of the prepaid tokens is not worth the call that moves it, unless a request
 * waits for it: a large fleet would else write for each instance and account every second.
 */
const leastMoveShare = 0.004;
/** The longest pause after a lost race for a page, in milliseconds, for each instance that shares it. */
const conflictPauseMs = 4;
/** Weight of the last second in the pace: a few seconds, since single requests are large. */
const paceWeight = 0.25;
/** The same where only other instances see the account's callers, who may come here any moment. */
const idlePaceWeight = 0.06;
/** How long a page that was read to be dry is believed, in milliseconds. */
const dryMs = 1_000;
/** Conditional writes tried in a row; each loser of a race learns the page from the answer. */
const maxAttempts = 6;

/**
 * What this lifetime of the instance may spend of one client account.
 *
 * Grants are durable before they are drawn on. What may be spent is never more than what was read
 * back from the store: the answer of a write can be lost and the write come into effect later.
 */
export class PrepaidAccount {
  readonly #options: PrepaidAccountOptions;
  /** The limit of the newest configuration. */
  #prepaidTokens: number;
  /** This lifetime's grant as it was last read back. */
  #grantedTokens = 0;
  /** A lower grant that was asked for and not confirmed; it binds at once. */
  #lowering: { readonly grantedTokens: number; readonly atVersion: number } | undefined;
  #reservedTokens = 0;
  #spentTokens = 0;
  /** Undefined until the account is used for the first time, here or elsewhere. */
  #paceTokensPerMs: number | undefined;
  /** Everything that was ever set aside; tells the pace without waiting for requests to end. */
  #askedTokens = 0;
  #askedAtTick = 0;
  #tickMs: number;
  #page: { readonly page: PrepaidPage; readonly version: number } | undefined;
  /** What all lifetimes have spent or set aside, as far as they have told. */
  #seenBound = 0;
  #boundAtTick = 0;
  /** The pace of all instances together, as far as their pages tell. */
  #fleetPaceTokensPerMs = 0;
  /** What all lifetimes hold, as last seen, also from stale lists. */
  #seenGrantedTotal = 0;
  #isSuspended = false;
  #dry: { readonly untilMs: number; readonly remainingTokens: number } | undefined;
  #writing: Promise<ReserveOutcome> | undefined;

  constructor(prepaidTokens: number, options: PrepaidAccountOptions) {
    this.#prepaidTokens = prepaidTokens;
    this.#options = options;
    this.#tickMs = options.clock.monotonicMs();
  }

  /** Where the account's page lies. */
  get key(): string {
    return prepaidPageKey(this.#options.accountId);
  }

  /** Tokens that can be set aside without a call to the store. */
  get stockTokens(): number {
    const granted = Math.min(this.#grantedTokens, this.#lowering?.grantedTokens ?? Infinity);
    return granted - this.#boundTokens;
  }

  /** Changes the limit; a lower one stops spending until the page is known to fit under it. */
  setPrepaid(prepaidTokens: number): void {
    const isLower = prepaidTokens < this.#prepaidTokens;
    this.#prepaidTokens = prepaidTokens;
    this.#dry = undefined;
    if (!isLower) return;
    this.#page = undefined;
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
    this.#askedTokens += tokens;
    return true;
  }

  /** Ends a reservation with what was truly used. */
  settle(reservedTokens: number, usedTokens: number): void {
    this.#reservedTokens -= reservedTokens;
    this.#spentTokens += usedTokens;
  }

  /**
   * Asks the store for more.
   *
   * @param neededTokens - what a waiting request needs; 0 to fill up stock
   * @returns why there is no more, or `reserved` when stock grew enough
   */
  async refill(neededTokens: number): Promise<ReserveOutcome> {
    // A request that only the store could help is refused at once while the store is away.
    if (this.#options.isStoreAway()) return 'storeAway';
    while (this.#writing !== undefined) await this.#writing;
    if (neededTokens > 0 && !this.#isSuspended && this.stockTokens >= neededTokens)
      return 'reserved';
    const known = this.#knownDry(neededTokens);
    if (known !== undefined) return known;
    return this.#alone(this.#ask(neededTokens));
  }

  /** Takes note of the page as some list showed it, which may be seconds old. */
  observe(stored: StoredObject): void {
    const page = parsePrepaidPage(stored.value);
    if (page !== undefined && stored.version > (this.#page?.version ?? 0)) {
      this.#see(page);
    }
  }

  /** Looks once a second whether to ask for more or to give back. */
  tick(): void {
    const nowMs = this.#options.clock.monotonicMs();
    const elapsedMs = Math.max(1, nowMs - this.#tickMs);
    const pace = (this.#askedTokens - this.#askedAtTick) / elapsedMs;
    // Unused anywhere, an account keeps its opening stock; used elsewhere only, it is not wanted here.
    if (this.#askedTokens > 0 || this.#seenBound > 0) {
      const before = this.#paceTokensPerMs ?? this.#openingStock() / stockMs;
      const weight = this.#askedTokens > 0 ? paceWeight : idlePaceWeight;
      this.#paceTokensPerMs = before + weight * (pace - before);
    }
    this.#askedAtTick = this.#askedTokens;
    const fleetPace = Math.max(0, this.#seenBound - this.#boundAtTick) / elapsedMs;
    this.#fleetPaceTokensPerMs += paceWeight * (fleetPace - this.#fleetPaceTokensPerMs);
    this.#boundAtTick = this.#seenBound;
    this.#tickMs = nowMs;
    if (this.#writing !== undefined) return;
    if (this.#isSuspended) void this.#fitUnderLimit();
    else if (this.#isLow()) void this.refill(0);
    else if (this.#isIdle()) void this.#giveBack(this.#wantedStock());
  }

  /** Gives back all that is not in use, before a planned end. */
  async close(): Promise<void> {
    while (this.#writing !== undefined) await this.#writing;
    if (this.stockTokens > 0) await this.#giveBack(0);
  }

  get #remainingSeen(): number {
    return Math.max(0, this.#prepaidTokens - this.#seenGrantedTotal);
  }

  #openingStock(): number {
    return (openingShareOfAll * this.#prepaidTokens) / this.#options.instanceCount();
  }

  #wantedStock(): number {
    const pace = this.#paceTokensPerMs;
    if (pace === undefined) return Math.floor(this.#openingStock());
    const mostOfAll = idleShareOfUnspent * Math.max(0, this.#prepaidTokens - this.#seenBound);
    const ownShare = pace <= 0 ? 0 : Math.min(1, pace / Math.max(pace, this.#fleetPaceTokensPerMs));
    return Math.floor(Math.min(pace * stockMs, mostOfAll * ownShare));
  }

  #isLow(): boolean {
    if (this.#dry !== undefined && this.#dry.untilMs > this.#tickMs) return false;
    const wanted = this.#wantedStock();
    const missing = wanted - this.stockTokens;
    return (
      this.#remainingSeen > 0 &&
      this.stockTokens < wanted * refillShare &&
      missing > leastMoveShare * this.#prepaidTokens
    );
  }

  /** Guards against tokens that lie idle here while another instance refuses for want of them. */
  #isIdle(): boolean {
    const wanted = this.#wantedStock();
    const excess = this.stockTokens - wanted;
    return (
      this.stockTokens > returnFactor * wanted && excess > leastMoveShare * this.#prepaidTokens
    );
  }

  #knownDry(neededTokens: number): ReserveOutcome | undefined {
    if (this.#dry === undefined || this.#dry.untilMs <= this.#options.clock.monotonicMs()) {
      return undefined;
    }
    if (this.stockTokens + this.#dry.remainingTokens >= neededTokens) return undefined;
    return this.#refusal(neededTokens);
  }

  /** Whether nothing can help, or tokens that others hold may come back. */
  #refusal(neededTokens: number): ReserveOutcome {
    const page = this.#page?.page;
    if (page === undefined) return 'heldElsewhere';
    const ownUnreported = this.#boundTokens - (page.grants[this.#ownKey]?.boundTokens ?? 0);
    const spent = boundAtLeast(page) + Math.max(0, ownUnreported);
    return this.#prepaidTokens - spent < neededTokens ? 'exhausted' : 'heldElsewhere';
  }

  /** Spent, or set aside for requests under way. */
  get #boundTokens(): number {
    return this.#spentTokens + this.#reservedTokens;
  }

  get #ownKey(): string {
    return lifetimeKey(this.#options.lifetime);
  }

  async #ask(neededTokens: number): Promise<ReserveOutcome> {
    let isFresh = false;
    try {
      for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
        if (this.#page === undefined) {
          await this.#read();
          isFresh = true;
        }
        const remaining = this.#prepaidTokens - this.#seenGrantedTotal;
        const shortage = Math.max(0, neededTokens - this.stockTokens);
        const wish = Math.max(shortage, this.#wantedStock() - this.stockTokens);
        const extra = Math.min(Math.ceil(wish), remaining);
        if (this.#isSuspended || extra < shortage || extra <= 0) {
          if (extra <= 0 && shortage === 0) return 'reserved';
          if (isFresh) return this.#deny(neededTokens, remaining);
          this.#page = undefined;
          continue;
        }
        const result = await this.#write(this.#grantedTokens + extra);
        if (result === 'written') {
          this.#report('granted', extra);
          return 'reserved';
        }
        isFresh = true;
        await this.#pauseAfterConflict();
      }
    } catch (thrown) {
      this.#page = undefined;
      this.#report('unknown', neededTokens);
      return describeError(thrown).kind === 'storeUnavailable' ? 'storeAway' : 'heldElsewhere';
    }
    return 'heldElsewhere';
  }

  #deny(neededTokens: number, remainingTokens: number): ReserveOutcome {
    const untilMs = this.#options.clock.monotonicMs() + dryMs;
    this.#dry = { untilMs, remainingTokens: Math.max(0, remainingTokens) };
    this.#report('denied', neededTokens);
    return this.#refusal(neededTokens);
  }

  /** Lowers this lifetime's grant, so that others can have the rest. */
  async #giveBack(keptTokens: number): Promise<void> {
    const returned = Math.floor(this.stockTokens - keptTokens);
    if (returned <= 0) return;
    await this.#alone(this.#lower(returned));
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
        if (this.#page === undefined) await this.#read();
        if (this.#page === undefined) return 'storeAway';
        // Binds before it is sent: with the answer lost, the tokens may be another's already.
        const lowered = Math.min(
          this.#lowering?.grantedTokens ?? Infinity,
          this.#grantedTokens - Math.min(returnedTokens, Math.max(0, this.stockTokens)),
        );
        this.#lowering = { grantedTokens: lowered, atVersion: this.#page.version };
        if ((await this.#write(lowered)) === 'written') {
          this.#report('returned', returnedTokens);
          return 'reserved';
        }
        await this.#pauseAfterConflict();
      }
    } catch {
      this.#page = undefined;
      this.#report('unknown', returnedTokens);
      return 'storeAway';
    }
    return 'heldElsewhere';
  }

  /** After the limit was lowered: gives back what is idle until all grants fit under it. */
  async #fitUnderLimit(): Promise<void> {
    while (this.#writing !== undefined) await this.#writing;
    if (!this.#isSuspended) return;
    await this.#alone(this.#fit());
  }

  async #fit(): Promise<ReserveOutcome> {
    try {
      await this.#read();
      if (this.#seenGrantedTotal > this.#prepaidTokens && this.stockTokens > 0) {
        await this.#lower(this.stockTokens);
      }
    } catch (thrown) {
      this.#page = undefined;
      this.#report('unknown', 0);
      return describeError(thrown).kind === 'storeUnavailable' ? 'storeAway' : 'heldElsewhere';
    }
    this.#isSuspended = this.#seenGrantedTotal > this.#prepaidTokens;
    return 'reserved';
  }

  async #read(): Promise<void> {
    const stored = await this.#options.store.read(this.key);
    this.#learn(stored);
  }

  async #write(grantedTokens: number): Promise<'written' | 'conflict'> {
    const { store, lifetime } = this.#options;
    const { page, version } = this.#page ?? { page: emptyPrepaidPage, version: 0 };
    const grant = { grantedTokens, boundTokens: this.#boundTokens };
    const next = withGrant(page, lifetime, grant);
    const condition =
      version === 0 ? ({ kind: 'absent' } as const) : ({ kind: 'version', version } as const);
    const result = await store.write(this.key, next, condition);
    if (result.outcome === 'written') {
      this.#learn({ key: this.key, version: result.version, value: next });
      return 'written';
    }
    if (result.current === undefined) this.#page = undefined;
    else this.#learn(result.current);
    return 'conflict';
  }

  #see(page: PrepaidPage): void {
    this.#seenGrantedTotal = grantedTotal(page);
    this.#seenBound = boundAtLeast(page);
  }

  /** Takes over what the store says for certain. */
  #learn(stored: StoredObject | undefined): void {
    const page = stored === undefined ? emptyPrepaidPage : parsePrepaidPage(stored.value);
    // A page that cannot be read must not pass for an empty one: all prepaid tokens would be
    // granted a second time. Without a page nothing is granted.
    if (page === undefined) throw new Error(`${this.key} does not parse`);
    const version = stored?.version ?? 0;
    this.#page = { page, version };
    this.#see(page);
    this.#grantedTokens = page.grants[this.#ownKey]?.grantedTokens ?? 0;
    // A write that lost its answer can still come into effect while its condition holds, and no
    // longer once the object has another version.
    if (this.#lowering !== undefined && version !== this.#lowering.atVersion) {
      this.#lowering = undefined;
    }
  }

  /** Spreads the losers of a race: all at once again, all but one of them would lose again. */
  async #pauseAfterConflict(): Promise<void> {
    const { clock, random, instanceCount } = this.#options;
    await clock.sleep(random() * conflictPauseMs * instanceCount());
  }

  #report(what: GrantEvent['what'], tokens: number): void {
    const remainingTokens =
      this.#page === undefined ? undefined : this.#prepaidTokens - this.#seenGrantedTotal;
    this.#options.onEvent({ accountId: this.#options.accountId, what, tokens, remainingTokens });
  }
}

/** Where pages lie in the store. */
export const prepaidPagePrefix = 'prepaid/';

/**
 * The key of an account's page.
 *
 * @example
 * prepaidPageKey(accountId);
 * //=> 'prepaid/hule930'
 */
export function prepaidPageKey(accountId: AccountId): string {
  return `${prepaidPagePrefix}${accountId}`;
}
