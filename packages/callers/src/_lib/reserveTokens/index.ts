/**
 * Reserves a request's tokens within a time limit.
 */
import { RouterError, withTimeout, type Clock, type RequestKey } from '@acaciacrank/base';
import type { BudgetLedger, BudgetRef } from '@acaciacrank/ledger';
import { LedgerReservation } from '../LedgerReservation/index.js';
import { BilledReservation } from '../BilledReservation/index.js';
import type { TokenReservation } from '../TokenReservation/index.js';

/** Options of {@link reserveTokens}. */
export interface ReserveTokensOptions {
  clock: Clock;
  ledger: BudgetLedger;
  budget: BudgetRef;
  tokens: number;
  /** How long to wait for the reservation, in milliseconds. */
  limitMs: number;
}

/**
 * Reserves tokens within the time limit. A reservation that succeeds later is released.
 *
 * @throws RouterError `deadlineExceeded`, or any error of the ledger
 */
export async function reserveTokens(options: ReserveTokensOptions): Promise<LedgerReservation> {
  const { clock, ledger, budget, tokens, limitMs } = options;
  const pendingReservation = ledger.reserve(budget, tokens);
  try {
    const reservation = await withTimeout(clock, limitMs, () => pendingReservation, {
      kind: 'deadlineExceeded',
      what: 'reserving tokens',
    });
    return new LedgerReservation(ledger, reservation);
  } catch (error) {
    const releasing = pendingReservation.then((lateReservation) => {
      ledger.release(lateReservation);
    });
    releasing.catch(() => undefined);
    throw error;
  }
}

/** How long the lookup of an earlier bill may take, in milliseconds. */
const findBillTimeoutMs = 2_000;

/** Identifies a request in its bill. */
export interface RequestIdentity {
  readonly key: RequestKey;
  readonly digest: string;
}

/**
 * Reserves tokens for a request that may run again; one that was already billed needs none.
 *
 * @throws RouterError `keyReused` if the bill is for another request body, or any error of
 * {@link reserveTokens}
 */
export async function reserveTokensOrFindBill(
  options: ReserveTokensOptions,
  { key, digest }: RequestIdentity,
): Promise<TokenReservation> {
  try {
    return await reserveTokens(options);
  } catch (error) {
    if (!(error instanceof RouterError) || error.kind !== 'budgetExhausted') throw error;
    const { clock, ledger, budget } = options;
    const find = () => ledger.findBill(budget, key);
    const limit = { kind: 'storeUnavailable', what: 'looking for an earlier bill' } as const;
    const bill = await withTimeout(clock, findBillTimeoutMs, find, limit).catch(() => undefined);
    if (bill === undefined) throw error;
    if (bill.bodyDigest === digest) return new BilledReservation(bill);
    throw new RouterError('keyReused', 'the idempotency key was used with another body');
  }
}
