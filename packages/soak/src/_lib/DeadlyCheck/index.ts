import { getOrCreate } from '@acaciacrank/base';
import type { InvariantName } from '../../types.js';

/** Options of {@link DeadlyCheck}. */
export interface DeadlyCheckOptions {
  readonly onViolation: (invariant: InvariantName, what: string) => void;
}

/** Number of upstreams that one request may end. */
const maxEnds = 3;
/** Least share of the repeatable requests beside it that is served, and the number from which that is checked. */
const companions = { minServedShare: 0.97, minCount: 30 } as const;

/** Checks how many upstreams a deadly request ends, and what becomes of the requests beside it. */
export class DeadlyCheck {
  /** Upstreams that ended, by the request that ended them. */
  readonly #ends = new Map<string, string[]>();
  readonly #companionIds = new Set<string>();
  readonly #options: DeadlyCheckOptions;

  constructor(options: DeadlyCheckOptions) {
    this.#options = options;
  }

  /**
   * Records that an upstream ends under a request.
   *
   * @param request - names the request, the same for all attempts to send it
   * @param upstream - id of the upstream
   * @param companionIds - ids of the other requests that it was running
   */
  noteEnd(request: string, upstream: string, companionIds: Iterable<string>): void {
    for (const id of companionIds) this.#companionIds.add(id);
    const ends = getOrCreate(this.#ends, request, () => []);
    ends.push(upstream);
    if (ends.length !== maxEnds + 1) return;
    this.#options.onViolation('queryOfDeath', `${request} has ended ${ends.join(', ')}`);
  }

  /** Checks what became of the requests that ran beside deadly ones. */
  finish(calls: readonly { id: string; isRepeatable: boolean; outcome: string }[]): void {
    const { minServedShare, minCount } = companions;
    const beside = calls.filter(
      ({ id, isRepeatable, outcome }) =>
        isRepeatable && outcome !== 'spent' && this.#companionIds.has(id),
    );
    const served = beside.filter(({ outcome }) => outcome === 'served').length;
    if (beside.length < minCount || served >= minServedShare * beside.length) return;
    const what = `${served} of ${beside.length} repeatable requests beside it were served`;
    this.#options.onViolation('queryOfDeath', what);
  }
}
