import type { BudgetRef } from '@acaciacrank/ledger';

/** State of the counter of one budget on one side of the partition. */
interface CounterState {
  availableTokens: number;
  /** Requested so far, refused requests included; determines the shares at a split. */
  requestedTokens: number;
}

/**
 * One counter for each budget that every instance reaches without delay: an ideal baseline that no
 * distributed ledger can attain.
 *
 * `split` models the best that each side of a partition can do with the information that it has:
 * the remaining tokens are divided in proportion to the demand of each side so far, and a top-up is
 * visible only on the side on which it arrives.
 */
export class CentralCounter {
  readonly #sides: Map<string, CounterState>[] = [new Map(), new Map()];
  #isSplit = false;

  constructor(budgets: readonly BudgetRef[]) {
    for (const { budgetId, openingTokens } of budgets) {
      this.#sides[0]?.set(budgetId, { availableTokens: openingTokens, requestedTokens: 0 });
      this.#sides[1]?.set(budgetId, { availableTokens: 0, requestedTokens: 0 });
    }
  }

  /** Reserves tokens and returns true, or returns false when too few are available. */
  reserve(budgetId: string, side: number, tokens: number): boolean {
    this.#counter(budgetId, side).requestedTokens += tokens;
    const counter = this.#counter(budgetId, this.#isSplit ? side : 0);
    if (counter.availableTokens < tokens) return false;
    counter.availableTokens -= tokens;
    return true;
  }

  /** Returns reserved tokens that were not used. */
  giveBack(budgetId: string, side: number, tokens: number): void {
    this.#counter(budgetId, this.#isSplit ? side : 0).availableTokens += tokens;
  }

  /** Adds prepaid tokens on the side that reaches the store. */
  topUp(budgetId: string, tokens: number): void {
    this.#counter(budgetId, 0).availableTokens += tokens;
  }

  /** Starts the partition: divides the remaining tokens between the sides. */
  split(): void {
    this.#isSplit = true;
    this.#forEachBudget((storeSide, cutOffSide) => {
      const requestedTokens = storeSide.requestedTokens + cutOffSide.requestedTokens;
      const cutOffShare = requestedTokens === 0 ? 0 : cutOffSide.requestedTokens / requestedTokens;
      cutOffSide.availableTokens = Math.floor(storeSide.availableTokens * cutOffShare);
      storeSide.availableTokens -= cutOffSide.availableTokens;
    });
  }

  /** Ends the partition: adds the tokens of both sides together. */
  heal(): void {
    this.#isSplit = false;
    this.#forEachBudget((storeSide, cutOffSide) => {
      storeSide.availableTokens += cutOffSide.availableTokens;
      cutOffSide.availableTokens = 0;
    });
  }

  #forEachBudget(update: (storeSide: CounterState, cutOffSide: CounterState) => void): void {
    for (const budgetId of this.#sides[0]?.keys() ?? []) {
      update(this.#counter(budgetId, 0), this.#counter(budgetId, 1));
    }
  }

  #counter(budgetId: string, side: number): CounterState {
    const counter = this.#sides[side]?.get(budgetId);
    if (counter === undefined) throw new Error(`no counter for ${budgetId}`);
    return counter;
  }
}
