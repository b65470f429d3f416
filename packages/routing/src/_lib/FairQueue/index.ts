/**
 * A fair queue across client accounts.
 */
import type { AccountId } from '@acaciacrank/base';

/** An item that can wait in a {@link FairQueue}. */
export interface QueueItem {
  readonly accountId: AccountId;
}

interface AccountQueue<Item> {
  readonly items: Item[];
  /** Start tag of the account's next item; the lowest tag is served next, which increments it by one. */
  startTag: number;
}

/**
 * Serves accounts in turn and each account's items in order of arrival (start-time fair queuing).
 *
 * Prevents a busy account from starving the other accounts of its class: in a single FIFO queue, the
 * only request of a quiet account would wait behind all requests of the busy one.
 */
export class FairQueue<Item extends QueueItem> {
  readonly #accounts = new Map<AccountId, AccountQueue<Item>>();
  #virtualTime = 0;
  #size = 0;

  /** Number of waiting items. */
  get size(): number {
    return this.#size;
  }

  push(item: Item): void {
    const account = this.#accounts.get(item.accountId) ?? {
      items: [],
      startTag: this.#virtualTime,
    };
    account.items.push(item);
    this.#accounts.set(item.accountId, account);
    this.#size += 1;
  }

  /** Removes and returns the next item. */
  shift(): Item | undefined {
    let next: AccountQueue<Item> | undefined;
    for (const account of this.#accounts.values()) {
      if (next === undefined || account.startTag < next.startTag) next = account;
    }
    const item = next?.items.shift();
    if (next === undefined || item === undefined) return undefined;
    this.#virtualTime = next.startTag;
    next.startTag += 1;
    this.#onItemRemoved(item);
    return item;
  }

  /** Removes an item from any position. */
  remove(item: Item): void {
    const items = this.#accounts.get(item.accountId)?.items;
    const index = items?.indexOf(item) ?? -1;
    if (index < 0) return;
    items?.splice(index, 1);
    this.#onItemRemoved(item);
  }

  /** Counts the items that would be served before a new item of this account. */
  countAhead(accountId: AccountId): number {
    const own = this.#accounts.get(accountId);
    const startTag = (own?.startTag ?? this.#virtualTime) + (own?.items.length ?? 0);
    let count = 0;
    for (const other of this.#accounts.values()) {
      const aheadInAccount = Math.floor(startTag - other.startTag) + 1;
      count += Math.min(other.items.length, Math.max(0, aheadInAccount));
    }
    return count;
  }

  /** Returns all items in the order in which they would be served. */
  inOrder(): Item[] {
    return [...this.#accounts.values()]
      .flatMap(({ items, startTag }) =>
        items.map((item, index) => ({ item, startTag: startTag + index })),
      )
      .sort((a, b) => a.startTag - b.startTag)
      .map(({ item }) => item);
  }

  /** Returns the newest item of the account with the most waiting items. */
  newestOfLongestQueue(): Item | undefined {
    let longest: Item[] = [];
    for (const { items } of this.#accounts.values()) {
      if (items.length > longest.length) longest = items;
    }
    return longest.at(-1);
  }

  #onItemRemoved(item: Item): void {
    this.#size -= 1;
    const account = this.#accounts.get(item.accountId);
    if (account?.items.length === 0) this.#accounts.delete(item.accountId);
  }
}
