import type { PromiseName } from '../../types.js';
import { bounds, slackMs } from '../InstanceProcess/index.js';

/** Options of {@link LimitCheck}. */
export interface LimitCheckOptions {
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  readonly onViolation: (promise: PromiseName, what: string) => void;
}

/** The limit that an upstream's answers set from a point in time on; undefined for none. */
interface LimitPeriod {
  readonly fromMs: number;
  readonly limitPerS: number | undefined;
}

interface UpstreamState {
  readonly periods: LimitPeriod[];
  readonly arrivalsMs: number[];
  /** Before this time the upstream's answers may be lost. */
  disturbedUntilMs: number;
}

/** Length of the window in which arrivals are counted, in milliseconds. */
const windowMs = 4_000;
/** A window may contain this multiple of what the limit allows, and this many requests more. */
const allowance = { factor: 1.5, requests: 5 } as const;
/** Time after which a limit in an answer must be enforced, in milliseconds. */
const enforcedAfterMs = 500 + slackMs;

/** Checks that upstreams receive no more requests from all instances combined than their limits allow. */
export class LimitCheck {
  readonly #options: LimitCheckOptions;
  readonly #upstreams = new Map<string, UpstreamState>();

  constructor(options: LimitCheckOptions) {
    this.#options = options;
  }

  /** Notes the limit in an answer of an upstream; undefined if the answer has none. */
  noteLimit(upstream: string, limitPerS: number | undefined): void {
    const nowMs = this.#options.now();
    const { periods, disturbedUntilMs } = this.#stateOf(upstream);
    if (nowMs < disturbedUntilMs) return;
    const last = periods.at(-1);
    if (last === undefined ? limitPerS === undefined : last.limitPerS === limitPerS) return;
    periods.push({ fromMs: nowMs, limitPerS });
  }

  /** Notes that the connection to an upstream is disturbed, so that its answers may be lost. */
  disturb(upstream: string, forMs: number): void {
    const nowMs = this.#options.now();
    const state = this.#stateOf(upstream);
    state.periods.push({ fromMs: nowMs, limitPerS: undefined });
    state.disturbedUntilMs = Math.max(state.disturbedUntilMs, nowMs + forMs);
  }

  /** Notes that an upstream received a request, whether or not it is a repeat. */
  arrive(upstream: string): void {
    const nowMs = this.#options.now();
    const state = this.#stateOf(upstream);
    state.arrivalsMs.push(nowMs);
    const limit = limitAt(state.periods, nowMs);
    if (limit === undefined || nowMs < limit.sinceMs + bounds.stableWindowMs) return;
    const fromMs = Math.max(nowMs - windowMs, limit.sinceMs + enforcedAfterMs);
    const arrived = state.arrivalsMs.filter((atMs) => atMs >= fromMs).length;
    const allowed = (allowance.factor * limit.limitPerS * windowMs) / 1_000 + allowance.requests;
    if (arrived <= allowed) return;
    const what = `${upstream} got ${arrived} requests in ${windowMs} ms with a limit of ${limit.limitPerS} a second`;
    this.#options.onViolation('upstreamLimit', what);
  }

  /** Number of upstreams that had a limit at some point in a time span. */
  countLimited(fromMs: number, toMs: number): number {
    return [...this.#upstreams.values()].filter(({ periods }) =>
      periods.some((period, at) => {
        const endMs = periods[at + 1]?.fromMs ?? Infinity;
        return period.limitPerS !== undefined && period.fromMs <= toMs && endMs >= fromMs;
      }),
    ).length;
  }

  #stateOf(upstream: string): UpstreamState {
    const known = this.#upstreams.get(upstream);
    if (known !== undefined) return known;
    const state = { periods: [], arrivalsMs: [], disturbedUntilMs: -Infinity };
    this.#upstreams.set(upstream, state);
    return state;
  }
}

/**
 * The limit to check for the window that ends at a time: the highest one that may apply within it, and
 * since when the upstream has had limits without interruption.
 */
function limitAt(
  periods: readonly LimitPeriod[],
  nowMs: number,
): { readonly sinceMs: number; readonly limitPerS: number } | undefined {
  let sinceMs: number | undefined;
  let limitPerS = 0;
  for (let at = periods.length - 1; at >= 0; at -= 1) {
    const period = periods[at] as LimitPeriod;
    if (period.limitPerS === undefined) break;
    const endMs = periods[at + 1]?.fromMs ?? Infinity;
    sinceMs = period.fromMs;
    if (endMs > nowMs - windowMs - enforcedAfterMs)
      limitPerS = Math.max(limitPerS, period.limitPerS);
  }
  return sinceMs === undefined ? undefined : { sinceMs, limitPerS };
}
