import { RouterError } from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import { manifestKey, parseManifest, type Manifest } from '../manifest/index.js';

/**
 * Reads what is in force.
 *
 * @param store - the platform's store
 * @param environment - the environment
 * @returns its manifest
 * @throws RouterError `notFound` when no document was accepted yet, `badDocument` or
 * `storeUnavailable`
 *
 * @example
 * const { version } = await readManifest(store, 'kapiti');
 */
export async function readManifest(store: ObjectStore, environment: string): Promise<Manifest> {
  const stored = await store.read(manifestKey(environment));
  if (stored !== undefined) return parseManifest(stored.value);
  throw new RouterError('notFound', `no document of ${environment} has been accepted yet`);
}
