import { GrantPolicy, type GrantRequest, type GrantPlan } from '../GrantPolicy/index.js';

/** Requests the same amount each time, or more if a request needs it. */
export class FixedGrantPolicy extends GrantPolicy {
  override readonly name = 'fixed';
  override readonly isRecallEnabled = false;
  readonly #sizeTokens: number;

  constructor(sizeTokens = 20_000) {
    super();
    this.#sizeTokens = sizeTokens;
  }

  override plan(request: GrantRequest): GrantPlan {
    const wantedTokens = Math.max(request.neededTokens, this.#sizeTokens);
    return {
      wantedTokens,
      maxShare: 1,
      maxTotalShare: 1,
      unreachableWeight: 1,
      refillBelowTokens: 0,
    };
  }
}
