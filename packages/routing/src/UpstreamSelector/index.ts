import type { Random } from '@acaciacrank/base';
import type { CacheEvent } from '@acaciacrank/upstreams';
import type { Upstream } from '../types.js';

/** Input to a selection besides the candidates. */
export interface SelectionContext {
  readonly random: Random;
  /** Hash of the prompt's prefix, for prefix affinity; undefined for services other than engines. */
  readonly prefixHash: number | undefined;
}

/** A load-balancing policy that chooses the upstream for each request. */
export abstract class UpstreamSelector {
  /** Name of the policy in experiments and settings. */
  abstract readonly name: string;

  /**
   * Chooses one of the live candidates.
   *
   * @param candidates - must not be retained, since the array changes later
   * @returns the chosen upstream; undefined without candidates
   */
  abstract choose(candidates: readonly Upstream[], context: SelectionContext): Upstream | undefined;

  /**
   * Handles a prefix cache event of an engine. Events are hints: they arrive late and with gaps, and may
   * date from before a restart of the engine. Policies without prefix affinity ignore them.
   */
  handleCacheEvent(upstream: Upstream, event: CacheEvent): void {
    void upstream;
    void event;
  }
}
