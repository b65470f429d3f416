import type { ObjectStore } from '@acaciacrank/store';
import { availableTokens } from '../applyOperation/index.js';
import { pageKeyOf } from '../pageKeyOf/index.js';
import { parsePage } from '../pageSchema/index.js';
import type { BudgetRef } from '../types.js';

/** The stored totals of a budget. */
export interface BudgetStatus {
  readonly budgetId: string;
  readonly prepaidTokens: number;
  readonly settledTokens: number;
  readonly grantedTokens: number;
  readonly availableTokens: number;
  readonly bills: number;
}

/**
 * Reads a budget from its page.
 *
 * @param store - the platform's store
 * @param budget - the budget
 * @returns its totals; those of an unused budget if the page does not contain it yet
 * @throws RouterError `storeUnavailable`, or `internal` if the page does not parse
 *
 * @example
 * const { settledTokens } = await readBudget(store, budget);
 */
export async function readBudget(store: ObjectStore, budget: BudgetRef): Promise<BudgetStatus> {
  const key = pageKeyOf(budget);
  const page = parsePage(key, (await store.read(key))?.value);
  const found = page.budgets[budget.budgetId];
  const prepaidTokens = found?.prepaidTokens ?? budget.openingTokens;
  const settledTokens = found?.settledTokens ?? 0;
  const available = found === undefined ? prepaidTokens : availableTokens(found);
  return {
    budgetId: budget.budgetId,
    prepaidTokens,
    settledTokens,
    grantedTokens: prepaidTokens - settledTokens - available,
    availableTokens: available,
    bills: Object.keys(found?.bills ?? {}).length,
  };
}
