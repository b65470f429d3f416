import type { Upstream } from '../types.js';

/**
 * Estimates an upstream's load as a fraction of its concurrency. Reports lag, so the last report is
 * corrected by the requests that this instance has started and finished there since it was measured.
 *
 * The estimate is at least this instance's in-flight requests there, because an upstream that accepts
 * requests without ever answering, or that fails fast, reports no load.
 *
 * @param upstream - as this instance sees it
 * @returns 1 if the upstream runs as many requests as it can
 *
 * @example
 * estimateLoad(upstream);
 * //=> 0.75
 */
export function estimateLoad(upstream: Upstream): number {
  const { report, inFlightRequests, inFlightDelta, lagCorrection } = upstream;
  if (report === undefined) return inFlightRequests;
  const reportedRequests = report.runningRequests + report.waitingRequests;
  const reported = reportedRequests + inFlightDelta + lagCorrection;
  return Math.max(reported, inFlightRequests) / Math.max(1, report.maxRunningRequests);
}
