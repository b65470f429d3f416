import { RouterError, type Clock, type Random } from '@acaciacrank/base';
import {
  epochOf,
  maxCopyAgeMs,
  maxLateWriteMs,
  type ObjectStore,
  type WriteCondition,
} from '@acaciacrank/store';
import { OperationJournal } from '../_lib/OperationJournal/index.js';
import { applyOperation, type ApplyOperationOptions } from '../applyOperation/index.js';
import { parsePage } from '../pageSchema/index.js';
import type { LedgerPage, OperationResult, PageOperation } from '../types.js';

/** Options of {@link PageWriter}. */
export interface PageWriterOptions {
  store: ObjectStore;
  clock: Clock;
  random: Random;
  /** How long after its expiry a grant is returned to its budget, in milliseconds. */
  graceMs: number;
  /** How long a request key prevents a second bill, in milliseconds. */
  keyProtectionMs: number;
  /** How long operations of a busy page are collected before they are written, in milliseconds. */
  groupCommitMs?: number;
  /** The maximum number of attempts per update. */
  maxAttempts?: number;
  /** The maximum number of queued operations per page. */
  maxQueuedOperations?: number;
  /** The maximum number of cached pages. */
  maxCachedPages?: number;
}

interface QueuedOperation {
  readonly operation: PageOperation;
  readonly resolve: (result: OperationResult) => void;
  readonly reject: (error: Error) => void;
}

interface CachedPage {
  readonly page: LedgerPage;
  readonly condition: WriteCondition;
  /** Epoch of the store from which the page was read. */
  readonly epoch: number;
  /** How many consecutive reads found the page unchanged by other writers. */
  readonly unchangedReads: number;
}

interface AppliedBatch {
  readonly page: LedgerPage;
  readonly results: readonly OperationResult[];
}

/**
 * After this many unchanged reads a page is written without being read first. For a page with other
 * writers this would cause conflicts, each of which costs a write, and the platform allows fewer
 * writes than reads.
 */
const unchangedReadsToTrust = 2;
/** A page is busy if it was written within this many `groupCommitMs`; other pages are not delayed. */
const busyPeriodWindows = 4;
const initialBackoffMs = 20;
const maxBackoffMs = 2_000;

/**
 * Writes pages in group commits: operations that arrive while an update of their page is under way are
 * queued and written together in the next one, so the writes per request decrease as load increases.
 *
 * A page without other writers is written without being read first.
 *
 * After the store returned from an older copy, what this instance wrote to a page lately is written
 * again before anything else. Otherwise bills of which callers have the final event would be lost, and
 * their request keys would be billed a second time.
 */
export class PageWriter implements Disposable {
  readonly #options: PageWriterOptions;
  readonly #applyOptions: Omit<ApplyOperationOptions, 'nowMs'>;
  readonly #queues = new Map<string, QueuedOperation[]>();
  readonly #cachedPages = new Map<string, CachedPage>();
  readonly #requestKeyCounts = new Map<string, number>();
  readonly #lastCommitMs = new Map<string, number>();
  readonly #journal: OperationJournal;
  /** Epoch in which each page was last written. */
  readonly #writtenEpochs = new Map<string, number>();
  readonly #epochSubscription: Disposable;
  #restoredAtMs = -Infinity;
  /** Conditional writes that succeeded, for metrics. */
  commits = 0;
  /** Conditional writes that failed because another writer was first, for metrics. */
  conflicts = 0;

