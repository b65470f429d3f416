import type { CloseOperation, PageOperation, ReturnOperation } from '../../types.js';

/** The maximum number per page; the tokens of further returns stay unavailable until the grant expires. */
const maxPerPage = 1_000;

/**
 * Returns whose write was not confirmed; they are submitted again with the next change of their page.
 *
 * A grant whose write was not confirmed may exist in the page although nobody spends it. It is closed,
 * which has no effect if it does not exist.
 */
export class UnconfirmedReturns {
  readonly #byPage = new Map<string, (CloseOperation | ReturnOperation)[]>();

  /** Adds the operations to submit again after a failed write. */
  add(pageKey: string, failed: readonly PageOperation[]): void {
    const returns = failed.flatMap(toReturn);
    if (returns.length === 0) return;
    const kept = [...(this.#byPage.get(pageKey) ?? []), ...returns].slice(0, maxPerPage);
    this.#byPage.set(pageKey, kept);
  }

  /** Removes and returns the operations to submit again. */
  take(pageKey: string): readonly (CloseOperation | ReturnOperation)[] {
    const returns = this.#byPage.get(pageKey) ?? [];
    this.#byPage.delete(pageKey);
    return returns;
  }
}

function toReturn(operation: PageOperation): (CloseOperation | ReturnOperation)[] {
  if (operation.kind === 'close' || operation.kind === 'return') return [operation];
  if (operation.kind !== 'grant') return [];
  return [{ kind: 'close', budget: operation.budget, grantId: operation.grantId }];
}
