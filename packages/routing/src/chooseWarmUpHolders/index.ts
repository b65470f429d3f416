/** How many requests an upstream takes while it warms up, from all instances combined. */
export interface WarmUpBound {
  /** Requests per second that it takes for as long as it warms up. */
  readonly requestsPerSecond: number;
  /** Requests within any one second that it never gets more of. */
  readonly maxPerSecond: number;
}

/** How instances share the requests to an upstream that warms up. */
export interface WarmUpPlan {
  /** Requests per second of all holders combined; 0 if the bound allows none at all. */
  readonly requestsPerSecond: number;
  /** Number of instances that hold a share, each of which sends at most one request at once. */
  readonly maxHolders: number;
}

/**
 * Fraction of the holders that may send in addition to them, since instances learn at different times
 * who shares.
 */
const spareFraction = 0.25;
/**
 * The shares of all holders as a multiple of the rate: callers rarely ask all of them for all of it at the
 * same time.
 */
const plannedOverage = 1.25;
/**
 * By how much a holder's rate stays below a whole number of requests per second, so that requests which
 * are delayed on their way do not arrive within one second more often.
 */
const jitterMargin = 0.1;

/**
 * Plans how many instances may send to an upstream that warms up, and at which rate.
 *
 * Each holder keeps to its share alone, so the number that arrives within a second is that of a burst of
 * each holder plus the rate. Few holders stay within the bound; many spread the requests over
 * more instances, so that none has to wait for the only holder. The plan uses the highest rate within the
 * bound, up to {@link plannedOverage}, and as many holders as that rate allows.
 *
 * @param bound - what the upstream takes
 * @returns the plan
 *
 * @example
 * chooseWarmUpHolders({ requestsPerSecond: 7, maxPerSecond: 15.5 });
 * //=> { requestsPerSecond: 8.75, maxHolders: 5 }
 */
export function chooseWarmUpHolders({ requestsPerSecond, maxPerSecond }: WarmUpBound): WarmUpPlan {
  const plannedRate = requestsPerSecond * plannedOverage;
  let best: WarmUpPlan = { requestsPerSecond: 0, maxHolders: 1 };
  const mostHolders = Math.max(1, Math.floor(requestsPerSecond));
  for (let maxHolders = 1; maxHolders <= mostHolders; maxHolders += 1) {
    const senders = maxHolders + Math.max(1, Math.ceil(maxHolders * spareFraction));
    const perSender = Math.floor(maxPerSecond / senders);
    if (perSender < 1) break;
    const share = Math.min(plannedRate / maxHolders, perSender - jitterMargin);
    const rate = share * maxHolders;
    if (rate >= best.requestsPerSecond) best = { requestsPerSecond: rate, maxHolders };
  }
  return best;
}
