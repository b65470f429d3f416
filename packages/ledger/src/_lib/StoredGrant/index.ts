import type { AccountId } from '@acaciacrank/base';
import { epochOf, type ObjectStore, type StoredObject } from '@acaciacrank/store';
import {
  reportedBoundTotal,
  emptyPrepaidPage,
  grantedTotal,
  processRunKey,
  parsePrepaidPage,
  withGrant,
  type PrepaidPage,
} from '../../prepaidPage/index.js';
import type { RestoreKnowledge } from '../../RestoreKnowledge/index.js';
import type { ProcessRun } from '../../types.js';

/** Options of {@link StoredGrant}. */
export interface StoredGrantOptions {
  accountId: AccountId;
  processRun: ProcessRun;
  store: ObjectStore;
  restores: RestoreKnowledge;
}

interface CachedPage {
  readonly page: PrepaidPage;
  readonly version: number;
  /** Epoch of the store from which the page was read. */
  readonly epoch: number;
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
 *
 * When the store returns from an older copy, the page may lack grants that are being spent. The own
 * grant stays in force and has to be written again. Ungranted tokens are withheld meanwhile, since they
 * may be held by others: `RestoreKnowledge` determines from when on every grant is in the page again.
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
  /** Epoch of the store that confirmed the grant; undefined before the page was read. */
  #confirmedEpoch: number | undefined;
  /** Whether the page was found to lack the confirmed grant. */
  #isMissing = false;
  /** Whether this process run wrote the page. */
  #hasWritten = false;
  /** Whether this process run sent a write of the page, which may have taken effect. */
  #hasSent = false;
  /** A decrease of the grant that is not confirmed yet; it limits spending immediately. */
  #pendingDecrease: { readonly grantedTokens: number; readonly atVersion: number } | undefined;
  #page: CachedPage | undefined;
  /** Whether the page as last read or listed withholds its ungranted tokens. */
  #isSeenWithheld = false;

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

  /** Whether the page may contain a grant of this process run. */
  get hasWritten(): boolean {
    return this.#hasSent;
  }

  /** Whether the store has lost the grant of this process run, which has to be written again. */
  get isLost(): boolean {
    if (this.#isMissing) return true;
    return this.#hasWritten && this.#confirmedEpoch !== this.#options.store.epochs.value;
  }

  /**
   * Whether ungranted tokens may be held by others, since a restore of the store: nothing more may be
   * granted.
   */
  get isWithheld(): boolean {
    const { restores, store } = this.#options;
    const epoch = store.epochs.value;
    if (epoch === 0) return false;
    if (restores.firstEpoch() === undefined) return true;
    const isRestored =
      this.#page === undefined ? this.#isSeenWithheld : this.#isPageWithheld(this.#page);
    return isRestored && !restores.isAccounted(epoch);
  }

  /** Discards the cached page, so that it is read before the next write. */
  invalidatePage(): void {
    this.#page = undefined;
  }

  /** Updates the totals from a listed page, which may be seconds old. */
  observe(stored: StoredObject): void {
    const page = parsePrepaidPage(stored.value);
    if (page === undefined || stored.version <= (this.#page?.version ?? 0)) return;
    this.#isSeenWithheld = this.#isPageWithheld({ page, epoch: epochOf(stored.version) });
    this.#updateTotals(page);
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
    const { store, processRun, restores } = this.#options;
    const cached = this.#page ?? this.#toCachedPage(undefined, emptyPrepaidPage);
    const { page, version, epoch } = cached;
    const grant = { grantedTokens, boundTokens: Math.max(0, drawnTokens) };
    const isWithheld = this.#isPageWithheld(cached) && !restores.isAccounted(epoch);
    const next = { ...withGrant(page, processRun, grant), epoch, isWithheld };
    const condition =
      version === 0 ? ({ kind: 'absent' } as const) : ({ kind: 'version', version } as const);
    this.#hasSent = true;
    const result = await store.write(this.key, next, condition);
    if (result.outcome === 'written') {
      if (epochOf(result.version) !== epoch) return this.#handleRestoreDuringWrite();
      this.#hasWritten = true;
      this.#isMissing = false;
      this.#confirmedEpoch = epoch;
      this.#grantedTokens = grantedTokens;
      this.#applyStored({ key: this.key, version: result.version, value: next });
      return 'written';
    }
    if (result.current === undefined) this.invalidatePage();
    else this.#applyStored(result.current);
    return 'conflict';
  }

  /**
   * The store returned from an older copy between the read of the page and its write. The write was
   * based on a page that may have lacked grants, so it grants nothing; its epoch shows that to others.
   */
  #handleRestoreDuringWrite(): 'conflict' {
    this.#hasWritten = true;
    this.invalidatePage();
    return 'conflict';
  }

  /** Whether the ungranted tokens of a page may be held by runs that it does not contain. */
  #isPageWithheld({ page, epoch }: Pick<CachedPage, 'page' | 'epoch'>): boolean {
    const firstEpoch = this.#options.restores.firstEpoch() ?? 0;
    return page.isWithheld || Math.max(page.epoch, firstEpoch) < epoch;
  }

  #updateTotals(page: PrepaidPage): void {
    this.seenGrantedTokens = grantedTotal(page);
    this.seenBoundTokens = reportedBoundTotal(page);
    this.reportedTokens = page.grants[processRunKey(this.#options.processRun)]?.boundTokens ?? 0;
  }

  #toCachedPage(stored: StoredObject | undefined, page: PrepaidPage): CachedPage {
    const epoch = stored === undefined ? this.#options.store.epochs.value : epochOf(stored.version);
    return { page, version: stored?.version ?? 0, epoch };
  }

  /** Replaces the cached page by the current one of the store. */
  #applyStored(stored: StoredObject | undefined): void {
    const page = stored === undefined ? emptyPrepaidPage : parsePrepaidPage(stored.value);
    // A page that does not parse must not be treated as empty, or all prepaid tokens would be granted
    // a second time. Without a page nothing is granted.
    if (page === undefined) throw new Error(`${this.key} does not parse`);
    const cached = this.#toCachedPage(stored, page);
    this.#page = cached;
    this.#isSeenWithheld = this.#isPageWithheld(cached);
    this.#updateTotals(page);
    this.#applyOwnGrant(cached);
  }

  /**
   * Takes over the own grant from the page, unless the page lost it in a restore. A lost grant stays in
   * force: it was confirmed, and the page grants nothing more until the grant is written again.
   */
  #applyOwnGrant({ page, version, epoch }: CachedPage): void {
    const storedTokens = page.grants[processRunKey(this.#options.processRun)]?.grantedTokens ?? 0;
    const isRestored = (this.#confirmedEpoch ?? epoch) !== epoch || page.epoch < epoch;
    if (isRestored || storedTokens < this.tokens) {
      this.#grantedTokens = this.tokens;
      this.#pendingDecrease = undefined;
      this.#isMissing = this.#hasWritten || storedTokens > 0;
      return;
    }
    this.#confirmedEpoch = epoch;
    this.#grantedTokens = storedTokens;
    // A write whose response was lost can still take effect as long as its condition holds, that is,
    // until the object has another version.
    if (this.#pendingDecrease !== undefined && version !== this.#pendingDecrease.atVersion) {
      this.#pendingDecrease = undefined;
    }
  }
}
