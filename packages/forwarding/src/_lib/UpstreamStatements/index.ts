import type { Clock } from '@acaciacrank/base';
import { OverloadBackoff } from '@acaciacrank/routing';

/**
 * What one run of an upstream has asked of this instance in its responses. It holds whatever its record in the
 * store says, which may be older.
 */
export class UpstreamStatements {
  /** For how long it wants nothing from this instance. */
  readonly backoff: OverloadBackoff;
  readonly #clock: Clock;
  #leavingSinceMs: number | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.backoff = new OverloadBackoff(clock);
  }

  /** Time since it first said that it is leaving, in milliseconds; undefined if it did not. */
  get leavingForMs(): number | undefined {
    if (this.#leavingSinceMs === undefined) return undefined;
    return this.#clock.monotonicMs() - this.#leavingSinceMs;
  }

  /** Records that it says that it is leaving. */
  recordLeaving(): void {
    this.#leavingSinceMs ??= this.#clock.monotonicMs();
  }
}
