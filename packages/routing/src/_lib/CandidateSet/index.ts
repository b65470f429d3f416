/**
 * A set of upstreams with insertion and removal in constant time and access by index.
 */
import type { Upstream } from '../../types.js';

/** An unordered set of upstreams. */
export class CandidateSet {
  readonly #items: Upstream[] = [];
  readonly #indexes = new Map<Upstream, number>();

  /** The members as a live view; do not retain it. */
  get items(): readonly Upstream[] {
    return this.#items;
  }

  add(upstream: Upstream): void {
    if (this.#indexes.has(upstream)) return;
    this.#indexes.set(upstream, this.#items.length);
    this.#items.push(upstream);
  }

  remove(upstream: Upstream): void {
    const index = this.#indexes.get(upstream);
    if (index === undefined) return;
    this.#indexes.delete(upstream);
    const last = this.#items.pop();
    if (last === undefined || last === upstream) return;
    this.#items[index] = last;
    this.#indexes.set(last, index);
  }
}
