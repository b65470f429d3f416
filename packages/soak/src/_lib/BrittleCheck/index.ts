import type { InvariantName } from '../../types.js';

/** Options of {@link BrittleCheck}. */
export interface BrittleCheckOptions {
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  readonly onViolation: (invariant: InvariantName, what: string) => void;
}

/** A time in which the upstreams of a service are brittle. */
interface BrittlePeriod {
  readonly untilMs: number;
  readonly upstreamCount: number;
  /** Number of requests that they could run in it. */
  readonly capacity: number;
  ran: number;
  falls: number;
}

/** Number of falls in one period: so many, and one for each so many upstreams. */
const allowedFalls = { base: 2, upstreamsPerFall: 10 } as const;
/** Least part of what the upstreams can do that is done, if more than that is requested. */
const minUsedShare = 0.7;

/** Checks that brittle upstreams rarely fall over, and are used. */
export class BrittleCheck {
  readonly #options: BrittleCheckOptions;
  readonly #periods: BrittlePeriod[] = [];

  constructor(options: BrittleCheckOptions) {
    this.#options = options;
  }

  /** Records that upstreams are brittle from now on. */
  notePeriod(durationMs: number, upstreamCount: number, runsPerSecond: number): void {
    const capacity = (runsPerSecond * upstreamCount * durationMs) / 1_000;
    const untilMs = this.#options.now() + durationMs;
    this.#periods.push({ untilMs, upstreamCount, capacity, ran: 0, falls: 0 });
  }

  /** Records that a brittle upstream has run a request to its end. */
  noteRun(): void {
    const period = this.#current;
    if (period !== undefined) period.ran += 1;
  }

  /** Records that a brittle upstream fell over. */
  noteFall(upstream: string): void {
    const period = this.#current;
    if (period === undefined) return;
    period.falls += 1;
    const allowed = allowedFalls.base + period.upstreamCount / allowedFalls.upstreamsPerFall;
    if (period.falls <= allowed || period.falls - 1 > allowed) return;
    this.#options.onViolation('brittleUpstream', `${upstream} is fall number ${period.falls}`);
  }

  /** Checks how much was done. */
  finish(): void {
    for (const { ran, capacity } of this.#periods) {
      if (ran >= minUsedShare * capacity) continue;
      const what = `${ran} of ${Math.round(capacity)} requests that brittle upstreams could run`;
      this.#options.onViolation('brittleUpstream', what);
    }
  }

  get #current(): BrittlePeriod | undefined {
    const nowMs = this.#options.now();
    return this.#periods.find(({ untilMs }) => nowMs < untilMs);
  }
}
