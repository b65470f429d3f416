/**
 * Schema of the load reports that upstreams publish.
 */
import * as z from 'zod';

/** Schema of a load report. */
export const loadReportSchema = z.object({
  upstreamId: z.string(),
  state: z.enum(['live', 'leaving']),
  runningRequests: z.number(),
  waitingRequests: z.number(),
  maxRunningRequests: z.number(),
  measuredAtMs: z.number(),
  startedAtMs: z.number().optional(),
});
