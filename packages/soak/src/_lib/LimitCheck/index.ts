import type { PromiseName } from '../../types.js';
import { bounds, slackMs } from '../InstanceProcess/index.js';

/** Options of {@link LimitCheck}. */
export interface LimitCheckOptions {
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  readonly onViolation: (promise: PromiseName, what: string) => void;
}

/** The limit that an upstream's answers named from a moment on; undefined for none. */
interface NamedLimit {
  readonly fromMs: number;
  readonly perS: number | undefined;
}

interface Watched {
  readonly named: NamedLimit[];
  readonly arrivalsMs: number[];
  /** Until then its answers may not arrive. */
  disturbedUntilMs: number;
}

/** The span over which arrivals are counted, in milliseconds. */
const windowMs = 4_000;
/** So much of what a limit allows in the window, and so many requests beside that, may arrive. */
const allowance = { factor: 1.5, requests: 5 } as const;
/** Requests that are sent so long after an answer named a limit are held to it, in milliseconds. */
const toldMs = 500 + slackMs;

/** Whether upstreams get no more requests, from all instances together, than the limit that they name. */
export class LimitCheck {
  readonly #options: LimitCheckOptions;
  readonly #watched = new Map<string, Watched>();

  constructor(options: LimitCheckOptions) {
    this.#options = options;
  }

  /** Notes the limit that an answer of an upstream names; undefined where it names none. */
  answer(upstream: string, perS: number | undefined): void {
    const nowMs = this.#options.now();
    const { named, disturbedUntilMs } = this.#watch(upstream);
    if (nowMs < disturbedUntilMs) return;
    const last = named.at(-1);
    if (last === undefined ? perS === undefined : last.perS === perS) return;
    named.push({ fromMs: nowMs, perS });
  }

  /** Notes that the way to an upstream is disturbed: until then its answers may not arrive. */
  disturb(upstream: string, forMs: number): void {
    const nowMs = this.#options.now();
    const watched = this.#watch(upstream);
    watched.named.push({ fromMs: nowMs, perS: undefined });
    watched.disturbedUntilMs = Math.max(watched.disturbedUntilMs, nowMs + forMs);
  }

  /** Notes that an upstream received a request, whether or not it is a repeat. */
  arrive(upstream: string): void {
    const nowMs = this.#options.now();
    const watched = this.#watch(upstream);
    watched.arrivalsMs.push(nowMs);
    const limit = limitOver(watched.named, nowMs);
    if (limit === undefined || nowMs < limit.sinceMs + bounds.stableWindowMs) return;
    const fromMs = Math.max(nowMs - windowMs, limit.sinceMs + toldMs);
    const arrived = watched.arrivalsMs.filter((atMs) => atMs >= fromMs).length;
    const allowed = (allowance.factor * limit.perS * windowMs) / 1_000 + allowance.requests;
    if (arrived <= allowed) return;
    const what = `${upstream} got ${arrived} requests in ${windowMs} ms with a limit of ${limit.perS} a second`;
    this.#options.onViolation('upstreamLimit', what);
  }

  /** Whether any upstream named a limit at some time of a span. */
  wasNamed(fromMs: number, toMs: number): boolean {
    return [...this.#watched.values()].some(({ named }) =>
      named.some((limit, at) => {
        const endMs = named[at + 1]?.fromMs ?? Infinity;
        return limit.perS !== undefined && limit.fromMs <= toMs && endMs >= fromMs;
      }),
    );
  }

  #watch(upstream: string): Watched {
    const known = this.#watched.get(upstream);
    if (known !== undefined) return known;
    const watched = { named: [], arrivalsMs: [], disturbedUntilMs: -Infinity };
    this.#watched.set(upstream, watched);
    return watched;
  }
}

/** Since when there has been a limit, and the highest that may count in the window that ends now. */
function limitOver(
  named: readonly NamedLimit[],
  nowMs: number,
): { readonly sinceMs: number; readonly perS: number } | undefined {
  let sinceMs: number | undefined;
  let perS = 0;
  for (let at = named.length - 1; at >= 0; at -= 1) {
    const limit = named[at] as NamedLimit;
    if (limit.perS === undefined) break;
    const endMs = named[at + 1]?.fromMs ?? Infinity;
    sinceMs = limit.fromMs;
    if (endMs > nowMs - windowMs - toldMs) perS = Math.max(perS, limit.perS);
  }
  return sinceMs === undefined ? undefined : { sinceMs, perS };
}
