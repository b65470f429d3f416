import type { AccountId } from '@acaciacrank/base';
import type { ObjectStore, StoredObject } from '@acaciacrank/store';
import {
  reportedBoundTotal,
  emptyPrepaidPage,
  grantedTotal,
  processRunKey,
  parsePrepaidPage,
  withGrant,
  type PrepaidPage,
} from '../../prepaidPage/index.js';
import type { ProcessRun } from '../../types.js';

/** Options of {@link StoredGrant}. */
export interface StoredGrantOptions {
  accountId: AccountId;
  processRun: ProcessRun;
  store: ObjectStore;
}

/** The key prefix of pages in the store. */
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
 * The grant of one process run in the stored page of an account.
 *
 * Only tokens that the store has confirmed may be spent, because the response to a write can be lost and
 * the write can take effect later.
 */
export class StoredGrant {
  /** Tokens granted to all process runs, as last read or listed; a list may be stale. */
  seenGrantedTokens = 0;
  /** Tokens spent or reserved by all process runs, as reported in the page. */
  seenBoundTokens = 0;
  /** The part of {@link seenBoundTokens} that this process run reported. */
  reportedTokens = 0;
  readonly #options: StoredGrantOptions;
  /** The grant of this process run, as last confirmed by the store. */
  #grantedTokens = 0;
  /** A decrease of the grant that is not confirmed yet; it limits spending immediately. */
  #pendingDecrease: { readonly grantedTokens: number; readonly atVersion: number } | undefined;
  #page: { readonly page: PrepaidPage; readonly version: number } | undefined;

  constructor(options: StoredGrantOptions) {
    this.#options = options;
  }

  /** The key of the account's page in the store. */
  get key(): string {
    return prepaidPageKey(this.#options.accountId);
  }

  /** The total that this process run may ever spend of its own grant. */
  get tokens(): number {
    return Math.min(this.#grantedTokens, this.#pendingDecrease?.grantedTokens ?? Infinity);
  }

  /** The grant as last confirmed by the store, without a pending decrease. */
  get storedTokens(): number {
    return this.#grantedTokens;
  }

  /** The page as last read or written; undefined if it has to be read again. */
  get page(): PrepaidPage | undefined {
    return this.#page?.page;
  }

  /** Discards the cached page, so that it is read before the next write. */
  invalidatePage(): void {
    this.#page = undefined;
  }

  /** Updates the totals from a listed page, which may be seconds old. */
  observe(stored: StoredObject): void {
    const page = parsePrepaidPage(stored.value);
    if (page !== undefined && stored.version > (this.#page?.version ?? 0)) this.#updateTotals(page);
  }

  /** Reads the page. */
  async read(): Promise<void> {
    const stored = await this.#options.store.read(this.key);
    this.#applyStored(stored);
  }

  /**
   * Limits spending to a lower grant before it is written, since the response can be lost and the
   * returned tokens may already be granted to another instance.
   *
   * @returns the grant to write
   */
  startDecrease(grantedTokens: number): number {
    const decreasedTokens = Math.max(0, Math.min(this.tokens, grantedTokens));
    this.#pendingDecrease = { grantedTokens: decreasedTokens, atVersion: this.#page?.version ?? 0 };
    return decreasedTokens;
  }

  /** Writes the grant on the condition that the page was not changed by another writer. */
  async write(grantedTokens: number, drawnTokens: number): Promise<'written' | 'conflict'> {
    const { store, processRun } = this.#options;
    const { page, version } = this.#page ?? { page: emptyPrepaidPage, version: 0 };
    const grant = { grantedTokens, boundTokens: Math.max(0, drawnTokens) };
    const next = withGrant(page, processRun, grant);
    const condition =
      version === 0 ? ({ kind: 'absent' } as const) : ({ kind: 'version', version } as const);
    const result = await store.write(this.key, next, condition);
    if (result.outcome === 'written') {
      this.#applyStored({ key: this.key, version: result.version, value: next });
      return 'written';
    }
    if (result.current === undefined) this.invalidatePage();
    else this.#applyStored(result.current);
    return 'conflict';
  }

  #updateTotals(page: PrepaidPage): void {
    this.seenGrantedTokens = grantedTotal(page);
    this.seenBoundTokens = reportedBoundTotal(page);
    this.reportedTokens = page.grants[processRunKey(this.#options.processRun)]?.boundTokens ?? 0;
  }

  /** Replaces the cached page by the current one of the store. */
  #applyStored(stored: StoredObject | undefined): void {
    const page = stored === undefined ? emptyPrepaidPage : parsePrepaidPage(stored.value);
    // A page that does not parse must not be treated as empty, or all prepaid tokens would be granted
    // a second time. Without a page nothing is granted.
    if (page === undefined) throw new Error(`${this.key} does not parse`);
    const version = stored?.version ?? 0;
    this.#page = { page, version };
    this.#updateTotals(page);
    this.#grantedTokens = page.grants[processRunKey(this.#options.processRun)]?.grantedTokens ?? 0;
    // A write whose response was lost can still take effect as long as its condition holds, that is,
    // until the object has another version.
    if (this.#pendingDecrease !== undefined && version !== this.#pendingDecrease.atVersion) {
      this.#pendingDecrease = undefined;
    }
  }
}
