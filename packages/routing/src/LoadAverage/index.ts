/** Time constant of the average, in milliseconds: a few runs of a request. */
const averagingMs = 5_000;

/**
 * The average number of requests in progress over the last seconds.
 *
 * @example
 * average.update(2, clock.monotonicMs());
 * average.at(clock.monotonicMs());
 */
export class LoadAverage {
  #average = 0;
  #current = 0;
  #updatedMs = -Infinity;

  /** The average at a time, in requests. */
  at(nowMs: number): number {
    const weight = Math.exp(-Math.max(0, nowMs - this.#updatedMs) / averagingMs);
    return this.#current + (this.#average - this.#current) * weight;
  }

  /** Records how many requests are in progress from now on. */
  update(requests: number, nowMs: number): void {
    this.#average = this.at(nowMs);
    this.#current = requests;
    this.#updatedMs = nowMs;
  }
}
