/** How long a page that was read to be dry is believed, in milliseconds. */
const dryMs = 1_000;

/** What is believed of an account of which no more tokens are to be had. */
interface Dryness<Outcome> {
  readonly untilMs: number;
  /** What could still be had, in tokens. */
  readonly remainingTokens: number;
  readonly outcome: Outcome;
}

/**
 * Remembers for a while that an account has no more tokens.
 *
 * Guards against a call to the store for each request of an account that is used up.
 */
export class DryBelief<Outcome> {
  #dry: Dryness<Outcome> | undefined;

  /** Takes note that no more than so many tokens are to be had; returns the outcome. */
  note(outcome: Outcome, remainingTokens: number, nowMs: number): Outcome {
    this.#dry = { untilMs: nowMs + dryMs, remainingTokens, outcome };
    return outcome;
  }

  /** Forgets it, since there may be more again. */
  clear(): void {
    this.#dry = undefined;
  }

  /** Whether it is believed now. */
  isHeld(nowMs: number): boolean {
    return this.#dry !== undefined && this.#dry.untilMs > nowMs;
  }

  /**
   * What a request for tokens comes to, as far as that is known.
   *
   * @param neededTokens - what it needs beyond the stock
   * @param nowMs - on the monotonic clock
   * @returns the outcome; undefined where it has to be tried
   */
  outcomeFor(neededTokens: number, nowMs: number): Outcome | undefined {
    const dry = this.#dry;
    if (dry === undefined || !this.isHeld(nowMs)) return undefined;
    return dry.remainingTokens >= neededTokens ? undefined : dry.outcome;
  }
}
