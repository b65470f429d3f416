import type { InstanceId } from '@acaciacrank/base';

/**
 * Number of messages that carry one changed record, about one to each neighbour. A peer that misses
 * them all receives the record when the two compare their views.
 */
const sendsPerUpdate = 8;

/**
 * Members whose changed records are piggybacked on the next messages, the least sent ones first.
 */
export class UpdateQueue {
  readonly #remaining = new Map<InstanceId, number>();

  /** Number of members with a changed record still to be sent. */
  get size(): number {
    return this.#remaining.size;
  }

  /** Marks a member's record as changed. */
  add(id: InstanceId): void {
    this.#remaining.set(id, sendsPerUpdate);
  }

  /**
   * Takes the members whose records go into the next message, and counts the send for each.
   *
   * @param count - maximum number of members
   */
  take(count: number): InstanceId[] {
    const taken = [...this.#remaining]
      .sort(([, a], [, b]) => b - a)
      .slice(0, count)
      .map(([id]) => id);
    for (const id of taken) this.#countSend(id);
    return taken;
  }

  #countSend(id: InstanceId): void {
    const remaining = (this.#remaining.get(id) ?? 0) - 1;
    if (remaining > 0) this.#remaining.set(id, remaining);
    else this.#remaining.delete(id);
  }
}
