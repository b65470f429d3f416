/**
 * What one lifetime of an instance has passed on to others of an account's tokens, and got from them.
 *
 * Guards against lost and repeated messages: each pair of lifetimes counts one running total, which
 * only rises. A lender raises it before it tells, a borrower takes the rise over what it knew. So at
 * every moment the borrower has at most what the lender has given away, and both together spend at
 * most what the store granted them.
 */
export class LoanBook {
  readonly #lent = new Map<string, number>();
  readonly #taken = new Map<string, number>();
  #balanceTokens = 0;

  /** Tokens that others gave, less those that were given away. */
  get balanceTokens(): number {
    return this.#balanceTokens;
  }

  /** Everything that was ever given to a lifetime. */
  lentTo(borrower: string): number {
    return this.#lent.get(borrower) ?? 0;
  }

  /** What each lifetime was given and has not given back, where that is more than nothing. */
  *outstanding(): Iterable<readonly [string, number]> {
    for (const [borrower, lent] of this.#lent) {
      const tokens = lent - (this.#taken.get(borrower) ?? 0);
      if (tokens > 0) yield [borrower, tokens];
    }
  }

  /** Gives tokens away; they are no longer to be spent here when this returns. */
  lend(borrower: string, tokens: number): void {
    this.#lent.set(borrower, this.lentTo(borrower) + tokens);
    this.#balanceTokens -= tokens;
  }

  /**
   * Takes in what a lifetime says that it gave in all.
   *
   * @param lender - who gave
   * @param totalTokens - its running total
   * @returns the tokens that are new
   */
  take(lender: string, totalTokens: number): number {
    const known = this.#taken.get(lender) ?? 0;
    if (totalTokens <= known) return 0;
    this.#taken.set(lender, totalTokens);
    this.#balanceTokens += totalTokens - known;
    return totalTokens - known;
  }
}
