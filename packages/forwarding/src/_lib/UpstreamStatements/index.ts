import type { Clock } from '@acaciacrank/base';
import { OverloadBackoff } from '@acaciacrank/routing';

/**
 * What one run of an upstream has requested of this instance in its responses. It overrides the upstream's
 * record in the store, which may be older.
 */
export class UpstreamStatements {
  /** The backoff that it requested. */
  readonly backoff: OverloadBackoff;
  readonly #clock: Clock;
  #leavingSinceMs: number | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.backoff = new OverloadBackoff(clock);
  }

  /** Time since it first stated that it is leaving, in milliseconds; undefined if it did not. */
  get leavingForMs(): number | undefined {
    if (this.#leavingSinceMs === undefined) return undefined;
    return this.#clock.monotonicMs() - this.#leavingSinceMs;
  }

  /** Records that it states that it is leaving. */
  recordLeaving(): void {
    this.#leavingSinceMs ??= this.#clock.monotonicMs();
  }
}
