/**
 * Running totals of the tokens of an account that one process run lent to others and received from them.
 *
 * The totals make loans safe against lost and repeated messages. There is one for each direction between
 * two process runs, and it never decreases. A lender increases it before it sends it; a borrower adds the
 * difference to the total that it knew. At any time the borrower has received at most what the lender has
 * given away, and both together spend at most what the store granted them.
 */
export class LoanBook {
  readonly #lentTotals = new Map<string, number>();
  readonly #receivedTotals = new Map<string, number>();
  #balanceTokens = 0;

  /** Tokens received minus tokens lent. */
  get balanceTokens(): number {
    return this.#balanceTokens;
  }

  /** The running total lent to a process run. */
  totalLentTo(borrower: string): number {
    return this.#lentTotals.get(borrower) ?? 0;
  }

  /** The process runs that have not returned all tokens lent to them, with the outstanding tokens. */
  *outstanding(): Iterable<readonly [string, number]> {
    for (const [borrower, lent] of this.#lentTotals) {
      const tokens = lent - (this.#receivedTotals.get(borrower) ?? 0);
      if (tokens > 0) yield [borrower, tokens];
    }
  }

  /** Lends tokens; this process run must not spend them afterwards. */
  lend(borrower: string, tokens: number): void {
    this.#lentTotals.set(borrower, this.totalLentTo(borrower) + tokens);
    this.#balanceTokens -= tokens;
  }

  /**
   * Applies the running total that a lender reports.
   *
   * @param lender - the process run that lent the tokens
   * @param totalTokens - its running total
   * @returns the newly received tokens
   */
  receive(lender: string, totalTokens: number): number {
    const knownTotal = this.#receivedTotals.get(lender) ?? 0;
    if (totalTokens <= knownTotal) return 0;
    this.#receivedTotals.set(lender, totalTokens);
    this.#balanceTokens += totalTokens - knownTotal;
    return totalTokens - knownTotal;
  }
}
