import type { Clock } from '@acaciacrank/base';

/** For how long upstreams of a service count as brittle after the last response that says so, in milliseconds. */
const retentionMs = 10_000;

/**
 * Whether the upstreams of a service are brittle: one that has to refuse more than a few requests in a second falls
 * over, and moves its load to the others.
 *
 * It is known for the service and not for the upstream, since one that has fallen and starts again has not said it yet.
 */
export class Brittleness {
  readonly #clock: Clock;
  #untilMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether its upstreams may be sent only what they can run at once. */
  get isBrittle(): boolean {
    return this.#clock.monotonicMs() < this.#untilMs;
  }

  /** Records that a response says so; returns whether that is new. */
  record(): boolean {
    const wasBrittle = this.isBrittle;
    this.#untilMs = this.#clock.monotonicMs() + retentionMs;
    return !wasBrittle;
  }
}
