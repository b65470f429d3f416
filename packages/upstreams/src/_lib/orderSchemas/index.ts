/**
 * Schemas of engine responses that concern orders.
 */
import * as z from 'zod';

const modelVersion = z.object({ model: z.string(), version: z.string() });

/** Schema of the state that an engine reports. */
export const engineStateSchema = z.object({
  models: z.array(modelVersion),
  adapters: z.array(modelVersion.extend({ adapter: z.string() })),
  role: z.enum(['prefill', 'decode', 'both']),
  offersKvExport: z.boolean(),
  kvExportedTo: z.string().optional(),
});

/** Schema of an engine's response to an order. */
export const orderOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('taken') }),
  z.object({ kind: z.literal('stale') }),
  z.object({ kind: z.literal('rateLimited'), retryAfterMs: z.number().nonnegative() }),
]);
