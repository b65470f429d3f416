import { GrantPolicy, type GrantRequest, type GrantPlan } from '../GrantPolicy/index.js';

/** Options of {@link DemandGrantPolicy}. */
export interface DemandGrantPolicyOptions {
  /** How many minutes of its own demand an instance holds, to keep working during a partition. */
  horizonMinutes?: number;
  /** The largest share of the unsettled tokens to hold; grants shrink as the budget runs out. */
  maxShare?: number;
  /** The largest share that all grants may hold; the rest is not affected by lost instances. */
  maxTotalShare?: number;
  /** The factor by which grants of unreachable holders count, so that losses make other grants smaller. */
  unreachableWeight?: number;
  /** Refill when less than this share of the requested size is left. */
  refillShare?: number;
}

/**
 * Holds a few minutes of this instance's own demand, but at most a small share of the budget's
 * unsettled tokens. When a grant is denied, idle tokens are recalled from other instances.
 */
export class DemandGrantPolicy extends GrantPolicy {
  override readonly name = 'demand';
  override readonly isRecallEnabled = true;
  readonly #options: Required<DemandGrantPolicyOptions>;

  constructor(options: DemandGrantPolicyOptions = {}) {
    super();
    this.#options = {
      horizonMinutes: 10,
      maxShare: 0.2,
      maxTotalShare: 0.6,
      unreachableWeight: 2,
      refillShare: 0.8,
      ...options,
    };
  }

  override plan(request: GrantRequest): GrantPlan {
    const { horizonMinutes, maxShare, maxTotalShare, unreachableWeight, refillShare } =
      this.#options;
    const { neededTokens, tokensPerMinute, lastAvailableTokens } = request;
    const wantedTokens = Math.max(neededTokens, Math.ceil(tokensPerMinute * horizonMinutes));
    const maxGrantTokens = (lastAvailableTokens ?? Infinity) * maxShare;
    const refillBelowTokens = Math.floor(refillShare * Math.min(wantedTokens, maxGrantTokens));
    return {
      wantedTokens,
      maxShare,
      maxTotalShare,
      unreachableWeight,
      refillBelowTokens,
    };
  }
}
