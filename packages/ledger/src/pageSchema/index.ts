/**
 * Validation of ledger pages read from the store.
 */
import { RouterError } from '@acaciacrank/base';
import * as z from 'zod';
import type { LedgerPage } from '../types.js';

const tokens = z.number().int().nonnegative();

const pageSchema = z.strictObject({
  format: z.literal(1),
  budgets: z.record(
    z.string(),
    z.strictObject({
      prepaidTokens: tokens,
      settledTokens: tokens,
      topUps: z.record(z.string(), tokens),
      grants: z.record(
        z.string(),
        z.strictObject({
          holder: z.string(),
          tokens,
          expiresAtMs: z.number(),
          returns: z.record(z.string(), z.number()).optional(),
        }),
      ),
      bills: z.record(
        z.string(),
        z.strictObject({
          requestId: z.string(),
          tokens,
          bodyDigest: z.string(),
          atMs: z.number(),
        }),
      ),
    }),
  ),
});

/** A page without budgets. */
export const emptyPage: LedgerPage = { format: 1, budgets: {} };

/**
 * Validates a page. Throws for a newer format or an invalid page, so that it is never overwritten.
 *
 * @param key - the key of the page, for the error message
 * @param value - the stored value; undefined if there is no object
 * @returns the page
 * @throws RouterError `internal` if the page does not parse
 *
 * @example
 * const page = parsePage(key, (await store.read(key))?.value);
 */
export function parsePage(key: string, value: unknown): LedgerPage {
  if (value === undefined) return emptyPage;
  const result = pageSchema.safeParse(value);
  if (result.success) return result.data as unknown as LedgerPage;
  throw new RouterError('internal', `ledger page ${key} does not parse; it was not changed`, {
    cause: result.error,
    ran: 'notRun',
  });
}
