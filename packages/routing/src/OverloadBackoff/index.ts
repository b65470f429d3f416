import type { Clock } from '@acaciacrank/base';

/** The longest backoff that an upstream is believed to ask for, in milliseconds. */
export const maxBackoffMs = 60_000;

/**
 * The time for which an overloaded upstream has asked this instance to send it nothing (`Retry-After`).
 *
 * A later request for a backoff only ever extends it: each one holds until its own end, so a shorter one does not
 * shorten a longer one, and neither does a response to a request that was already on its way.
 *
 * @example
 * backoff.extend(3_000);
 * if (backoff.waitMs === 0) send();
 */
export class OverloadBackoff {
  readonly #clock: Clock;
  /** On the monotonic clock. */
  #untilMs = -Infinity;
  /** Whether it began and no request was sent since. */
  #isUnused = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Time until it ends, in milliseconds; 0 if there is none. */
  get waitMs(): number {
    return Math.max(0, this.#untilMs - this.#clock.monotonicMs());
  }

  /**
   * Applies a backoff that the upstream asks for, in milliseconds, at most {@link maxBackoffMs}.
   *
   * @returns whether it begins with this, rather than being extended or unchanged
   */
  extend(durationMs: number): boolean {
    const isBeginning = this.waitMs === 0 && durationMs > 0;
    const untilMs = this.#clock.monotonicMs() + Math.min(maxBackoffMs, durationMs);
    this.#untilMs = Math.max(this.#untilMs, untilMs);
    this.#isUnused ||= isBeginning;
    return isBeginning;
  }

  /** Records that a request is sent; returns whether it is the first one after a backoff. */
  recordSend(): boolean {
    const isFirst = this.#isUnused && this.waitMs === 0;
    if (isFirst) this.#isUnused = false;
    return isFirst;
  }
}
