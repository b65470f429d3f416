/**
 * Errors of reservations and bills.
 */
import { RouterError } from '@acaciacrank/base';
import type { BudgetRef, DeniedResult } from '../../types.js';

/**
 * Checks the number of tokens of a reservation.
 *
 * @throws RouterError `badRequest` unless it is a positive whole number
 */
export function checkTokens(tokens: number): void {
  if (Number.isSafeInteger(tokens) && tokens > 0) return;
  throw new RouterError(
    'badRequest',
    `a reservation must be a positive whole number of tokens, got ${tokens}`,
  );
}

/** Whether an error is temporary: the store did not respond, or its queue is full. */
export function isTransient(error: RouterError): boolean {
  return error.kind === 'storeUnavailable' || error.kind === 'overloaded';
}

/** Swallows a temporary error and throws any other. */
export function ignoreTransientError(error: unknown): undefined {
  if (error instanceof RouterError && isTransient(error)) return undefined;
  throw error;
}

/** The error of a reservation for which no tokens came in time. */
export function createTimeoutError(budget: BudgetRef): RouterError {
  const message = `neither the store nor a peer provided tokens of budget ${budget.budgetId} in time`;
  return new RouterError('storeUnavailable', message);
}

/** The error of a reservation that the budget does not cover. */
export function createExhaustedError(
  budget: BudgetRef,
  neededTokens: number,
  denied: DeniedResult,
): RouterError {
  return new RouterError(
    'budgetExhausted',
    `budget ${budget.budgetId} has ${denied.availableTokens} tokens that are not in use; ${neededTokens} are needed`,
  );
}
