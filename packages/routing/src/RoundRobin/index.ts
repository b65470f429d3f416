import { UpstreamSelector } from '../UpstreamSelector/index.js';
import type { Upstream } from '../types.js';

/** Cycles through the candidates regardless of their load. Serves as a baseline in experiments. */
export class RoundRobin extends UpstreamSelector {
  override readonly name = 'roundRobin';
  #turn = 0;

  override choose(candidates: readonly Upstream[]): Upstream | undefined {
    this.#turn += 1;
    return candidates[this.#turn % candidates.length];
  }
}
