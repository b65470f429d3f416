import { hashText } from '@acaciacrank/base';
import type { BudgetRef } from '../types.js';

/** The number of pages of an account. Stored pages could no longer be found if it changed. */
export const pagesPerAccount = 4;

/**
 * The key of the page that holds a budget.
 *
 * The budgets of an account share pages, because the directory sends the callers of an account to few
 * instances: few instances write each page, and one write serves many budgets.
 *
 * @example
 * pageKeyOf({ accountId, budgetId, openingTokens: 0 });
 * //=> 'ledger/wellington/2'
 */
export function pageKeyOf(budget: BudgetRef): string {
  return `ledger/${budget.accountId}/${hashText(budget.budgetId) % pagesPerAccount}`;
}
