/**
 * An object store with fault injection: lost responses, delayed writes and outages.
 */
import { RouterError, type Clock, type Random } from '@acaciacrank/base';
import {
  ObjectStore,
  type SnapshotOptions,
  type StoreChanges,
  type StoreEpochs,
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
  /** Probability that a write takes effect but its response is lost. */
  lostResponseProbability: number;
  /**
   * Probability that a write fails without a response and is applied seconds later, if its condition
   * still holds then.
   */
  delayedWriteProbability: number;
  /** Whether every call fails at present. */
  isUnavailable: () => boolean;
  /** Executes a delayed write at the platform itself, where the client can no longer stop it. */
  executeLate: (key: string, value: unknown, condition: WriteCondition) => void;
}

/** Range of the delay of a delayed write, in milliseconds. */
const writeDelayMs = { min: 1_000, max: 6_000 } as const;

/** One client's connection to a store that fails as the production platform may. */
export class UnreliableStore extends ObjectStore {
  readonly #store: ObjectStore;
  readonly #options: UnreliableStoreOptions;

  constructor(store: ObjectStore, options: UnreliableStoreOptions) {
    super();
    this.#store = store;
    this.#options = options;
  }

  override get epochs(): StoreEpochs {
    return this.#store.epochs;
  }

  override async read(key: string): Promise<StoredObject | undefined> {
    this.#assertAvailable();
    return this.#store.read(key);
  }

  override async write(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<WriteResult> {
    this.#assertAvailable();
    const { clock, random, lostResponseProbability, delayedWriteProbability, executeLate } =
      this.#options;
    const draw = random();
    if (draw < delayedWriteProbability) {
      const delayMs = writeDelayMs.min + random() * (writeDelayMs.max - writeDelayMs.min);
      clock.schedule(delayMs, () => {
        executeLate(key, value, condition);
      });
      throw createNoResponseError();
    }
    const result = await this.#store.write(key, value, condition);
    if (draw < delayedWriteProbability + lostResponseProbability) throw createNoResponseError();
    return result;
  }

  override async remove(key: string, version: number): Promise<WriteResult> {
    this.#assertAvailable();
    return this.#store.remove(key, version);
  }

  override async snapshot(prefix: string, options?: SnapshotOptions): Promise<StoreSnapshot> {
    this.#assertAvailable();
    return this.#store.snapshot(prefix, options);
  }

  override async watch(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
    options?: WatchOptions,
  ): Promise<StoreChanges> {
    this.#assertAvailable();
    return this.#store.watch(prefix, sinceRevision, signal, options);
  }

  #assertAvailable(): void {
    if (this.#options.isUnavailable()) throw createNoResponseError();
  }
}

function createNoResponseError(): RouterError {
  return new RouterError('storeUnavailable', 'the store did not answer');
}
