import type { InvariantName } from '../../types.js';

/** Options of {@link DepartureCheck}. */
export interface DepartureCheckOptions {
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  readonly onViolation: (invariant: InvariantName, what: string) => void;
}

/** From this time after a departure on, a request must not reach an upstream, in milliseconds. */
const maxLateMs = 500;

/**
 * Checks that no request reaches an upstream long after its caller has left, whatever the instance does meanwhile. The
 * way to an upstream that is disturbed excuses requests on it: what is on the wire nobody can call back.
 */
export class DepartureCheck {
  readonly #options: DepartureCheckOptions;
  readonly #leftAtMs = new Map<string, number>();
  /** Before these times, what reaches an upstream may have been under way for long. */
  readonly #disturbedUntilMs = new Map<string, number>();

  constructor(options: DepartureCheckOptions) {
    this.#options = options;
  }

  /** Number of callers that have left. */
  get departureCount(): number {
    return this.#leftAtMs.size;
  }

  /** Records that the caller of a request has closed its connection. */
  noteDeparture(id: string): void {
    this.#leftAtMs.set(id, this.#options.now());
  }

  /** Records that the way to an upstream is disturbed for a while. */
  noteUpstreamDisturbance(upstream: string, durationMs: number): void {
    const untilMs = this.#options.now() + durationMs + maxLateMs;
    const knownMs = this.#disturbedUntilMs.get(upstream) ?? -Infinity;
    this.#disturbedUntilMs.set(upstream, Math.max(knownMs, untilMs));
  }

  /** Records that an upstream received a request. */
  noteArrival(upstream: string, id: string): void {
    const nowMs = this.#options.now();
    const lateMs = Math.round(nowMs - (this.#leftAtMs.get(id) ?? Infinity));
    if (lateMs <= maxLateMs || nowMs < (this.#disturbedUntilMs.get(upstream) ?? -Infinity)) return;
    const what = `${id} reached ${upstream} ${lateMs} ms after its caller had left`;
    this.#options.onViolation('departedCaller', what);
  }
}
