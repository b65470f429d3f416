/**
 * Collects the decisions about one request for its log line.
 */
import type { Clock } from '@acaciacrank/base';

/** One decision with its inputs and their age. */
export type TraceStep = Readonly<Record<string, string | number | boolean | undefined>>;

/** Maximum number of steps in one log line; a request has few attempts. */
const maxSteps = 12;

/** Records decisions in order, each with the time since the request arrived. */
export class RequestTrace {
  readonly receivedMs: number;
  readonly steps: TraceStep[] = [];
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.receivedMs = clock.monotonicMs();
  }

  /** Milliseconds since the request arrived. */
  get elapsedMs(): number {
    return Math.round(this.#clock.monotonicMs() - this.receivedMs);
  }

  /** Adds a step; steps beyond the maximum are dropped. */
  add(decision: string, details: TraceStep = {}): void {
    if (this.steps.length < maxSteps)
      this.steps.push({ did: decision, atMs: this.elapsedMs, ...details });
  }
}
