/**
 * Policies for the size of grants.
 *
 * The size is a trade-off: large grants cause false refusals, as other instances hold unused tokens,
 * and small grants cause more writes to the store.
 */

/** The inputs of a policy. */
export interface GrantRequest {
  /** Tokens that the waiting request needs. */
  readonly neededTokens: number;
  /** The rate at which this instance reserves tokens of the budget, per minute. */
  readonly tokensPerMinute: number;
  /** Available tokens of the page when last read or written; undefined if that never happened. */
  readonly lastAvailableTokens: number | undefined;
}

/** The grant to request, as a policy decided. */
export interface GrantPlan {
  /** How many tokens to request, at least `neededTokens`. */
  readonly wantedTokens: number;
  /** The largest share of the budget's unsettled tokens that this instance may hold, in (0, 1]. */
  readonly maxShare: number;
  /** The largest share of the budget's unsettled tokens that all grants may hold, in (0, 1]. */
  readonly maxTotalShare: number;
  /** The factor by which grants of unreachable holders count towards `maxTotalShare`. */
  readonly unreachableWeight: number;
  /** Request the next grant in advance when fewer tokens are available here; 0 for never. */
  readonly refillBelowTokens: number;
}

/** Decides how many tokens to set aside at a time. */
export abstract class GrantPolicy {
  /** The name of the policy in experiments and settings. */
  abstract readonly name: string;
  /** Whether an instance whose grant was denied asks the holders to return their idle tokens. */
  abstract readonly isRecallEnabled: boolean;

  /** Decides on the next grant. */
  abstract plan(request: GrantRequest): GrantPlan;
}
