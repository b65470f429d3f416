import type { Clock } from '@acaciacrank/base';

/** Upper bound for a backoff that an upstream requests, in milliseconds. */
export const maxBackoffMs = 60_000;
/** For how long after a backoff requests are sent one by one, in milliseconds. */
const recoveryMs = 1_000;
/** Time between two requests in the recovery, in milliseconds. */
const recoveryIntervalMs = 100;

/**
 * The backoff that an overloaded upstream requested from this instance (`Retry-After`), and the recovery after it.
 *
 * A later request for a backoff only ever extends it: each one holds until its own end, so a shorter one does not
 * shorten a longer one, and neither does a response to a request that was already on its way.
 *
 * Guards against load that returns all at once: in the recovery requests follow each other at an interval, so
 * that an upstream which is still overloaded refuses one of them and not a burst.
 *
 * @example
 * backoff.extend(3_000);
 * if (backoff.waitMs === 0) backoff.recordSend();
 */
export class OverloadBackoff {
  readonly #clock: Clock;
  /** On the monotonic clock. */
  #untilMs = -Infinity;
  /** When the last request was sent. */
  #lastSentMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Time until it ends, in milliseconds; 0 if there is none. */
  get remainingMs(): number {
    return Math.max(0, this.#untilMs - this.#clock.monotonicMs());
  }

  /** Whether neither it nor the recovery after it continues. */
  get isOver(): boolean {
    return this.#clock.monotonicMs() - this.#untilMs >= recoveryMs;
  }

  /** Time until a request may be sent, in milliseconds. */
  get waitMs(): number {
    if (this.isOver) return 0;
    const nextMs = this.#hasSentSinceEnd ? this.#lastSentMs + recoveryIntervalMs : this.#untilMs;
    return Math.max(0, nextMs - this.#clock.monotonicMs());
  }

  /**
   * Applies a backoff that the upstream requests, in milliseconds, at most {@link maxBackoffMs}.
   *
   * @returns whether it begins with this, rather than being extended or unchanged
   */
  extend(durationMs: number): boolean {
    const nowMs = this.#clock.monotonicMs();
    const untilMs = nowMs + Math.min(maxBackoffMs, durationMs);
    if (untilMs <= nowMs || untilMs <= this.#untilMs) return false;
    const isBeginning = this.#untilMs <= nowMs;
    this.#untilMs = untilMs;
    return isBeginning;
  }

  /** Records that a request is sent; returns whether it is the first one after a backoff. */
  recordSend(): boolean {
    const isFirst = this.#untilMs > -Infinity && !this.#hasSentSinceEnd && this.remainingMs === 0;
    this.#lastSentMs = this.#clock.monotonicMs();
    return isFirst;
  }

  get #hasSentSinceEnd(): boolean {
    return this.#lastSentMs >= this.#untilMs;
  }
}
