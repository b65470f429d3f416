/**
 * Measures the recent rate of an event.
 */

/** Rate of events per millisecond as an exponentially decaying average. */
export class DecayingRate {
  readonly #windowMs: number;
  #decayedCount = 0;
  #updatedMs: number;

  /**
   * @param windowMs - time constant of the decay, in milliseconds
   * @param nowMs - start of the measurement
   */
  constructor(windowMs: number, nowMs: number) {
    this.#windowMs = windowMs;
    this.#updatedMs = nowMs;
  }

  /** Records one event. */
  record(nowMs: number): void {
    this.#decay(nowMs);
    this.#decayedCount += 1;
  }

  /** Returns the rate in events per millisecond. */
  perMs(nowMs: number): number {
    this.#decay(nowMs);
    return this.#decayedCount / this.#windowMs;
  }

  #decay(nowMs: number): void {
    this.#decayedCount *= Math.exp((this.#updatedMs - nowMs) / this.#windowMs);
    this.#updatedMs = nowMs;
  }
}
