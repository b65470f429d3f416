/** Weight of the latest run. */
const smoothingFactor = 0.05;
/** Assumed before any run has ended, in milliseconds: a short stream. */
const initialRunTimeMs = 1_000;
/** Longer runs are attributed to a fault and count as this long, in milliseconds. */
const maxRunTimeMs = 60_000;

/**
 * Estimates for how long a request holds a slot of an upstream of one service, from the runs that this
 * instance saw.
 *
 * @example
 * estimator.observe(1_300);
 * estimator.runTimeMs;
 */
export class RunTimeEstimator {
  #runTimeMs = initialRunTimeMs;

  /** The mean time, in milliseconds. */
  get runTimeMs(): number {
    return this.#runTimeMs;
  }

  /** Records how long a request held its slot, in milliseconds. */
  observe(elapsedMs: number): void {
    if (!(elapsedMs >= 0)) return;
    this.#runTimeMs += smoothingFactor * (Math.min(elapsedMs, maxRunTimeMs) - this.#runTimeMs);
  }
}
