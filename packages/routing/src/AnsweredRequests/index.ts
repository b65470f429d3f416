import type { Clock } from '@acaciacrank/base';

/** For how long a request counts as answered, in milliseconds. */
const retentionMs = 60_000;
/** Maximum number of requests that are remembered; the least recently answered ones are forgotten first. */
const maxRequests = 4_096;

/**
 * Requests that upstreams have answered a short time ago, by a digest of what they ask for.
 *
 * Guards against taking requests that many callers send for the cause when upstreams crash one after another: they are
 * at each of them. One that was answered just now does not end upstreams.
 *
 * @example
 * answered.record(digest);
 * answered.has(digest); //=> true
 */
export class AnsweredRequests {
  readonly #clock: Clock;
  /** When each was answered last, the least recent first. */
  readonly #answeredMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that a request was answered. */
  record(digest: string): void {
    this.#answeredMs.delete(digest);
    this.#answeredMs.set(digest, this.#clock.monotonicMs());
    if (this.#answeredMs.size <= maxRequests) return;
    const [oldest] = this.#answeredMs.keys();
    if (oldest !== undefined) this.#answeredMs.delete(oldest);
  }

  /** Whether a request was answered a short time ago. */
  has(digest: string): boolean {
    const answeredMs = this.#answeredMs.get(digest);
    return answeredMs !== undefined && this.#clock.monotonicMs() - answeredMs < retentionMs;
  }
}
