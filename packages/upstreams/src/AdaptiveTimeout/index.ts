/** Options of {@link AdaptiveTimeout}. */
export interface AdaptiveTimeoutOptions {
  /** Lower bound of the timeout, in milliseconds. */
  floorMs: number;
  /** Upper bound of the timeout, also used before the first observation, in milliseconds. */
  ceilingMs: number;
}

/** Weight of a new observation in the moving average, as in TCP's round-trip time estimation. */
const meanWeight = 1 / 8;
/** Weight of a new observation in the moving mean deviation. */
const deviationWeight = 1 / 4;
/** The timeout exceeds the mean by this many mean deviations. */
const deviationFactor = 8;
/**
 * The timeout is at least this multiple of the mean, even if the gaps have hardly varied so far.
 */
const meanFactor = 4;

/**
 * An adaptive timeout: how long an upstream may make no progress before its connection counts as
 * stalled.
 *
 * It follows the moving average and mean deviation of the gaps observed at that upstream, within a
 * floor and a ceiling. A fixed timeout would either cut off slow engines under load or leave the
 * caller of a fast one waiting on a dead connection.
 *
 * @example
 * const timeout = new AdaptiveTimeout({ floorMs: 1_000, ceilingMs: 10_000 });
 * timeout.limitMs();
 * //=> 10000
 */
export class AdaptiveTimeout {
  readonly #options: AdaptiveTimeoutOptions;
  #meanMs: number | undefined;
  #deviationMs = 0;

  constructor(options: AdaptiveTimeoutOptions) {
    this.#options = options;
  }

  /** Adds one observed gap between two signs of progress. */
  observe(gapMs: number): void {
    if (this.#meanMs === undefined) {
      this.#meanMs = gapMs;
      this.#deviationMs = gapMs / 2;
      return;
    }
    const errorMs = gapMs - this.#meanMs;
    this.#meanMs += meanWeight * errorMs;
    this.#deviationMs += deviationWeight * (Math.abs(errorMs) - this.#deviationMs);
  }

  /** Returns the current timeout, in milliseconds. */
  limitMs(): number {
    const { floorMs, ceilingMs } = this.#options;
    if (this.#meanMs === undefined) return ceilingMs;
    const byDeviation = this.#meanMs + deviationFactor * this.#deviationMs;
    const learnedMs = Math.max(byDeviation, meanFactor * this.#meanMs);
    return Math.min(ceilingMs, Math.max(floorMs, learnedMs));
  }
}
