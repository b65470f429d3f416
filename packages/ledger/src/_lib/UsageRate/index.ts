/** The weight of the newest sample; averages over a few seconds, since single requests are large. */
const smoothingWeight = 0.25;
/** The same if only other instances have used the account; its callers may switch here at any moment. */
const idleSmoothingWeight = 0.06;

/** The values measured at a tick. */
export interface UsageSample {
  readonly nowMs: number;
  /** Tokens spent, reserved or lent by this instance; decreases when some are returned. */
  readonly usedTokens: number;
  /** Tokens spent or reserved by all instances, as last reported. */
  readonly seenBoundTokens: number;
  /** The initial rate, in tokens per millisecond. */
  readonly initialTokensPerMs: number;
}

/** Measures how fast the tokens of an account are used, by this instance and by the fleet. */
export class UsageRate {
  #tokensPerMs: number | undefined;
  #fleetTokensPerMs = 0;
  #usedTokens = 0;
  #isUsed = false;
  #boundTokens: number | undefined;
  #atMs: number;

  /** @param nowMs - on the monotonic clock */
  constructor(nowMs: number) {
    this.#atMs = nowMs;
  }

  /** The rate at this instance; undefined if the account was not used anywhere yet. */
  get tokensPerMs(): number | undefined {
    return this.#tokensPerMs;
  }

  /** The rate of all instances together, as last reported in the page. */
  get fleetTokensPerMs(): number {
    return this.#fleetTokensPerMs;
  }

  /**
   * Adds a sample.
   *
   * Loans and their returns are not usage, and usage before this instance started did not happen within
   * one tick. Counting either would increase the stock, all of which is lost in a crash.
   */
  measure({ nowMs, usedTokens, seenBoundTokens, initialTokensPerMs }: UsageSample): void {
    const elapsedMs = Math.max(1, nowMs - this.#atMs);
    this.#isUsed ||= usedTokens > 0;
    // An account that was not used anywhere keeps its initial stock; one used only elsewhere needs none here.
    if (this.#isUsed || seenBoundTokens > 0) {
      const sampleTokensPerMs = (usedTokens - this.#usedTokens) / elapsedMs;
      const previousTokensPerMs = this.#tokensPerMs ?? initialTokensPerMs;
      const smoothedTokensPerMs =
        previousTokensPerMs +
        (this.#isUsed ? smoothingWeight : idleSmoothingWeight) *
          (sampleTokensPerMs - previousTokensPerMs);
      this.#tokensPerMs = Math.max(0, smoothedTokensPerMs);
    }
    const previousBoundTokens = this.#boundTokens ?? seenBoundTokens;
    const fleetSampleTokensPerMs = Math.max(0, seenBoundTokens - previousBoundTokens) / elapsedMs;
    this.#fleetTokensPerMs += smoothingWeight * (fleetSampleTokensPerMs - this.#fleetTokensPerMs);
    this.#usedTokens = usedTokens;
    this.#boundTokens = seenBoundTokens;
    this.#atMs = nowMs;
  }
}
