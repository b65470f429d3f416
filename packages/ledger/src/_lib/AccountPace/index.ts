/** Weight of the last second in the pace: a few seconds, since single requests are large. */
const weight = 0.25;
/** The same where only other instances see the account's callers, who may come here any moment. */
const idleWeight = 0.06;

/** What is measured at a tick. */
export interface PaceSample {
  readonly nowMs: number;
  /** What is spent, set aside or out on loan here, in tokens; falls when some of it comes back. */
  readonly usedTokens: number;
  /** What all instances have spent or set aside, as far as they have told, in tokens. */
  readonly seenBoundTokens: number;
  /** The pace to begin with, in tokens a millisecond. */
  readonly openingTokensPerMs: number;
}

/** How fast an account's tokens are used, here and by all instances together. */
export class AccountPace {
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

  /** The pace here; undefined while the account was not used anywhere. */
  get tokensPerMs(): number | undefined {
    return this.#tokensPerMs;
  }

  /** The pace of all instances together, as far as their pages tell. */
  get fleetTokensPerMs(): number {
    return this.#fleetTokensPerMs;
  }

  /**
   * Takes in what was used since the last tick.
   *
   * What instances lend and give back to each other is no use, and what was used before this
   * instance began is not a second's: counted as such, either would fill stock that a death then takes.
   */
  measure({ nowMs, usedTokens, seenBoundTokens, openingTokensPerMs }: PaceSample): void {
    const elapsedMs = Math.max(1, nowMs - this.#atMs);
    this.#isUsed ||= usedTokens > 0;
    // Unused anywhere, an account keeps its opening stock; used elsewhere only, it is not wanted here.
    if (this.#isUsed || seenBoundTokens > 0) {
      const pace = (usedTokens - this.#usedTokens) / elapsedMs;
      const before = this.#tokensPerMs ?? openingTokensPerMs;
      const after = before + (this.#isUsed ? weight : idleWeight) * (pace - before);
      this.#tokensPerMs = Math.max(0, after);
    }
    const toldBefore = this.#boundTokens ?? seenBoundTokens;
    const fleetPace = Math.max(0, seenBoundTokens - toldBefore) / elapsedMs;
    this.#fleetTokensPerMs += weight * (fleetPace - this.#fleetTokensPerMs);
    this.#usedTokens = usedTokens;
    this.#boundTokens = seenBoundTokens;
    this.#atMs = nowMs;
  }
}
