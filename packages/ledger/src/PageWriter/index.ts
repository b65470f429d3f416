import { RouterError, type Clock, type Random } from '@acaciacrank/base';
import type { ObjectStore, WriteCondition } from '@acaciacrank/store';
import { applyOperation, type ApplyOperationOptions } from '../applyOperation/index.js';
import { parsePage } from '../pageSchema/index.js';
import type { LedgerPage, OperationResult, PageOperation } from '../types.js';

/** Options of {@link PageWriter}. */
export interface PageWriterOptions {
  store: ObjectStore;
  clock: Clock;
  random: Random;
  /** How long after its expiry a grant returns to its budget, in milliseconds. */
  graceMs: number;
  /** How long a request key protects against a second bill, in milliseconds. */
  keyProtectionMs: number;
  /** How long bills of a busy page gather before they are written, in milliseconds. */
  groupCommitMs?: number;
  /** How often one update is tried. */
  maxAttempts?: number;
  /** How many operations may wait for one page. */
  maxWaiting?: number;
  /** How many pages are kept as last written. */
  maxKnownPages?: number;
}

interface WaitingOperation {
  readonly operation: PageOperation;
  readonly resolve: (result: OperationResult) => void;
  readonly reject: (error: Error) => void;
}

interface KnownPage {
  readonly page: LedgerPage;
  readonly condition: WriteCondition;
  /** How often in a row nobody else had written since this instance last looked. */
  readonly quietTimes: number;
}

interface AppliedBatch {
  readonly page: LedgerPage;
  readonly results: readonly OperationResult[];
}

/**
 * After how many quiet times a page is written without being read first. A page that others write
 * too would conflict, which costs a write; the platform grants fewer of those than reads.
 */
const quietTimesToTrust = 2;
/** A page that was written within so many gathering times is busy; on another nobody waits. */
const busyWindows = 4;
const firstBackOffMs = 20;
const longestBackOffMs = 2_000;

/**
 * Writes pages in group commits: while one update of a page is under way, what arrives gathers and
 * goes into the next, so the writes per request fall as load rises.
 *
 * A page that nobody else writes is written without being read first.
 */
export class PageWriter {
  readonly #options: PageWriterOptions;
  readonly #applyOptions: Omit<ApplyOperationOptions, 'nowMs'>;
  readonly #waiting = new Map<string, WaitingOperation[]>();
  readonly #known = new Map<string, KnownPage>();
  readonly #keyCounts = new Map<string, number>();
  readonly #committedMs = new Map<string, number>();
  /** Conditional updates that took effect, for the metrics. */
  commits = 0;
  /** Conditional updates that lost against another writer, for the metrics. */
  conflicts = 0;

  constructor(options: PageWriterOptions) {
    this.#options = options;
    this.#applyOptions = { graceMs: options.graceMs, keyProtectionMs: options.keyProtectionMs };
  }

  /**
   * Applies operations to a page, durably and together.
   *
   * @param pageKey - which page
   * @param operations - what to do, in order
   * @returns what each did
   * @throws RouterError `storeUnavailable` (the operations may have taken effect; they are
   * idempotent, so submit them again), `overloaded` when too many wait, or `internal` when the page
   * cannot be read
   */
  async submit(pageKey: string, operations: readonly PageOperation[]): Promise<OperationResult[]> {
    const queue = this.#waiting.get(pageKey);
    if (queue !== undefined && queue.length >= (this.#options.maxWaiting ?? 10_000)) {
      throw new RouterError('overloaded', `too many changes wait for ${pageKey}`);
    }
    const results = operations.map(
      (operation) =>
        new Promise<OperationResult>((resolve, reject) => {
          this.#enqueue(pageKey, { operation, resolve, reject });
        }),
    );
    return Promise.all(results);
  }

  /** How many request keys a page held when this instance last wrote it. */
  keysIn(pageKey: string): number {
    return this.#keyCounts.get(pageKey) ?? 0;
  }

  #enqueue(pageKey: string, entry: WaitingOperation): void {
    const queue = this.#waiting.get(pageKey);
    if (queue !== undefined) {
      queue.push(entry);
      return;
    }
    this.#waiting.set(pageKey, [entry]);
    void this.#drain(pageKey);
  }

