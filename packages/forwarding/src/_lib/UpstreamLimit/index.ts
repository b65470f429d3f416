import type { Clock } from '@acaciacrank/base';

/** How a limit changed. */
export type LimitChange = 'limitNamed' | 'limitChanged' | 'limitWithdrawn';

/** The request rate that an upstream accepts from all instances combined, as its answers state it. */
export class UpstreamLimit {
  readonly #clock: Clock;
  #requestsPerSecond = Infinity;
  #updatedMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Infinite while the upstream sets no limit. */
  get requestsPerSecond(): number {
    return this.#requestsPerSecond;
  }

  /**
   * Applies the limit from an answer.
   *
   * Guards against answers that arrive out of order: the answer to a request that was sent before the
   * last update may be stale, so it can lower the limit but not raise or remove it.
   *
   * @param requestsPerSecond - infinite if the answer has no limit
   * @param sentMs - when the request was sent, on the monotonic clock
   * @returns the change; undefined if the limit stays the same
   */
  update(requestsPerSecond: number, sentMs: number): LimitChange | undefined {
    const mayBeStale = sentMs < this.#updatedMs;
    if (mayBeStale && requestsPerSecond > this.#requestsPerSecond) return undefined;
    this.#updatedMs = this.#clock.monotonicMs();
    const previous = this.#requestsPerSecond;
    this.#requestsPerSecond = requestsPerSecond;
    if (requestsPerSecond === previous) return undefined;
    if (previous === Infinity) return 'limitNamed';
    return requestsPerSecond === Infinity ? 'limitWithdrawn' : 'limitChanged';
  }
}
