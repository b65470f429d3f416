/**
 * The concurrency slots of one service and the requests that wait for them. Each in-flight request
 * occupies one slot.
 */
import type { AccountId } from '@acaciacrank/base';
import { DecayingRate } from '../DecayingRate/index.js';
import { FairQueue, type QueueItem } from '../FairQueue/index.js';

/** An item that can wait in a {@link ServiceQueue}. */
export interface PrioritizedItem extends QueueItem {
  /** 0 is the most important. */
  readonly priority: number;
}

interface PriorityClass<Item extends PrioritizedItem> {
  readonly priority: number;
  readonly queue: FairQueue<Item>;
  readonly arrivals: DecayingRate;
}

/** Time constant for averaging arrivals and released slots, in milliseconds. */
const rateWindowMs = 2_000;
/** Assumed time for which a slot is held until one has been released, in milliseconds. */
const initialHoldMs = 200;
/** Weight of the latest hold time in the moving average. */
const holdSmoothingFactor = 0.05;
/** Lower bound for the assumed rate of released slots: an upstream that recovers adds slots. */
const minSlotsPerMs = 1 / 5_000;

/**
 * Counts occupied slots, orders waiting items by priority, and predicts their wait.
 *
 * The prediction divides the number of items ahead by the rate at which slots are released, less the
 * arrival rate of higher-priority requests, since each of those will be served first as well.
 */
export class ServiceQueue<Item extends PrioritizedItem> {
  readonly #classes: PriorityClass<Item>[] = [];
  readonly #releases: DecayingRate;
  #meanHoldMs = initialHoldMs;
  /** Since when items have been waiting without interruption; undefined if none is waiting. */
  #waitingSinceMs: number | undefined;
  #taken = 0;
  #waiting = 0;

  constructor(nowMs: number) {
    this.#releases = new DecayingRate(rateWindowMs, nowMs);
  }

  /** Number of occupied slots. */
  get taken(): number {
    return this.#taken;
  }

  /** Number of waiting items. */
  get waiting(): number {
    return this.#waiting;
  }

  takeSlot(): void {
    this.#taken += 1;
  }

  /** Releases a slot that was held for the given time. */
  releaseSlot(heldMs: number, nowMs: number): void {
    this.#taken -= 1;
    this.#releases.record(nowMs);
    this.#meanHoldMs += holdSmoothingFactor * (heldMs - this.#meanHoldMs);
  }

  /** Records an arrival that was not refused. */
  recordArrival(priority: number, nowMs: number): void {
    this.#class(priority, nowMs).arrivals.record(nowMs);
  }

  push(item: Item, nowMs: number): void {
    this.#class(item.priority, nowMs).queue.push(item);
    this.#waiting += 1;
    this.#waitingSinceMs ??= nowMs;
  }

  /** Removes and returns the next item of the highest-priority non-empty class. */
  shift(): Item | undefined {
    const item = this.#classes.find(({ queue }) => queue.size > 0)?.queue.shift();
    if (item !== undefined) this.#onItemRemoved();
    return item;
  }

  remove(item: Item): void {
    const queue = this.#classes.find(({ priority }) => priority === item.priority)?.queue;
    if (queue === undefined) return;
    const { size } = queue;
    queue.remove(item);
    if (queue.size < size) this.#onItemRemoved();
  }

  /**
   * Predicts how long a new item would wait for a slot, in milliseconds.
   *
   * @param limit - the total number of slots
   */
  predictWaitMs(priority: number, accountId: AccountId, limit: number, nowMs: number): number {
    let itemsAhead = 0;
    for (const other of this.#classes) {
      if (other.priority < priority) itemsAhead += other.queue.size;
      if (other.priority === priority) itemsAhead += other.queue.countAhead(accountId);
    }
    return (itemsAhead + 1) / this.#slotsPerMs(priority, limit, nowMs);
  }

  /** Yields all items in the order in which they would be served, each with its predicted wait. */
  *predictWaits(limit: number, nowMs: number): Iterable<{ item: Item; waitMs: number }> {
    let itemsAhead = 0;
    for (const { priority, queue } of [...this.#classes]) {
      const slotsPerMs = this.#slotsPerMs(priority, limit, nowMs);
      for (const item of queue.inOrder()) {
        const sizeBefore = queue.size;
        yield { item, waitMs: (itemsAhead + 1) / slotsPerMs };
        // An item that the consumer has removed meanwhile is no longer ahead of the rest.
        if (queue.size === sizeBefore) itemsAhead += 1;
      }
    }
  }

  /**
   * Returns the item to evict first: in the lowest-priority non-empty class, the newest item of the
   * account with the most waiting items.
   */
  leastImportantItem(): Item | undefined {
    return this.#classes.findLast(({ queue }) => queue.size > 0)?.queue.newestOfLongestQueue();
  }

  #onItemRemoved(): void {
    this.#waiting -= 1;
    if (this.#waiting === 0) this.#waitingSinceMs = undefined;
  }

  /** Rate at which slots become available to a priority. */
  #slotsPerMs(priority: number, limit: number, nowMs: number): number {
    const higherPerMs = this.#classes
      .filter((other) => other.priority < priority)
      .reduce((sum, { arrivals }) => sum + arrivals.perMs(nowMs), 0);
    return Math.max(minSlotsPerMs, this.#releasedSlotsPerMs(limit, nowMs) - higherPerMs);
  }

  /**
   * Until the slots have been fully occupied for a while, the measured release rate reflects demand rather
   * than capacity.
   */
  #releasedSlotsPerMs(limit: number, nowMs: number): number {
    const measuredPerMs = this.#releases.perMs(nowMs);
    const isSaturated =
      this.#waitingSinceMs !== undefined && nowMs - this.#waitingSinceMs > rateWindowMs;
    return isSaturated ? measuredPerMs : Math.max(measuredPerMs, limit / this.#meanHoldMs);
  }

  #class(priority: number, nowMs: number): PriorityClass<Item> {
    const existing = this.#classes.find((other) => other.priority === priority);
    if (existing !== undefined) return existing;
    const arrivals = new DecayingRate(rateWindowMs, nowMs);
    const created: PriorityClass<Item> = { priority, queue: new FairQueue(), arrivals };
    this.#classes.push(created);
    this.#classes.sort((a, b) => a.priority - b.priority);
    return created;
  }
}
