import { RouterError } from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import { manifestKey, parseManifest, type Manifest } from '../manifest/index.js';

/**
 * Reads the manifest of an environment.
 *
 * @param store - the platform's object store
 * @param environment - the environment's name
 * @returns its manifest
 * @throws RouterError `notFound` if no document has been accepted yet, `badDocument` if the manifest
 * cannot be read by this release, or `storeUnavailable`
 *
 * @example
 * const { version } = await readManifest(store, 'kapiti');
 */
export async function readManifest(store: ObjectStore, environment: string): Promise<Manifest> {
  const stored = await store.read(manifestKey(environment));
  if (stored !== undefined) return parseManifest(stored.value);
  throw new RouterError('notFound', `no document of ${environment} has been accepted yet`);
}
