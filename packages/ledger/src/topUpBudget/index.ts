import { RouterError, type Clock } from '@acaciacrank/base';
import { updateObject, type ObjectStore } from '@acaciacrank/store';
import { applyOperation } from '../applyOperation/index.js';
import { pageKeyOf } from '../pageKeyOf/index.js';
import { parsePage } from '../pageSchema/index.js';
import type { BudgetRef, LedgerPage } from '../types.js';

/** The most tokens that one top-up may add. */
export const maxTopUpTokens = 1_000_000_000_000;

/**
 * Adds prepaid tokens to a budget, once per top-up id.
 *
 * @param store - the platform's store
 * @param clock - measures the backoff between retries
 * @param budget - the budget
 * @param topUpId - chosen by the operator; a repeated id changes nothing
 * @param tokens - how many to add, from 1 to {@link maxTopUpTokens}
 * @returns the prepaid total of the budget, in tokens
 * @throws RouterError `badRequest` for an amount that is not an integer in that range, or
 * `storeUnavailable`
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
      `a top-up must be a whole number of tokens from 1 to ${maxTopUpTokens}, got ${tokens}`,
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
