import { StoreEpochs } from '../StoreEpochs/index.js';
import type {
  SnapshotOptions,
  StoreChanges,
  StoreSnapshot,
  StoredObject,
  WatchOptions,
  WriteCondition,
  WriteResult,
} from '../types.js';

/**
 * The platform's object API: versions, conditional updates and watches.
 *
 * Every method throws RouterError `storeUnavailable` when the store does not respond. A write that
 * throws may still have taken effect, because the response can be lost. Writers must therefore make
 * changes idempotent and read again to learn the outcome, as {@link updateObject} does.
 */
export abstract class ObjectStore {
  readonly #epochs = new StoreEpochs();

  /** The epoch of the store as last reported by it, and every later one; 0 if it reports none. */
  get epochs(): StoreEpochs {
    return this.#epochs;
  }

  /** Reads one object; undefined if it does not exist. */
  abstract read(key: string): Promise<StoredObject | undefined>;

  /** Writes one object if the condition holds. Values are JSON of at most one megabyte. */
  abstract write(key: string, value: unknown, condition: WriteCondition): Promise<WriteResult>;

  /** Removes one object if it has the given version. */
  abstract remove(key: string, version: number): Promise<WriteResult>;

  /** Reads all objects whose key starts with the prefix, and the revision to watch from. */
  abstract snapshot(prefix: string, options?: SnapshotOptions): Promise<StoreSnapshot>;

  /** Reads all objects whose key starts with the prefix, sorted by key. */
  async list(prefix: string): Promise<readonly StoredObject[]> {
    return (await this.snapshot(prefix)).objects;
  }

  /**
   * Waits for changes under a prefix after a revision. A watch counts as one call, however long it
   * waits.
   *
   * @param prefix - prefix of the keys to watch
   * @param sinceRevision - the revision up to which changes are known; 0 for all objects
   * @param signal - ends the wait
   * @param options - whether to respond without waiting
   * @returns the changes after that revision
   * @throws RouterError `historyGone` when the store no longer has the changes after that revision
   */
  abstract watch(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
    options?: WatchOptions,
  ): Promise<StoreChanges>;
}
