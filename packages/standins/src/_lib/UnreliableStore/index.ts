/**
 * A store whose writes lose their answers, or come into effect late.
 */
import { RouterError, type Clock, type Random } from '@acaciacrank/base';
import {
  ObjectStore,
  type SnapshotOptions,
  type StoreChanges,
  type StoredObject,
  type StoreSnapshot,
  type WatchOptions,
  type WriteCondition,
  type WriteResult,
} from '@acaciacrank/store';

/** Options of {@link UnreliableStore}. */
export interface UnreliableStoreOptions {
  clock: Clock;
  random: Random;
  /** The share of writes that are done and not answered. */
  lostShare: number;
  /** The share of writes that are not answered and done seconds later, if their condition holds. */
  lateShare: number;
  /** Whether the store is away now. */
  isAway: () => boolean;
}

/** The least and the most by which a late write is late, in milliseconds. */
const lateMs = { least: 1_000, most: 6_000 } as const;

/** One user's view of a store that fails as the users' platform may. */
export class UnreliableStore extends ObjectStore {
  readonly #store: ObjectStore;
  readonly #options: UnreliableStoreOptions;

  constructor(store: ObjectStore, options: UnreliableStoreOptions) {
    super();
    this.#store = store;
    this.#options = options;
  }

  override async read(key: string): Promise<StoredObject | undefined> {
    this.#reach();
    return this.#store.read(key);
  }

  override async write(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<WriteResult> {
    this.#reach();
    const { clock, random, lostShare, lateShare } = this.#options;
    const luck = random();
    if (luck < lateShare) {
      const delayMs = lateMs.least + random() * (lateMs.most - lateMs.least);
      clock.schedule(delayMs, () => void this.#store.write(key, value, condition));
      throw unanswered();
    }
    const result = await this.#store.write(key, value, condition);
    if (luck < lateShare + lostShare) throw unanswered();
    return result;
  }

  override async remove(key: string, version: number): Promise<WriteResult> {
    this.#reach();
    return this.#store.remove(key, version);
  }

  override async snapshot(prefix: string, options?: SnapshotOptions): Promise<StoreSnapshot> {
    this.#reach();
    return this.#store.snapshot(prefix, options);
  }

  override async watch(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
    options?: WatchOptions,
  ): Promise<StoreChanges> {
    this.#reach();
    return this.#store.watch(prefix, sinceRevision, signal, options);
  }

  #reach(): void {
    if (this.#options.isAway()) throw unanswered();
  }
}

function unanswered(): RouterError {
  return new RouterError('storeUnavailable', 'the store did not answer');
}
