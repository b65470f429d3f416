import { millisecondsInSecond, type Clock } from '@acaciacrank/base';

/**
 * Token bucket that limits how many records about other members an instance sends per second.
 *
 * Guards against bursts: when a partition heals, all members' records change at once, and each
 * message would be full of them for seconds, above what an instance may spend on control traffic.
 * Changes beyond the limit wait for the next messages.
 */
export class RecordRateLimiter {
  readonly #clock: Clock;
  readonly #recordsPerSecond: number;
  #availableRecords: number;
  #refilledAtMs: number;

  constructor(clock: Clock, recordsPerSecond: number) {
    this.#clock = clock;
    this.#recordsPerSecond = recordsPerSecond;
    this.#availableRecords = recordsPerSecond;
    this.#refilledAtMs = clock.monotonicMs();
  }

  /**
   * Takes permits for sending records.
   *
   * @param wanted - how many would be sent
   * @returns how many may be sent
   *
   * @example
   * updates.take(limiter.take(5));
   */
  take(wanted: number): number {
    const nowMs = this.#clock.monotonicMs();
    const refill = ((nowMs - this.#refilledAtMs) / millisecondsInSecond) * this.#recordsPerSecond;
    this.#availableRecords = Math.min(this.#recordsPerSecond, this.#availableRecords + refill);
    this.#refilledAtMs = nowMs;
    const taken = Math.min(wanted, Math.floor(this.#availableRecords));
    this.#availableRecords -= taken;
    return taken;
  }
}
