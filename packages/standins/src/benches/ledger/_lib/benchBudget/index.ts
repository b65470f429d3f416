import type { AccountId, BudgetId, RequestId, RequestKey } from '@acaciacrank/base';
import type { BudgetRef, SettleRequest } from '@acaciacrank/ledger';

/**
 * Creates a budget with ids of realistic length.
 *
 * @param index - number of the budget; 0 to 9 belong to different client accounts
 */
export function benchBudget(index: number): BudgetRef {
  return {
    accountId: `wellington-franchise-${index % 10}` as AccountId,
    budgetId: `wellington-franchise-2026-${index}` as BudgetId,
    openingTokens: 1_000_000_000,
  };
}

/**
 * Creates a request to settle, with a key and a digest of realistic length.
 *
 * @param budget - the budget
 * @param index - number of the request
 */
export function benchRequest(budget: BudgetRef, index: number): SettleRequest {
  const uuid = `5f0c2a9e-7f1b-4c1d-9a55-${String(index).padStart(12, '0')}`;
  return {
    requestKey: `${budget.budgetId}/${uuid}` as RequestKey,
    requestId: `entry-1.27c8x3bwg0.${index}` as RequestId,
    bodyDigest: 'dd54ab01c0f1e85ccdf47184afe7cfd63dbf1499828ea3fa77199290f68c97b0',
    tokens: 300,
  };
}
