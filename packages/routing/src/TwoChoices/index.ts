import { estimateLoad } from '../estimateLoad/index.js';
import { UpstreamSelector, type SelectionContext } from '../UpstreamSelector/index.js';
import type { Upstream } from '../types.js';

/** Power of two choices: picks the less loaded of two candidates drawn at random. */
export class TwoChoices extends UpstreamSelector {
  override readonly name = 'twoChoices';

  override choose(
    candidates: readonly Upstream[],
    context: SelectionContext,
  ): Upstream | undefined {
    const drawCandidate = () => candidates[Math.floor(context.random() * candidates.length)];
    const first = drawCandidate();
    const second = drawCandidate();
    if (first === undefined || second === undefined) return first ?? second;
    return estimateLoad(first) <= estimateLoad(second) ? first : second;
  }
}