  async #drain(pageKey: string): Promise<void> {
    for (;;) {
      await this.#gather(pageKey);
      const batch = this.#waiting.get(pageKey)?.splice(0) ?? [];
      if (batch.length === 0) break;
      await this.#commit(pageKey, batch);
    }
    this.#waiting.delete(pageKey);
  }

  /** On a busy page bills wait for others to join them; a request that waits for a grant is not held up. */
  async #gather(pageKey: string): Promise<void> {
    // What is submitted in the same turn belongs into the same commit.
    await Promise.resolve();
    const queue = this.#waiting.get(pageKey) ?? [];
    const isUrgent = queue.some(({ operation }) => operation.kind === 'grant');
    const { groupCommitMs = 0, clock } = this.#options;
    const sinceCommitMs = clock.monotonicMs() - (this.#committedMs.get(pageKey) ?? -Infinity);
    const isBusy = sinceCommitMs < busyWindows * groupCommitMs;
    if (isBusy && queue.length > 0 && !isUrgent) await clock.sleep(groupCommitMs);
  }

  async #commit(pageKey: string, batch: readonly WaitingOperation[]): Promise<void> {
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
   * Tries until the batch is in the store. The answer to a write can be lost after it took effect:
   * that shows as an error, the page is then read again, and each operation finds its own id.
   */
  async #update(
    pageKey: string,
    batch: readonly WaitingOperation[],
  ): Promise<readonly OperationResult[]> {
    const { clock, random, maxAttempts = 8 } = this.#options;
    let backOffMs = firstBackOffMs;
    let lastError: Error | undefined;
    for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
      try {
        const results = await this.#tryOnce(pageKey, batch);
        if (results !== undefined) return results;
      } catch (error) {
        if (!(error instanceof RouterError) || error.kind !== 'storeUnavailable') throw error;
        lastError = error;
      }
      this.#known.delete(pageKey);
      // Writers that collided must not collide again: the back-off is drawn, and grows.
      await clock.sleep(random() * backOffMs);
      backOffMs = Math.min(longestBackOffMs, backOffMs * 2);
    }
    const cause = lastError === undefined ? {} : { cause: lastError };
    const message = `${pageKey} could not be updated in ${maxAttempts} attempts`;
    throw new RouterError('storeUnavailable', message, cause);
  }

  /** One read, where the page is not known, and one write; undefined when another was faster. */
  async #tryOnce(
    pageKey: string,
    batch: readonly WaitingOperation[],
  ): Promise<readonly OperationResult[] | undefined> {
    const known = this.#known.get(pageKey);
    const isTrusted = known !== undefined && known.quietTimes >= quietTimesToTrust;
    const before = isTrusted ? known : await this.#read(pageKey, known);
    const { page, results } = this.#applyAll(before.page, batch);
    if (page === before.page) {
      if (!isTrusted) return results;
      // Nothing to write, so no condition proves that the page was current: look again.
      this.#known.delete(pageKey);
      return this.#tryOnce(pageKey, batch);
    }
    const written = await this.#options.store.write(pageKey, page, before.condition);
    if (written.outcome === 'conflict') {
      this.conflicts += 1;
      return undefined;
    }
    this.commits += 1;
    this.#committedMs.set(pageKey, this.#options.clock.monotonicMs());
    const condition = { kind: 'version', version: written.version } as const;
    this.#remember(pageKey, { page, condition, quietTimes: before.quietTimes });
    return results;
  }

  async #read(pageKey: string, known: KnownPage | undefined): Promise<KnownPage> {
    const stored = await this.#options.store.read(pageKey);
    if (known?.condition.kind === 'version' && known.condition.version === stored?.version) {
      return { ...known, quietTimes: known.quietTimes + 1 };
    }
    const condition: WriteCondition =
      stored === undefined ? { kind: 'absent' } : { kind: 'version', version: stored.version };
    const page = parsePage(pageKey, stored?.value);
    const read: KnownPage = { page, condition, quietTimes: 0 };
    this.#remember(pageKey, read);
    return read;
  }

  #remember(pageKey: string, known: KnownPage): void {
    const { maxKnownPages = 64 } = this.#options;
    this.#known.delete(pageKey);
    this.#known.set(pageKey, known);
    this.#keyCounts.set(pageKey, countKeys(known.page));
    const [oldest] = this.#known.keys();
    if (oldest === undefined || this.#known.size <= maxKnownPages) return;
    this.#known.delete(oldest);
    this.#committedMs.delete(oldest);
    this.#keyCounts.delete(oldest);
  }

  #applyAll(page: LedgerPage, batch: readonly WaitingOperation[]): AppliedBatch {
    const nowMs = this.#options.clock.wallMs();
    const options = { ...this.#applyOptions, nowMs, drafts: new WeakSet() };
    let current = page;
    const results = batch.map(({ operation }) => {
      const applied = applyOperation(current, operation, options);
      current = applied.page;
      return applied.result;
    });
    return { page: current, results };
  }
}

function countKeys(page: LedgerPage): number {
  return Object.values(page.budgets).reduce(
    (sum, budget) => sum + Object.keys(budget.bills).length,
    0,
  );
}
