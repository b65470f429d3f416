import { millisecondsInHour, RouterError, type Clock } from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import { objectsOf, type CompiledEnvironment } from '../compileEnvironment/index.js';
import {
  objectKey,
  storedObjectSchema,
  StoreConfigurationObjects,
  type ConfigurationObjects,
} from '../ConfigurationObjects/index.js';
import { parseNode } from '../configurationTree/index.js';
import { versionsOf, type Manifest } from '../manifest/index.js';

/** Minimum age of an object before it may be removed, in milliseconds. */
export const garbageGraceMs = millisecondsInHour;

/** Maximum number of objects removed per run. */
export const maxRemovalsPerRun = 64;

/** Approximate number of objects examined per run. */
const targetObjectsPerRun = 32;

/**
 * Removes objects that no version in the manifest refers to. Such objects come from versions too old
 * to roll back to, and from acceptances that never came into force.
 *
 * Each run examines the objects with one digest prefix, which changes with the manifest version, and
 * removes a limited number of them. An acceptance in progress may be about to refer to an object
 * that is unreferenced so far. It rewrites every object that the version in force lacks. Either the
 * listed object is then too new to be removed, or its version changes after the listing and the
 * conditional removal fails, so the object is kept in both cases.
 *
 * A RouterError ends the run and is not thrown: a later run finds the same garbage again.
 *
 * @param store - the platform's object store
 * @param clock - used to determine the age of objects
 * @param manifest - the manifest in force
 * @param compiled - the compiled document of the version in force
 * @returns the number of removed objects
 *
 * @example
 * const removed = await collectGarbage(store, clock, manifest, compiled);
 */
export async function collectGarbage(
  store: ObjectStore,
  clock: Clock,
  manifest: Manifest,
  compiled: CompiledEnvironment,
): Promise<number> {
  // Another writer's version may refer to objects that `compiled` does not contain.
  if (manifest.root.accounts !== compiled.root.accounts) return 0;
  try {
    return await removeGarbage(store, clock, manifest, compiled);
  } catch (error) {
    if (error instanceof RouterError) return 0;
    throw error;
  }
}

async function removeGarbage(
  store: ObjectStore,
  clock: Clock,
  manifest: Manifest,
  compiled: CompiledEnvironment,
): Promise<number> {
  const { environment, version } = manifest;
  const reachable = new Set([...objectsOf(compiled)].map(({ digest }) => digest));
  const digestPrefix = digestPrefixFor(version, reachable.size);
  const listed = await store.list(objectKey(environment, digestPrefix));
  const cutoffMs = clock.wallMs() - garbageGraceMs;
  const candidates = listed.filter(({ key, value }) => {
    const writtenAtMs = storedObjectSchema.safeParse(value).data?.writtenAtMs ?? Infinity;
    return writtenAtMs < cutoffMs && !reachable.has(digestOf(key));
  });
  if (candidates.length === 0) return 0;
  const source = new StoreConfigurationObjects(store, environment);
  for (const { root } of versionsOf(manifest)) {
    reachable.add(root.settings);
    await addReachable(source, root.accounts, reachable);
    await addReachable(source, root.keys, reachable);
  }
  const garbage = candidates.filter(({ key }) => !reachable.has(digestOf(key)));
  let removed = 0;
  for (const object of garbage.slice(0, maxRemovalsPerRun)) {
    const result = await store.remove(object.key, object.version);
    if (result.outcome === 'written') removed += 1;
  }
  return removed;
}

/** Adds the digests of a tree. A digest already in the set was added with all its descendants. */
async function addReachable(
  source: ConfigurationObjects,
  digest: string,
  reachable: Set<string>,
): Promise<void> {
  if (reachable.has(digest)) return;
  const text = await source.read(digest);
  if (text === undefined) return;
  const node = parseNode(digest, text);
  if (node.kind === 'branch') {
    for (const child of node.children.values()) await addReachable(source, child, reachable);
  }
  reachable.add(digest);
}

/** The digest prefix examined in the run for this version; the next version uses the next prefix. */
function digestPrefixFor(version: number, objectCount: number): string {
  const prefixDigits = Math.min(
    2,
    Math.ceil(Math.log(Math.max(1, objectCount / targetObjectsPerRun)) / Math.log(16)),
  );
  if (prefixDigits <= 0) return '';
  return (version % 16 ** prefixDigits).toString(16).padStart(prefixDigits, '0');
}

function digestOf(key: string): string {
  return key.slice(key.lastIndexOf('/') + 1);
}