  constructor(options: PageWriterOptions) {
    this.#options = options;
    this.#applyOptions = { graceMs: options.graceMs, keyProtectionMs: options.keyProtectionMs };
    this.#journal = new OperationJournal(options.clock, maxCopyAgeMs);
    this.#epochSubscription = options.store.epochs.followRestores(() => {
      this.#restoredAtMs = options.clock.monotonicMs();
      for (const pageKey of this.#journal.pageKeys) this.#writeAgain(pageKey);
    });
  }

  [Symbol.dispose](): void {
    this.#epochSubscription[Symbol.dispose]();
  }

  /**
   * Applies operations to a page, durably and in one write.
   *
   * @param pageKey - the key of the page
   * @param operations - the changes, in order
   * @returns the result of each operation
   * @throws RouterError `storeUnavailable` (the operations may have taken effect; they are
   * idempotent, so submit them again; or nothing is granted so soon after a restore), `overloaded` if the queue is full, or `internal` if the page
   * does not parse
   */
  async submit(pageKey: string, operations: readonly PageOperation[]): Promise<OperationResult[]> {
    const queue = this.#queues.get(pageKey);
    if (queue !== undefined && queue.length >= (this.#options.maxQueuedOperations ?? 10_000)) {
      throw new RouterError('overloaded', `the queue of operations for ${pageKey} is full`);
    }
    if (this.#isSettling && operations.some(({ kind }) => kind === 'grant')) {
      throw new RouterError('storeUnavailable', 'grants are being written again after a restore');
    }
    const results = operations.map(
      (operation) =>
        new Promise<OperationResult>((resolve, reject) => {
          this.#enqueue(pageKey, { operation, resolve, reject });
        }),
    );
    return Promise.all(results);
  }

  /** The number of request keys in a page, as last read or written by this instance. */
  requestKeyCount(pageKey: string): number {
    return this.#requestKeyCounts.get(pageKey) ?? 0;
  }

  /** Whether what others were granted before a restore may not be in the pages again. */
  get #isSettling(): boolean {
    return this.#options.clock.monotonicMs() - this.#restoredAtMs < maxLateWriteMs;
  }

  /** Starts a commit of the page, which writes again what was lost. */
  #writeAgain(pageKey: string): void {
    const [operation] = this.#journal.operations(pageKey);
    if (operation === undefined) return;
    this.submit(pageKey, [{ kind: 'prune', budget: operation.budget }]).catch(() => {
      // The next commit of the page writes it again.
    });
  }

  #enqueue(pageKey: string, entry: QueuedOperation): void {
    const queue = this.#queues.get(pageKey);
    if (queue !== undefined) {
      queue.push(entry);
      return;
    }
    this.#queues.set(pageKey, [entry]);
    void this.#commitQueued(pageKey);
  }

  async #commitQueued(pageKey: string): Promise<void> {
    for (;;) {
      await this.#waitForBatch(pageKey);
      const batch = this.#queues.get(pageKey)?.splice(0) ?? [];
      if (batch.length === 0) break;
      await this.#commit(pageKey, batch);
    }
    this.#queues.delete(pageKey);
  }

  /** Waits for more operations of a busy page, unless a grant is queued, for which a request may wait. */
  async #waitForBatch(pageKey: string): Promise<void> {
    // Operations submitted in the same event loop turn go into the same commit.
    await Promise.resolve();
    const queue = this.#queues.get(pageKey) ?? [];
    const isUrgent = queue.some(({ operation }) => operation.kind === 'grant');
    const { groupCommitMs = 0, clock } = this.#options;
    const sinceCommitMs = clock.monotonicMs() - (this.#lastCommitMs.get(pageKey) ?? -Infinity);
    const isBusy = sinceCommitMs < busyPeriodWindows * groupCommitMs;
    if (isBusy && queue.length > 0 && !isUrgent) await clock.sleep(groupCommitMs);
  }

  async #commit(pageKey: string, batch: readonly QueuedOperation[]): Promise<void> {
    try {
      const results = await this.#update(pageKey, batch);
      batch.forEach((entry, index) => {
        const result = results[index];
        if (result !== undefined) entry.resolve(result);
      });
    } catch (error) {
      for (const entry of batch) entry.reject(error as Error);
    }
  }

  /**
   * Retries until the batch is stored or the attempts are used up. The response to a write can be lost
   * after the write took effect. This shows as an error; the page is then read again, and each operation
   * finds its own id.
   */
  async #update(
    pageKey: string,
    batch: readonly QueuedOperation[],
  ): Promise<readonly OperationResult[]> {
    const { clock, random, maxAttempts = 8 } = this.#options;
    let backoffMs = initialBackoffMs;
    let lastError: Error | undefined;
    for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
      try {
        const results = await this.#tryOnce(pageKey, batch);
        if (results !== undefined) return results;
      } catch (error) {
        if (!(error instanceof RouterError) || error.kind !== 'storeUnavailable') throw error;
        lastError = error;
      }
      this.#cachedPages.delete(pageKey);
      // Random, exponentially increasing backoff, so that writers in conflict do not collide again.
      await clock.sleep(random() * backoffMs);
      backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
    }
    const cause = lastError === undefined ? {} : { cause: lastError };
    const message = `${pageKey} could not be updated in ${maxAttempts} attempts`;
    throw new RouterError('storeUnavailable', message, cause);
  }

  /** Reads the page if the cache is not trusted, and writes it once; undefined on a conflict. */
  async #tryOnce(
    pageKey: string,
    batch: readonly QueuedOperation[],
  ): Promise<readonly OperationResult[] | undefined> {
    const cached = this.#cachedPages.get(pageKey);
    const isTrusted = cached !== undefined && cached.unchangedReads >= unchangedReadsToTrust;
    const before = isTrusted ? cached : await this.#read(pageKey, cached);
    const operations = batch.map(({ operation }) => operation);
    const restored = this.#applyLost(pageKey, before);
    const { page, results } = this.#applyAll(restored, operations);
    if (page === before.page) {
      if (!isTrusted) return results;
      // Without a write, no condition proves that the cached page was current: read it again.
      this.#cachedPages.delete(pageKey);
      return this.#tryOnce(pageKey, batch);
    }
    const written = await this.#options.store.write(pageKey, page, before.condition);
    if (written.outcome === 'conflict') {
      this.conflicts += 1;
      return undefined;
    }
    this.commits += 1;
    this.#lastCommitMs.set(pageKey, this.#options.clock.monotonicMs());
    const condition = { kind: 'version', version: written.version } as const;
    const epoch = epochOf(written.version);
    // The store returned in between: the next attempt reads what it holds now.
    if (epoch !== before.epoch) return undefined;
    this.#writtenEpochs.set(pageKey, epoch);
    this.#journal.add(pageKey, operations, results);
    this.#cachePage(pageKey, { page, condition, epoch, unchangedReads: before.unchangedReads });
    return results;
  }

  /** Applies what this instance wrote to the page before the store returned from an older copy. */
  #applyLost(pageKey: string, { page, epoch }: CachedPage): LedgerPage {
    if ((this.#writtenEpochs.get(pageKey) ?? epoch) === epoch) return page;
    return this.#applyAll(page, this.#journal.operations(pageKey)).page;
  }

  async #read(pageKey: string, cached: CachedPage | undefined): Promise<CachedPage> {
    const stored = await this.#options.store.read(pageKey);
    if (cached?.condition.kind === 'version' && cached.condition.version === stored?.version) {
      return { ...cached, unchangedReads: cached.unchangedReads + 1 };
    }
    const condition: WriteCondition =
      stored === undefined ? { kind: 'absent' } : { kind: 'version', version: stored.version };
    const page = parsePage(pageKey, stored?.value);
    const epoch = stored === undefined ? this.#options.store.epochs.value : epochOf(stored.version);
    const read: CachedPage = { page, condition, epoch, unchangedReads: 0 };
    this.#cachePage(pageKey, read);
    return read;
  }

  #cachePage(pageKey: string, cached: CachedPage): void {
    const { maxCachedPages = 64 } = this.#options;
    this.#cachedPages.delete(pageKey);
    this.#cachedPages.set(pageKey, cached);
    this.#requestKeyCounts.set(pageKey, countRequestKeys(cached.page));
    const [oldest] = this.#cachedPages.keys();
    if (oldest === undefined || this.#cachedPages.size <= maxCachedPages) return;
    this.#cachedPages.delete(oldest);
    this.#lastCommitMs.delete(oldest);
    this.#requestKeyCounts.delete(oldest);
  }

  #applyAll(page: LedgerPage, operations: readonly PageOperation[]): AppliedBatch {
    const nowMs = this.#options.clock.wallMs();
    const options = { ...this.#applyOptions, nowMs, mutableBills: new WeakSet() };
    let current = page;
    const results = operations.map((operation) => {
      const applied = applyOperation(current, operation, options);
      current = applied.page;
      return applied.result;
    });
    return { page: current, results };
  }
}

function countRequestKeys(page: LedgerPage): number {
  return Object.values(page.budgets).reduce(
    (sum, budget) => sum + Object.keys(budget.bills).length,
    0,
  );
}
