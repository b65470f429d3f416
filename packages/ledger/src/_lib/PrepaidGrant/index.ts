import type { AccountId } from '@acaciacrank/base';
import type { ObjectStore, StoredObject } from '@acaciacrank/store';
import {
  boundAtLeast,
  emptyPrepaidPage,
  grantedTotal,
  lifetimeKey,
  parsePrepaidPage,
  withGrant,
  type PrepaidPage,
} from '../../prepaidPage/index.js';
import type { Lifetime } from '../../types.js';

/** Options of {@link PrepaidGrant}. */
export interface PrepaidGrantOptions {
  accountId: AccountId;
  lifetime: Lifetime;
  store: ObjectStore;
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

/**
 * One lifetime's grant of an account, as it lies in the store.
 *
 * What may be spent is never more than what was read back: the answer of a write can be lost and the
 * write come into effect later.
 */
export class PrepaidGrant {
  /** What all lifetimes hold, as last seen, also from stale lists. */
  seenGrantedTokens = 0;
  /** What all lifetimes have spent or set aside, as far as they have told. */
  seenBoundTokens = 0;
  /** The part of {@link seenBoundTokens} that this lifetime told of itself. */
  toldTokens = 0;
  readonly #options: PrepaidGrantOptions;
  /** This lifetime's grant as it was last read back. */
  #grantedTokens = 0;
  /** A lower grant that was asked for and not confirmed; it binds at once. */
  #lowering: { readonly grantedTokens: number; readonly atVersion: number } | undefined;
  #page: { readonly page: PrepaidPage; readonly version: number } | undefined;

  constructor(options: PrepaidGrantOptions) {
    this.#options = options;
  }

  /** Where the account's page lies. */
  get key(): string {
    return prepaidPageKey(this.#options.accountId);
  }

  /** All that this lifetime may ever spend of its own grant. */
  get tokens(): number {
    return Math.min(this.#grantedTokens, this.#lowering?.grantedTokens ?? Infinity);
  }

  /** The grant as the store last showed it. */
  get storedTokens(): number {
    return this.#grantedTokens;
  }

  /** The page as last read for certain; undefined while it has to be read again. */
  get page(): PrepaidPage | undefined {
    return this.#page?.page;
  }

  /** Drops what is known of the page, so that it is read before the next write. */
  forgetPage(): void {
    this.#page = undefined;
  }

  /** Takes note of the page as some list showed it, which may be seconds old. */
  observe(stored: StoredObject): void {
    const page = parsePrepaidPage(stored.value);
    if (page !== undefined && stored.version > (this.#page?.version ?? 0)) this.#see(page);
  }

  /** Reads the page. */
  async read(): Promise<void> {
    const stored = await this.#options.store.read(this.key);
    this.#learn(stored);
  }

  /**
   * Binds this lifetime to a lower grant before that is written.
   *
   * Guards against a lost answer: the tokens may be another's already when nothing was heard.
   */
  bindLower(grantedTokens: number): number {
    const lowered = Math.max(0, Math.min(this.tokens, grantedTokens));
    this.#lowering = { grantedTokens: lowered, atVersion: this.#page?.version ?? 0 };
    return lowered;
  }

  /** Writes the grant under the condition that nobody else wrote the page. */
  async write(grantedTokens: number, drawnTokens: number): Promise<'written' | 'conflict'> {
    const { store, lifetime } = this.#options;
    const { page, version } = this.#page ?? { page: emptyPrepaidPage, version: 0 };
    const grant = { grantedTokens, boundTokens: Math.max(0, drawnTokens) };
    const next = withGrant(page, lifetime, grant);
    const condition =
      version === 0 ? ({ kind: 'absent' } as const) : ({ kind: 'version', version } as const);
    const result = await store.write(this.key, next, condition);
    if (result.outcome === 'written') {
      this.#learn({ key: this.key, version: result.version, value: next });
      return 'written';
    }
    if (result.current === undefined) this.forgetPage();
    else this.#learn(result.current);
    return 'conflict';
  }

  #see(page: PrepaidPage): void {
    this.seenGrantedTokens = grantedTotal(page);
    this.seenBoundTokens = boundAtLeast(page);
    this.toldTokens = page.grants[lifetimeKey(this.#options.lifetime)]?.boundTokens ?? 0;
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
    this.#grantedTokens = page.grants[lifetimeKey(this.#options.lifetime)]?.grantedTokens ?? 0;
    // A write that lost its answer can still come into effect while its condition holds, and no
    // longer once the object has another version.
    if (this.#lowering !== undefined && version !== this.#lowering.atVersion) {
      this.#lowering = undefined;
    }
  }
}
