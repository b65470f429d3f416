import { minBy } from '../LeastReportedLoad/index.js';
import { UpstreamSelector } from '../UpstreamSelector/index.js';
import type { Upstream } from '../types.js';

/** Picks the candidate with the fewest in-flight requests of this instance. */
export class LeastInFlight extends UpstreamSelector {
  override readonly name = 'leastInFlight';

  override choose(candidates: readonly Upstream[]): Upstream | undefined {
    return minBy(candidates, ({ inFlightRequests }) => inFlightRequests);
  }
}
