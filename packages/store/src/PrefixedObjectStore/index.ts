import { ObjectStore } from '../ObjectStore/index.js';
import type { StoreEpochs } from '../StoreEpochs/index.js';
import type {
  StoreChanges,
  StoreSnapshot,
  StoredObject,
  WriteCondition,
  WriteResult,
} from '../types.js';

/** A view of a store that adds a prefix to all keys, and removes it from the keys it returns. */
export class PrefixedObjectStore extends ObjectStore {
  readonly #store: ObjectStore;
  readonly #prefix: string;

  constructor(store: ObjectStore, prefix: string) {
    super();
    this.#store = store;
    this.#prefix = prefix;
  }

  override get epochs(): StoreEpochs {
    return this.#store.epochs;
  }

  override async read(key: string): Promise<StoredObject | undefined> {
    const stored = await this.#store.read(this.#prefix + key);
    return stored === undefined ? undefined : this.#withoutPrefix(stored);
  }

  override write(key: string, value: unknown, condition: WriteCondition): Promise<WriteResult> {
    return this.#store.write(this.#prefix + key, value, condition);
  }

  override remove(key: string, version: number): Promise<WriteResult> {
    return this.#store.remove(this.#prefix + key, version);
  }

  override async snapshot(prefix: string): Promise<StoreSnapshot> {
    const { objects, revision } = await this.#store.snapshot(this.#prefix + prefix);
    return { objects: objects.map((stored) => this.#withoutPrefix(stored)), revision };
  }

  override async watch(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    const watched = await this.#store.watch(this.#prefix + prefix, sinceRevision, signal);
    const changes = watched.changes.map((change) => ({
      ...change,
      key: this.#stripPrefix(change.key),
      object: change.object === undefined ? undefined : this.#withoutPrefix(change.object),
    }));
    return { changes, revision: watched.revision };
  }

  #withoutPrefix(stored: StoredObject): StoredObject {
    return { ...stored, key: this.#stripPrefix(stored.key) };
  }

  #stripPrefix(key: string): string {
    return key.slice(this.#prefix.length);
  }
}
