import type { AccountId } from '@acaciacrank/base';
import { prepaidPagePrefix } from '../_lib/PrepaidGrant/index.js';
import {
  PrepaidAccount,
  type PrepaidAccountsOptions,
  type ReserveOutcome,
} from '../PrepaidAccount/index.js';
import type { LoanAnswer, LoanQuestion } from '../PrepaidPeers/index.js';
import { lifetimeKey } from '../prepaidPage/index.js';

/** Tokens set aside for one request. */
export interface TokenReservation {
  readonly accountId: AccountId;
  readonly tokens: number;
}

/** How often stock is looked after, in milliseconds; a fraction of what stock lasts. */
const tickMs = 1_000;
/**
 * How many ticks pass between two looks at what other instances hold: their pages change by calls of
 * other homes only, which matter for the pace and where a page was dry.
 */
const ticksToObserve = 4;

/** The prepaid tokens of all client accounts, as far as this instance may spend them. */
export class PrepaidAccounts implements Disposable {
  readonly #options: PrepaidAccountsOptions;
  readonly #accounts = new Map<AccountId, PrepaidAccount>();
  readonly #stop = new AbortController();
  readonly #serving: Disposable;

  constructor(options: PrepaidAccountsOptions) {
    this.#options = options;
    this.#serving = options.peers.serve((question) => this.#answerLoan(question));
  }

  /**
   * Takes over the limits of a configuration. An account that is no longer named keeps its state.
   *
   * @param limits - the prepaid tokens of each account
   * @param version - the configuration's version
   */
  setLimits(limits: ReadonlyMap<AccountId, number>, version: number): void {
    for (const [accountId, prepaidTokens] of limits) {
      const limit = { prepaidTokens, version };
      const known = this.#accounts.get(accountId);
      if (known !== undefined) {
        known.setLimit(limit);
        continue;
      }
      this.#accounts.set(accountId, new PrepaidAccount(limit, { ...this.#options, accountId }));
    }
  }

  /**
   * Sets aside the most that a request can use.
   *
   * @param accountId - whose tokens
   * @param tokens - the most that the request can use
   * @returns the outcome; `reserved` must be followed by {@link settle} exactly once
   */
  async reserve(accountId: AccountId, tokens: number): Promise<ReserveOutcome> {
    const account = this.#accounts.get(accountId);
    if (account === undefined) return 'exhausted';
    // Between a refill and its use another request may have taken the tokens, so ask once more.
    for (let attempt = 0; attempt < 2; attempt += 1) {
      if (account.tryReserve(tokens)) return 'reserved';
      const outcome = await account.refill(tokens);
      if (outcome !== 'reserved') return outcome;
    }
    return account.tryReserve(tokens) ? 'reserved' : 'heldElsewhere';
  }

  /** Ends a reservation with what was truly used. */
  settle(reservation: TokenReservation, usedTokens: number): void {
    this.#accounts.get(reservation.accountId)?.settle(reservation.tokens, usedTokens);
  }

  /** Tokens in stock here, for metrics. */
  stockTokens(accountId: AccountId): number {
    return this.#accounts.get(accountId)?.stockTokens ?? 0;
  }

  /** Looks after stock until disposed of. */
  async run(): Promise<void> {
    const { clock, random } = this.#options;
    // By the second tick it is known which instances share the accounts.
    await clock.sleep(tickMs, this.#stop.signal);
    for (let tick = 0; !this.#stop.signal.aborted; tick += 1) {
      // Instances that start together would else race for every page at the same moment, for ever.
      await clock.sleep(tickMs * (0.7 + 0.6 * random()), this.#stop.signal);
      if (tick % ticksToObserve === 0) await this.#observe();
      for (const account of this.#accounts.values()) account.tick();
    }
  }

  /** Gives all idle stock back to the store. */
  async close(): Promise<void> {
    this.#stop.abort();
    this.#serving[Symbol.dispose]();
    await Promise.all([...this.#accounts.values()].map((account) => account.close()));
  }

  [Symbol.dispose](): void {
    this.#stop.abort();
    this.#serving[Symbol.dispose]();
  }

  async #answerLoan(question: LoanQuestion): Promise<LoanAnswer> {
    const account = this.#accounts.get(question.accountId);
    if (account !== undefined) return account.answerLoan(question);
    return { lender: lifetimeKey(this.#options.lifetime), lentTokens: 0, outcome: 'behind' };
  }

  /** Sees how much others hold; a list that may be old is enough and costs the store little. */
  async #observe(): Promise<void> {
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
      // The follower of the configuration tells of a store that is away; old knowledge does here.
    }
  }
}
