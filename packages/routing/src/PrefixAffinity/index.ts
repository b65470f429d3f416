import type { CacheEvent } from '@acaciacrank/upstreams';
import { estimateLoad } from '../estimateLoad/index.js';
import { UpstreamSelector, type SelectionContext } from '../UpstreamSelector/index.js';
import type { Upstream } from '../types.js';

/** Options of {@link PrefixAffinity}. */
export interface PrefixAffinityOptions {
  /**
   * Number of candidates drawn at random for each decision; 12 by default. If there are at most this
   * many, all are compared.
   */
  sampleSize?: number;
  /**
   * How much higher the cost of an upstream that holds the prefix may be, in units of load (1 for an
   * upstream at its full concurrency).
   */
  maxExtraLoad?: number;
  /** Maximum number of upstreams recorded for each prefix. */
  maxHoldersPerPrefix?: number;
  /** Maximum number of recorded prefixes; the least recently used one is evicted first. */
  maxPrefixes?: number;
}

interface PrefixHolder {
  readonly upstream: Upstream;
  /** Incarnation of the upstream that cached the prefix; a restart empties its cache. */
  readonly incarnation: number;
}

/**
 * The default policy. Compares the least loaded of a few randomly drawn candidates with the upstreams
 * that were sent the same prompt prefix before, and prefers the latter up to a limit of extra load.
 *
 * The number of compared candidates is bounded. Random sampling prevents all instances from sending to
 * the one upstream that a late report shows as idle.
 */
export class PrefixAffinity extends UpstreamSelector {
  override readonly name = 'prefixAffinity';
  readonly #options: Required<PrefixAffinityOptions>;
  readonly #holders = new Map<number, readonly PrefixHolder[]>();

  constructor(options: PrefixAffinityOptions = {}) {
    super();
    this.#options = {
      sampleSize: 12,
      maxExtraLoad: 0.15,
      maxHoldersPerPrefix: 3,
      maxPrefixes: 10_000,
      ...options,
    };
  }

  override choose(
    candidates: readonly Upstream[],
    context: SelectionContext,
  ): Upstream | undefined {
    const { prefixHash } = context;
    const sampled = this.#leastLoadedOfSample(candidates, context);
    if (prefixHash === undefined || sampled === undefined) return sampled;
    const holder = this.#leastLoadedHolder(prefixHash, candidates);
    const maxHolderCost = costOf(sampled) + this.#options.maxExtraLoad;
    const chosen = holder !== undefined && costOf(holder) <= maxHolderCost ? holder : sampled;
    this.#recordHolder(prefixHash, chosen);
    return chosen;
  }

  /**
   * An engine may have evicted a prefix, or cached one that another instance sent. Events arrive late;
   * a prefix sent since then takes precedence and corrects a wrong hint at its next use. Whoever reads
   * the events discards those of an earlier incarnation.
   */
  override handleCacheEvent(upstream: Upstream, event: CacheEvent): void {
    const holders = this.#holders.get(event.prefixHash);
    if (event.kind === 'evicted') {
      if (holders === undefined) return;
      this.#holders.set(
        event.prefixHash,
        holders.filter((holder) => holder.upstream !== upstream),
      );
      return;
    }
    // Records only prefixes that this instance has sent; others would evict them.
    if (holders !== undefined) this.#recordHolder(event.prefixHash, upstream);
  }

  #leastLoadedOfSample(
    candidates: readonly Upstream[],
    { random }: SelectionContext,
  ): Upstream | undefined {
    let best: Upstream | undefined;
    let bestCost = Infinity;
    const { sampleSize } = this.#options;
    const isExhaustive = candidates.length <= sampleSize;
    const offset = Math.floor(random() * candidates.length);
    for (let count = 0; count < Math.min(sampleSize, candidates.length); count += 1) {
      // A small set is compared in full, starting at a random index so that ties are broken evenly.
      const index = isExhaustive
        ? (offset + count) % candidates.length
        : Math.floor(random() * candidates.length);
      const upstream = candidates[index];
      if (upstream === undefined) continue;
      const cost = costOf(upstream);
      if (cost >= bestCost) continue;
      best = upstream;
      bestCost = cost;
    }
    return best;
  }

  #leastLoadedHolder(prefixHash: number, candidates: readonly Upstream[]): Upstream | undefined {
    let best: Upstream | undefined;
    for (const { upstream, incarnation } of this.#holders.get(prefixHash) ?? []) {
      if (upstream.incarnation !== incarnation || !candidates.includes(upstream)) continue;
      if (best === undefined || costOf(upstream) < costOf(best)) best = upstream;
    }
    return best;
  }

  #recordHolder(prefixHash: number, upstream: Upstream): void {
    const holders = this.#holders.get(prefixHash) ?? [];
    this.#holders.delete(prefixHash);
    const others = holders.filter((other) => other.upstream !== upstream);
    const holder: PrefixHolder = { upstream, incarnation: upstream.incarnation };
    this.#holders.set(prefixHash, [holder, ...others].slice(0, this.#options.maxHoldersPerPrefix));
    const [oldest] = this.#holders.keys();
    if (this.#holders.size > this.#options.maxPrefixes && oldest !== undefined) {
      this.#holders.delete(oldest);
    }
  }
}

/** Added to each load so that slowness also matters at idle upstreams. */
const baseCost = 0.1;
const maxSlowness = 10;

/** Load multiplied by how much longer than usual the upstream takes to return first tokens. */
function costOf(upstream: Upstream): number {
  const slowness = Math.min(maxSlowness, Math.max(1, upstream.health.slowness));
  return (estimateLoad(upstream) + baseCost) * slowness;
}
