import { UpstreamSelector } from '../UpstreamSelector/index.js';
import type { Upstream } from '../types.js';

/**
 * Picks the candidate with the lowest load in its last report. All instances read the same reports, so
 * between two reports they all send to the same upstream.
 */
export class LeastReportedLoad extends UpstreamSelector {
  override readonly name = 'leastReportedLoad';

  override choose(candidates: readonly Upstream[]): Upstream | undefined {
    return minBy(candidates, reportedLoad);
  }
}

/**
 * Returns the first upstream with the lowest value.
 *
 * @param upstreams - the upstreams to compare
 * @param valueOf - computes the value of an upstream
 * @returns undefined if there are no upstreams
 *
 * @example
 * minBy(upstreams, ({ inFlightRequests }) => inFlightRequests);
 */
export function minBy(
  upstreams: readonly Upstream[],
  valueOf: (upstream: Upstream) => number,
): Upstream | undefined {
  let best: Upstream | undefined;
  let bestValue = Infinity;
  for (const upstream of upstreams) {
    const value = valueOf(upstream);
    if (value >= bestValue) continue;
    best = upstream;
    bestValue = value;
  }
  return best ?? upstreams[0];
}

function reportedLoad({ report }: Upstream): number {
  if (report === undefined) return 0;
  const requests = report.runningRequests + report.waitingRequests;
  return requests / Math.max(1, report.maxRunningRequests);
}
