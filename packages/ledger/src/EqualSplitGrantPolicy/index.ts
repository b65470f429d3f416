import { GrantPolicy, type GrantRequest, type GrantPlan } from '../GrantPolicy/index.js';

/** Requests up to an equal share of the budget for each instance. */
export class EqualSplitGrantPolicy extends GrantPolicy {
  override readonly name = 'equalSplit';
  override readonly isRecallEnabled = false;
  readonly #instances: number;

  constructor(instances = 5) {
    super();
    this.#instances = instances;
  }

  override plan(request: GrantRequest): GrantPlan {
    const wantedTokens = Math.max(request.neededTokens, Number.MAX_SAFE_INTEGER);
    return {
      wantedTokens,
      maxShare: 1 / this.#instances,
      maxTotalShare: 1,
      unreachableWeight: 1,
      refillBelowTokens: 0,
    };
  }
}
