/** Weight of the last second in the pace: a few seconds, since single requests are large. */
const weight = 0.25;
/** The same where only other instances see the account's callers, who may come here any moment. */
const idleWeight = 0.06;

/** What is measured at a tick. */
export interface PaceSample {
  readonly nowMs: number;
  /** Everything that was ever set aside or lent here, in tokens. */
  readonly askedTokens: number;
  /** What all instances have spent or set aside, as far as they have told, in tokens. */
  readonly seenBoundTokens: number;
  /** The pace to begin with, in tokens a millisecond. */
  readonly openingTokensPerMs: number;
}

/** How fast an account's tokens are used, here and by all instances together. */
export class AccountPace {
  #tokensPerMs: number | undefined;
  #fleetTokensPerMs = 0;
  #askedTokens = 0;
  #boundTokens = 0;
  #atMs: number;

  /** @param nowMs - on the monotonic clock */
  constructor(nowMs: number) {
    this.#atMs = nowMs;
  }

  /** When the pace was last measured, on the monotonic clock in milliseconds. */
  get atMs(): number {
    return this.#atMs;
  }

  /** The pace here; undefined while the account was not used anywhere. */
  get tokensPerMs(): number | undefined {
    return this.#tokensPerMs;
  }

  /** The pace of all instances together, as far as their pages tell. */
  get fleetTokensPerMs(): number {
    return this.#fleetTokensPerMs;
  }

  /** Takes in what was used since the last tick. */
  measure({ nowMs, askedTokens, seenBoundTokens, openingTokensPerMs }: PaceSample): void {
    const elapsedMs = Math.max(1, nowMs - this.#atMs);
    const pace = Math.max(0, askedTokens - this.#askedTokens) / elapsedMs;
    // Unused anywhere, an account keeps its opening stock; used elsewhere only, it is not wanted here.
    if (askedTokens > 0 || seenBoundTokens > 0) {
      const before = this.#tokensPerMs ?? openingTokensPerMs;
      this.#tokensPerMs = before + (askedTokens > 0 ? weight : idleWeight) * (pace - before);
    }
    const fleetPace = Math.max(0, seenBoundTokens - this.#boundTokens) / elapsedMs;
    this.#fleetTokensPerMs += weight * (fleetPace - this.#fleetTokensPerMs);
    this.#askedTokens = askedTokens;
    this.#boundTokens = seenBoundTokens;
    this.#atMs = nowMs;
  }
}
