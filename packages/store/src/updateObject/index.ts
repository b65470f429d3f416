import { RouterError, type Clock, type Random } from '@acaciacrank/base';
import type { ObjectStore } from '../ObjectStore/index.js';
import type { StoredObject } from '../types.js';

/** Options of {@link updateObject}. */
export interface UpdateObjectOptions {
  /** How often to read and try before giving up. */
  maxAttempts?: number;
  /** The longest first back-off, in milliseconds; it doubles with each attempt. */
  backOffMs?: number;
  /** Spreads the back-off, so that writers that collided do not collide again. */
  random?: Random;
}

/** What {@link updateObject} leaves behind. */
export interface UpdatedObject<Value> {
  readonly value: Value;
  readonly version: number;
  /** How often a write was tried. */
  readonly attempts: number;
}

const longestBackOffMs = 2_000;

/**
 * Changes one object by reading, applying and writing conditionally, until it holds.
 *
 * The answer to a write can be lost after the write took effect. That shows as an error from
 * `write`; the loop then reads again and applies again, so `apply` must be idempotent: applied to
 * a value that already contains the change, it returns that value unchanged.
 *
 * @param store - the platform's store
 * @param key - the object's key
 * @param clock - measures the back-off
 * @param apply - makes the new value; returning the value it was given means nothing is to be done
 * @param options - bounds
 * @returns the value that is now in the store
 * @throws RouterError `storeUnavailable` when the attempts are used up; the change may have taken effect
 *
 * @example
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
    backOffMs = Math.min(longestBackOffMs, backOffMs * 2);
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
