/** How long an entry is valid, in milliseconds. */
const entryLifetimeMs = 1_000;

/** The cached result of a failed attempt to acquire tokens. */
interface ExhaustionEntry<Outcome> {
  readonly expiresAtMs: number;
  /** Tokens that can still be acquired. */
  readonly remainingTokens: number;
  readonly outcome: Outcome;
}

/**
 * Caches for a short time that an account has no more tokens, so that requests of an exhausted account
 * do not each call the store.
 */
export class ExhaustionCache<Outcome> {
  #entry: ExhaustionEntry<Outcome> | undefined;

  /** Records that at most `remainingTokens` can be acquired; returns the outcome. */
  record(outcome: Outcome, remainingTokens: number, nowMs: number): Outcome {
    this.#entry = { expiresAtMs: nowMs + entryLifetimeMs, remainingTokens, outcome };
    return outcome;
  }

  /** Removes the entry, since more tokens may be available again. */
  clear(): void {
    this.#entry = undefined;
  }

  /** Whether there is an entry that is still valid. */
  isActive(nowMs: number): boolean {
    return this.#entry !== undefined && this.#entry.expiresAtMs > nowMs;
  }

  /**
   * The known outcome of a request for tokens.
   *
   * @param neededTokens - tokens needed in addition to the stock
   * @param nowMs - the current time, on the monotonic clock
   * @returns the outcome; undefined if the request has to be tried
   */
  lookUp(neededTokens: number, nowMs: number): Outcome | undefined {
    const entry = this.#entry;
    if (entry === undefined || !this.isActive(nowMs)) return undefined;
    return entry.remainingTokens >= neededTokens ? undefined : entry.outcome;
  }
}
