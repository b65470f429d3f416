import type { Clock } from '@acaciacrank/base';
import type { OperationResult, PageOperation } from '../../types.js';

interface JournalEntry {
  readonly operation: PageOperation;
  readonly atMs: number;
}

/**
 * The operations that this instance has written to pages lately, to write them again after a restore of
 * the store.
 *
 * Operations carry ids, so those that the copy contains change nothing, and applied in their order the
 * others lead to what was lost.
 */
export class OperationJournal {
  readonly #clock: Clock;
  readonly #retentionMs: number;
  readonly #entries = new Map<string, JournalEntry[]>();

  /**
   * @param clock - measures the age of operations
   * @param retentionMs - how long operations are kept, in milliseconds
   */
  constructor(clock: Clock, retentionMs: number) {
    this.#clock = clock;
    this.#retentionMs = retentionMs;
  }

  /** The pages that were written lately. */
  get pageKeys(): readonly string[] {
    return [...this.#entries.keys()];
  }

  /** The operations written to a page, the oldest first. */
  operations(pageKey: string): readonly PageOperation[] {
    return (this.#entries.get(pageKey) ?? []).map(({ operation }) => operation);
  }

  /** Adds operations that were written, with their results. */
  add(
    pageKey: string,
    operations: readonly PageOperation[],
    results: readonly OperationResult[],
  ): void {
    const atMs = this.#clock.monotonicMs();
    const kept = (this.#entries.get(pageKey) ?? []).filter(
      (entry) => atMs - entry.atMs <= this.#retentionMs,
    );
    const added = operations.flatMap((operation, index) => {
      const repeatable = toRepeatable(operation, results[index]);
      return repeatable === undefined ? [] : [{ operation: repeatable, atMs }];
    });
    this.#entries.set(pageKey, [...kept, ...added]);
  }
}

/** The operation with the effect that it had; undefined if it had none. */
function toRepeatable(
  operation: PageOperation,
  result: OperationResult | undefined,
): PageOperation | undefined {
  if (operation.kind === 'prune' || result?.kind === 'denied') return undefined;
  if (operation.kind !== 'grant' || result?.kind !== 'granted') return operation;
  // What was granted is in use, whatever share of the budget it would be now.
  const { tokens } = result;
  return { ...operation, minTokens: tokens, wantedTokens: tokens };
}
