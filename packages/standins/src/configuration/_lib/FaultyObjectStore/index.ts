import { RouterError } from '@acaciacrank/base';
import {
  ObjectStore,
  type StoreChanges,
  type StoreSnapshot,
  type StoredObject,
  type WriteCondition,
  type WriteResult,
} from '@acaciacrank/store';

/** What can be wrong between one user and the store, call by call. */
export interface StoreFaults {
  /** No call is answered. */
  isDown: boolean;
  /** Reads are answered from what was read before, as a cache does. */
  isStale: boolean;
  /** Waiting watches never return, and never fail. */
  isWatchSilent: boolean;
  /** Reads never return, and never fail. */
  isReadSilent: boolean;
  /** Runs before a write reaches the store. */
  beforeWrite: ((key: string) => void | Promise<void>) | undefined;
  /** Runs before a list and before a removal reaches the store. */
  beforeList: (() => Promise<void>) | undefined;
  beforeRemove: (() => Promise<void>) | undefined;
  /** The next write takes effect, its answer is lost, and then this runs. */
  afterLostAnswer: (() => void | Promise<void>) | undefined;
}

/** A store between an instance or operator and the platform, with faults to set. */
export class FaultyObjectStore extends ObjectStore {
  readonly faults: StoreFaults = {
    isDown: false,
    isStale: false,
    isWatchSilent: false,
    isReadSilent: false,
    beforeWrite: undefined,
    beforeList: undefined,
    beforeRemove: undefined,
    afterLostAnswer: undefined,
  };
  /** Bytes of values that were written, as JSON. */
  writtenBytes = 0;
  writes = 0;
  readBytes = 0;
  reads = 0;
  readonly #store: ObjectStore;
  readonly #cache = new Map<string, StoredObject | undefined>();

  constructor(store: ObjectStore) {
    super();
    this.#store = store;
  }

  /** Puts into the cache what stale reads are answered from. */
  remember(stored: StoredObject): void {
    this.#cache.set(stored.key, stored);
  }

  override async read(key: string): Promise<StoredObject | undefined> {
    if (this.faults.isReadSilent) await new Promise(() => undefined);
    this.#reach();
    if (this.faults.isStale && this.#cache.has(key)) return this.#cache.get(key);
    const stored = await this.#store.read(key);
    this.#reach();
    this.#cache.set(key, stored);
    this.reads += 1;
    this.readBytes += JSON.stringify(stored?.value ?? '').length;
    return stored;
  }

  override async write(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<WriteResult> {
    this.#reach();
    await this.faults.beforeWrite?.(key);
    const result = await this.#store.write(key, value, condition);
    this.writes += 1;
    this.writtenBytes += JSON.stringify(value).length;
    const { afterLostAnswer } = this.faults;
    if (afterLostAnswer === undefined || !key.endsWith('manifest')) return result;
    this.faults.afterLostAnswer = undefined;
    await afterLostAnswer();
    throw unavailable();
  }

  override async remove(key: string, version: number): Promise<WriteResult> {
    this.#reach();
    await this.faults.beforeRemove?.();
    return this.#store.remove(key, version);
  }

  override async snapshot(prefix: string): Promise<StoreSnapshot> {
    this.#reach();
    await this.faults.beforeList?.();
    return this.#store.snapshot(prefix);
  }

  override async watch(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    this.#reach();
    const changes = await this.#store.watch(prefix, sinceRevision, signal);
    if (this.faults.isWatchSilent) await new Promise(() => undefined);
    this.#reach();
    return changes;
  }

  #reach(): void {
    if (this.faults.isDown) throw unavailable();
  }
}

function unavailable(): RouterError {
  return new RouterError('storeUnavailable', 'the platform did not answer');
}
