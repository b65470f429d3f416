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
 * Every method throws RouterError `storeUnavailable` when the store does not answer. A write that
 * throws may still have taken effect: its answer can be lost. Writers therefore make each change
 * idempotent and find out by reading again, as {@link updateObject} does.
 */
export abstract class ObjectStore {
  /** Reads one object; undefined when there is none. */
  abstract read(key: string): Promise<StoredObject | undefined>;

  /** Writes one object when the condition holds. Values are JSON and at most a megabyte. */
  abstract write(key: string, value: unknown, condition: WriteCondition): Promise<WriteResult>;

  /** Removes one object when it has the stated version. */
  abstract remove(key: string, version: number): Promise<WriteResult>;

  /** All objects whose key begins with the prefix, and the revision to watch from. */
  abstract snapshot(prefix: string, options?: SnapshotOptions): Promise<StoreSnapshot>;

  /** All objects whose key begins with the prefix, in order of key. */
  async list(prefix: string): Promise<readonly StoredObject[]> {
    return (await this.snapshot(prefix)).objects;
  }

  /**
   * Waits for changes under a prefix after a revision. One waiting watch counts as one call.
   *
   * @param prefix - which keys
   * @param sinceRevision - the revision up to which changes are known; 0 for all that is there
   * @param signal - ends the wait
   * @param options - whether to wait at all
   * @returns the changes after that revision
   * @throws RouterError `historyGone` when the store no longer knows what followed that revision
   */
  abstract watch(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
    options?: WatchOptions,
  ): Promise<StoreChanges>;
}
