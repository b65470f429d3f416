import { getOrCreate } from '@acaciacrank/base';
import type { InvariantName } from '../../types.js';
import { bounds, toleranceMs } from '../InstanceProcess/index.js';

/** Options of {@link LimitCheck}. */
export interface LimitCheckOptions {
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  readonly onViolation: (invariant: InvariantName, what: string) => void;
}

/** Limit that the responses of an upstream set from a point in time on; undefined for none. */
interface LimitPeriod {
  readonly fromMs: number;
  readonly limitPerS: number | undefined;
}

interface UpstreamState {
  readonly periods: LimitPeriod[];
  readonly arrivalsMs: number[];
  /** Before this time, responses of the upstream may be lost. */
  disturbedUntilMs: number;
}

/** Length of the window in which arrivals are counted. */
const windowMs = 4_000;
/** A window may contain `factor` times the requests that the limit allows, plus `requests`. */
const allowance = { factor: 1.5, requests: 5 } as const;
/** Time after which a limit in a response must be enforced. */
const enforcementDeadlineMs = 500 + toleranceMs;

/** Checks that upstreams receive no more requests from all instances combined than their limits allow. */
export class LimitCheck {
  readonly #options: LimitCheckOptions;
  readonly #upstreams = new Map<string, UpstreamState>();

  constructor(options: LimitCheckOptions) {
    this.#options = options;
  }

  /** Records the limit in a response of an upstream; undefined if the response has none. */
  noteLimit(upstream: string, limitPerS: number | undefined): void {
    const nowMs = this.#options.now();
    const { periods, disturbedUntilMs } = this.#stateOf(upstream);
    if (nowMs < disturbedUntilMs) return;
    const last = periods.at(-1);
    if (last === undefined ? limitPerS === undefined : last.limitPerS === limitPerS) return;
    periods.push({ fromMs: nowMs, limitPerS });
  }

  /** Records that the connection to an upstream is disturbed, so that responses may be lost. */
  noteDisturbance(upstream: string, durationMs: number): void {
    const nowMs = this.#options.now();
    const state = this.#stateOf(upstream);
    state.periods.push({ fromMs: nowMs, limitPerS: undefined });
    state.disturbedUntilMs = Math.max(state.disturbedUntilMs, nowMs + durationMs);
  }

  /** Records that an upstream received a request, whether or not it is a retry, and checks the limit. */
  noteArrival(upstream: string): void {
    const nowMs = this.#options.now();
    const state = this.#stateOf(upstream);
    state.arrivalsMs.push(nowMs);
    const limit = limitAt(state.periods, nowMs);
    if (limit === undefined || nowMs < limit.sinceMs + bounds.stableWindowMs) return;
    const fromMs = Math.max(nowMs - windowMs, limit.sinceMs + enforcementDeadlineMs);
    const arrived = state.arrivalsMs.filter((atMs) => atMs >= fromMs).length;
    const allowed = (allowance.factor * limit.limitPerS * windowMs) / 1_000 + allowance.requests;
    if (arrived <= allowed) return;
    const what = `${upstream} received ${arrived} requests in ${windowMs} ms with a limit of ${limit.limitPerS} per second`;
    this.#options.onViolation('upstreamLimit', what);
  }

  /** Number of upstreams that had a limit at some point in a time span. */
  countLimited(fromMs: number, toMs: number): number {
    return [...this.#upstreams.values()].filter(({ periods }) =>
      periods.some((period, index) => {
        const endMs = periods[index + 1]?.fromMs ?? Infinity;
        return period.limitPerS !== undefined && period.fromMs <= toMs && endMs >= fromMs;
      }),
    ).length;
  }

  #stateOf(upstream: string): UpstreamState {
    return getOrCreate(this.#upstreams, upstream, () => {
      return { periods: [], arrivalsMs: [], disturbedUntilMs: -Infinity };
    });
  }
}

/**
 * Returns the limit to check for the window that ends at a time: the highest one that may apply within
 * it, and the time since which the upstream has had a limit without interruption.
 */
function limitAt(
  periods: readonly LimitPeriod[],
  nowMs: number,
): { readonly sinceMs: number; readonly limitPerS: number } | undefined {
  let sinceMs: number | undefined;
  let limitPerS = 0;
  for (let index = periods.length - 1; index >= 0; index -= 1) {
    const period = periods[index] as LimitPeriod;
    if (period.limitPerS === undefined) break;
    const endMs = periods[index + 1]?.fromMs ?? Infinity;
    sinceMs = period.fromMs;
    if (endMs > nowMs - windowMs - enforcementDeadlineMs)
      limitPerS = Math.max(limitPerS, period.limitPerS);
  }
  return sinceMs === undefined ? undefined : { sinceMs, limitPerS };
}
