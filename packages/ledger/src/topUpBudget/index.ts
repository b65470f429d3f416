import { RouterError, type Clock } from '@acaciacrank/base';
import { updateObject, type ObjectStore } from '@acaciacrank/store';
import { applyOperation } from '../applyOperation/index.js';
import { pageKeyOf } from '../pageKeyOf/index.js';
import { parsePage } from '../pageSchema/index.js';
import type { BudgetRef, LedgerPage } from '../types.js';

/** The most tokens that one top-up may add. */
export const maxTopUpTokens = 1_000_000_000_000;

/**
 * Adds prepaid tokens to a budget, once for each top-up id.
 *
 * @param store - the platform's store
 * @param clock - measures the back-off
 * @param budget - the budget
 * @param topUpId - chosen by the operator; the same id again changes nothing
 * @param tokens - how many to add
 * @returns the budget's prepaid total, in tokens
 * @throws RouterError `badRequest` for a negative, fractional or absurd amount, or `storeUnavailable`
 *
 * @example
 * await topUpBudget(store, clock, budget, 'invoice-4711', 50_000);
 */
export async function topUpBudget(
  store: ObjectStore,
  clock: Clock,
  budget: BudgetRef,
  topUpId: string,
  tokens: number,
): Promise<number> {
  if (!Number.isSafeInteger(tokens) || tokens <= 0 || tokens > maxTopUpTokens) {
    throw new RouterError(
      'badRequest',
      `a top-up adds 1 to ${maxTopUpTokens} whole tokens, not ${tokens}`,
    );
  }
  const key = pageKeyOf(budget);
  let prepaidTokens = 0;
  const options = { nowMs: 0, graceMs: 0, keyProtectionMs: Infinity };
  await updateObject(store, key, clock, (stored) => {
    const page = parsePage(key, stored?.value);
    const applied = applyOperation(page, { kind: 'topUp', budget, topUpId, tokens }, options);
    if (applied.result.kind === 'toppedUp') prepaidTokens = applied.result.prepaidTokens;
    return applied.page === page ? (stored?.value as LedgerPage) : applied.page;
  });
  return prepaidTokens;
}
