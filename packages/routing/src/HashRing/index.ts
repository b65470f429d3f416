import { hashText } from '@acaciacrank/base';
import type { Identified } from '../rankByKey/index.js';

interface Position<Item> {
  readonly hash: number;
  readonly item: Item;
}

/**
 * Items in the order of the hashes of their ids, from which a few neighbours are taken for a key.
 *
 * Guards against a decision that costs more the more upstreams there are: of thousands, only those next to a
 * key are looked at. All instances take the same ones, and an item that is added or removed changes the
 * choice only next to it.
 *
 * @example
 * new HashRing(engines).neighbours('5c1e07a2', 64);
 */
export class HashRing<Item extends Identified> {
  readonly items: readonly Item[];
  readonly #positions: readonly Position<Item>[];

  constructor(items: readonly Item[]) {
    this.items = items;
    this.#positions = items
      .map((item) => ({ hash: hashText(item.id), item }))
      .sort((a, b) => a.hash - b.hash || (a.item.id < b.item.id ? -1 : 1));
  }

  /**
   * Returns the items that follow a key.
   *
   * @param key - the key; the same one gives the same items
   * @param count - how many items are returned at most
   * @returns all items, in any order, if there are no more than that
   */
  neighbours(key: string, count: number): readonly Item[] {
    const positions = this.#positions;
    if (positions.length <= count) return this.items;
    const first = this.#findFirst(hashText(key));
    const end = first + count;
    const chosen = positions.slice(first, end);
    if (end > positions.length) chosen.push(...positions.slice(0, end - positions.length));
    return chosen.map(({ item }) => item);
  }

  /** Index of the first position at or after a hash. */
  #findFirst(hash: number): number {
    let low = 0;
    let high = this.#positions.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#positions[middle]?.hash ?? 0) < hash) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
