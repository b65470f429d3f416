import { RouterError, type Clock, type Random } from '@acaciacrank/base';
import type { ObjectStore } from '../ObjectStore/index.js';
import type { StoredObject } from '../types.js';

/** Options of {@link updateObject}. */
export interface UpdateObjectOptions {
  /** Maximum number of attempts, each a read and a write; 8 by default. */
  maxAttempts?: number;
  /**
   * Maximum back-off after the first attempt, in milliseconds; doubles each time; 20 by default.
   */
  backOffMs?: number;
  /** Randomizes the back-off, so that writers that conflicted do not conflict again. */
  random?: Random;
}

/** Result of {@link updateObject}. */
export interface UpdatedObject<Value> {
  readonly value: Value;
  readonly version: number;
  /** Number of attempts made. */
  readonly attempts: number;
}

const maxBackOffMs = 2_000;

/**
 * Updates one object with optimistic concurrency: reads it, applies the change and writes it
 * conditionally, and retries on conflict.
 *
 * The response to a write can be lost after the write took effect. `write` then throws, and the
 * loop reads and applies again, so `apply` must be idempotent: applied to a value that already
 * contains the change, it returns that value unchanged.
 *
 * @param store - the platform's store
 * @param key - the object's key
 * @param clock - measures the back-off
 * @param apply - creates the new value; returning the given value unchanged skips the write
 * @param options - attempts and back-off
 * @returns the value that is now in the store
 * @throws RouterError `storeUnavailable` when the attempts are used up; the change may have taken
 *   effect
 *
 * @example
 * // Creates the counter if it does not exist.
 * await updateObject(store, 'counter', clock, (stored) => (stored?.value as number ?? 0));
 */
export async function updateObject<Value>(
  store: ObjectStore,
  key: string,
  clock: Clock,
  apply: (stored: StoredObject | undefined) => Value,
  options: UpdateObjectOptions = {},
): Promise<UpdatedObject<Value>> {
  const maxAttempts = options.maxAttempts ?? 8;
  const random = options.random ?? Math.random;
  let backOffMs = options.backOffMs ?? 20;
  let lastError: Error | undefined;
  for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
    try {
      const stored = await store.read(key);
      const value = apply(stored);
      if (stored !== undefined && value === stored.value) {
        return { value, version: stored.version, attempts: attempt };
      }
      const result = await store.write(key, value, conditionOf(stored));
      if (result.outcome === 'written')
        return { value, version: result.version, attempts: attempt };
    } catch (error) {
      if (!(error instanceof RouterError) || error.kind !== 'storeUnavailable') throw error;
      lastError = error;
    }
    await clock.sleep(random() * backOffMs);
    backOffMs = Math.min(maxBackOffMs, backOffMs * 2);
  }
  throw new RouterError(
    'storeUnavailable',
    `${key} could not be updated in ${maxAttempts} attempts`,
    {
      ...(lastError === undefined ? {} : { cause: lastError }),
    },
  );
}

function conditionOf(stored: StoredObject | undefined) {
  if (stored === undefined) return { kind: 'absent' } as const;
  return { kind: 'version', version: stored.version } as const;
}
