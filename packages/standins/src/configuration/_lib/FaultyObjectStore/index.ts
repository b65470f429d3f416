import { RouterError } from '@acaciacrank/base';
import {
  ObjectStore,
  type StoreChanges,
  type StoreEpochs,
  type StoreSnapshot,
  type StoredObject,
  type WriteCondition,
  type WriteResult,
} from '@acaciacrank/store';

/** Faults of one client's connection to the store; each applies until it is reset. */
export interface StoreFaults {
  /** Every call fails. */
  isDown: boolean;
  /** Reads return the value that was read before, as a stale cache does. */
  isStale: boolean;
  /** Watches hang: they neither return nor fail. */
  isWatchSilent: boolean;
  /** Reads hang: they neither return nor fail. */
  isReadSilent: boolean;
  /** Runs before a write reaches the store. */
  beforeWrite: ((key: string) => void | Promise<void>) | undefined;
  /** Runs before a snapshot reaches the store. */
  beforeSnapshot: (() => Promise<void>) | undefined;
  /** Runs before a removal reaches the store. */
  beforeRemove: (() => Promise<void>) | undefined;
  /** The next write of a manifest takes effect, this runs, and the response is lost. */
  afterLostResponse: (() => void | Promise<void>) | undefined;
}

/** An object store with fault injection, for one instance or operator. */
export class FaultyObjectStore extends ObjectStore {
  readonly faults: StoreFaults = {
    isDown: false,
    isStale: false,
    isWatchSilent: false,
    isReadSilent: false,
    beforeWrite: undefined,
    beforeSnapshot: undefined,
    beforeRemove: undefined,
    afterLostResponse: undefined,
  };
  /** Total size of the values written, as JSON; counted in UTF-16 code units. */
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

  override get epochs(): StoreEpochs {
    return this.#store.epochs;
  }

  /** Puts an object into the cache that serves stale reads. */
  addToCache(stored: StoredObject): void {
    this.#cache.set(stored.key, stored);
  }

  override async read(key: string): Promise<StoredObject | undefined> {
    if (this.faults.isReadSilent) await new Promise(() => undefined);
    this.#assertReachable();
    if (this.faults.isStale && this.#cache.has(key)) return this.#cache.get(key);
    const stored = await this.#store.read(key);
    this.#assertReachable();
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
    this.#assertReachable();
    await this.faults.beforeWrite?.(key);
    const result = await this.#store.write(key, value, condition);
    this.writes += 1;
    this.writtenBytes += JSON.stringify(value).length;
    const { afterLostResponse } = this.faults;
    if (afterLostResponse === undefined || !key.endsWith('manifest')) return result;
    this.faults.afterLostResponse = undefined;
    await afterLostResponse();
    throw createUnavailableError();
  }

  override async remove(key: string, version: number): Promise<WriteResult> {
    this.#assertReachable();
    await this.faults.beforeRemove?.();
    return this.#store.remove(key, version);
  }

  override async snapshot(prefix: string): Promise<StoreSnapshot> {
    this.#assertReachable();
    await this.faults.beforeSnapshot?.();
    return this.#store.snapshot(prefix);
  }

  override async watch(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    this.#assertReachable();
    const changes = await this.#store.watch(prefix, sinceRevision, signal);
    if (this.faults.isWatchSilent) await new Promise(() => undefined);
    this.#assertReachable();
    return changes;
  }

  #assertReachable(): void {
    if (this.faults.isDown) throw createUnavailableError();
  }
}

function createUnavailableError(): RouterError {
  return new RouterError('storeUnavailable', 'the platform did not answer');
}
