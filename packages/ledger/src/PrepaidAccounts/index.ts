import type { AccountId } from '@acaciacrank/base';
import { maxLateWriteMs } from '@acaciacrank/store';
import { prepaidPagePrefix } from '../_lib/StoredGrant/index.js';
import {
  PrepaidAccount,
  type PrepaidAccountsOptions,
  type ReserveOutcome,
} from '../PrepaidAccount/index.js';
import type { LoanResponse, LoanRequest } from '../PrepaidPeers/index.js';
import { processRunKey } from '../prepaidPage/index.js';

/** Tokens reserved for one request. */
export interface TokenReservation {
  readonly accountId: AccountId;
  readonly tokens: number;
}

/** The mean interval between ticks of an account, in milliseconds; a fraction of what stock lasts. */
const tickIntervalMs = 1_000;
/**
 * How many ticks pass between two observations of stored pages. A page of which this instance is the
 * home is written by others only when they call the store themselves. Their writes matter for the usage
 * rate of the fleet and after an account was exhausted.
 */
const ticksPerObservation = 4;

/** The prepaid tokens of all client accounts that this instance may spend. */
export class PrepaidAccounts implements Disposable {
  readonly #options: PrepaidAccountsOptions;
  readonly #accounts = new Map<AccountId, PrepaidAccount>();
  readonly #stop = new AbortController();
  readonly #peerHandlerRegistration: Disposable;
  readonly #epochSubscription: Disposable;
  /** When the store's present epoch was first seen, on the monotonic clock. */
  #epochSinceMs = -Infinity;
  #accountedEpoch = 0;

  constructor(options: PrepaidAccountsOptions) {
    this.#options = options;
    this.#epochSubscription = options.store.epochs.follow(
      () => {
        this.#epochSinceMs = options.clock.monotonicMs();
      },
      () => undefined,
    );
    this.#peerHandlerRegistration = options.peers.serve((request) =>
      this.#handleLoanRequest(request),
    );
  }

  /**
   * Applies the limits of a configuration. An account that is no longer listed keeps its state.
   *
   * @param limits - the prepaid tokens of each account
   * @param version - the configuration's version
   */
  setLimits(limits: ReadonlyMap<AccountId, number>, version: number): void {
    for (const [accountId, prepaidTokens] of limits) {
      const limit = { prepaidTokens, version };
      const existing = this.#accounts.get(accountId);
      if (existing !== undefined) {
        existing.setLimit(limit);
        continue;
      }
      this.#accounts.set(accountId, new PrepaidAccount(limit, { ...this.#options, accountId }));
    }
  }

  /**
   * Reserves the most tokens that a request can use.
   *
   * @param accountId - the account of the tokens
   * @param tokens - the most that the request can use
   * @returns the outcome; `reserved` must be followed by {@link settle} exactly once
   */
  async reserve(accountId: AccountId, tokens: number): Promise<ReserveOutcome> {
    const account = this.#accounts.get(accountId);
    if (account === undefined) return 'exhausted';
    // Another request may take the tokens between a refill and its use, so try twice.
    for (let attempt = 0; attempt < 2; attempt += 1) {
      if (account.tryReserve(tokens)) return 'reserved';
      const outcome = await account.refill(tokens);
      if (outcome !== 'reserved') return outcome;
    }
    return account.tryReserve(tokens) ? 'reserved' : 'heldElsewhere';
  }

  /**
   * Reserves tokens that are in stock.
   *
   * @param accountId - the account of the tokens
   * @param tokens - the most that the request can use
   * @returns whether they are reserved, which must be followed by {@link settle} exactly once
   */
  tryReserve(accountId: AccountId, tokens: number): boolean {
    return this.#accounts.get(accountId)?.tryReserve(tokens) ?? false;
  }

  /** Ends a reservation and counts the tokens that were actually used. */
  settle(reservation: TokenReservation, usedTokens: number): void {
    this.#accounts.get(reservation.accountId)?.settle(reservation.tokens, usedTokens);
  }

  /** Tokens of an account in stock at this instance, for metrics. */
  stockTokens(accountId: AccountId): number {
    return this.#accounts.get(accountId)?.stockTokens ?? 0;
  }

  /** The highest epoch of the store in which all grants of this process run are known to be stored. */
  get accountedEpoch(): number {
    return this.#accountedEpoch;
  }

  /** Number of accounts whose ungranted tokens are withheld, since a restore of the store. */
  get withheldAccountCount(): number {
    return [...this.#accounts.values()].filter((account) => account.isWithheld).length;
  }

  /** Maintains the stock of all accounts until this object is closed or disposed of. */
  async run(): Promise<void> {
    const { clock, random } = this.#options;
    // After one interval the instances that share the accounts are known.
    await clock.sleep(tickIntervalMs, this.#stop.signal);
    for (let tick = 0; !this.#stop.signal.aborted; tick += 1) {
      // Jitter: instances that start together would otherwise always write to the same pages at once.
      await clock.sleep(tickIntervalMs * (0.7 + 0.6 * random()), this.#stop.signal);
      if (tick % ticksPerObservation === 0) await this.#observePages();
      for (const account of this.#accounts.values()) account.tick();
      await this.#accountForRestore();
    }
  }

  /**
   * Checks that all grants of this process run are stored in the present epoch, once no write from before
   * the restore can take effect any more.
   */
  async #accountForRestore(): Promise<void> {
    const { store, clock } = this.#options;
    const epoch = store.epochs.value;
    if (epoch <= this.#accountedEpoch) return;
    if (clock.monotonicMs() - this.#epochSinceMs < maxLateWriteMs) return;
    const accounts = [...this.#accounts.values()].filter((account) => account.hasWritten);
    const confirmed = await Promise.all(accounts.map((account) => account.confirmGrant()));
    if (confirmed.every(Boolean) && store.epochs.value === epoch) this.#accountedEpoch = epoch;
  }

  /** Returns all idle stock, before a planned shutdown. */
  async close(): Promise<void> {
    this.#stopServing();
    await Promise.all([...this.#accounts.values()].map((account) => account.close()));
    this[Symbol.dispose]();
  }

  [Symbol.dispose](): void {
    this.#stopServing();
    this.#epochSubscription[Symbol.dispose]();
    for (const account of this.#accounts.values()) account[Symbol.dispose]();
  }

  #stopServing(): void {
    this.#stop.abort();
    this.#peerHandlerRegistration[Symbol.dispose]();
  }

  async #handleLoanRequest(request: LoanRequest): Promise<LoanResponse> {
    const account = this.#accounts.get(request.accountId);
    if (account !== undefined) return account.handleLoanRequest(request);
    return { lender: processRunKey(this.#options.processRun), lentTokens: 0, outcome: 'behind' };
  }

  /** Updates the totals of accounts whose home is here; a stale list suffices and is cheap for the store. */
  async #observePages(): Promise<void> {
    const accounts = [...this.#accounts.values()].filter((account) => account.isHome);
    if (accounts.length === 0) return;
    try {
      const { store } = this.#options;
      const { objects } = await store.snapshot(prepaidPagePrefix, { isStaleAllowed: true });
      const byKey = new Map(objects.map((stored) => [stored.key, stored]));
      for (const account of accounts) {
        const stored = byKey.get(account.key);
        if (stored !== undefined) account.observe(stored);
      }
    } catch {
      // An unavailable store is reported by the configuration follower; old totals suffice here.
    }
  }
}
