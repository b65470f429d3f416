import { millisecondsInHour, RouterError, type Clock } from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import { objectsOf, type CompiledEnvironment } from '../compileEnvironment/index.js';
import {
  objectKey,
  storedTextSchema,
  StoreConfigurationObjects,
  type ConfigurationObjects,
} from '../ConfigurationObjects/index.js';
import { parseNode } from '../configurationTree/index.js';
import { versionsOf, type Manifest } from '../manifest/index.js';

/** How long an object is left alone after it was written, in milliseconds. */
export const garbageGraceMs = millisecondsInHour;

/** How many objects one run removes at most. */
export const maxRemovalsPerRun = 64;

/** About how many objects one run looks at. */
const objectsPerRun = 32;

/**
 * Removes objects that no kept version refers to: those of versions too old to roll back to, and
 * those of acceptances that never came into force.
 *
 * One run looks at one slice of the digests, another slice with each version, and removes a bounded
 * number. An acceptance under way may be about to refer to an object that nothing refers to yet. It
 * writes each object anew that the version in force lacks, so that object is young, or its version
 * has changed and the conditional removal fails: either way it stays.
 *
 * Failures are not passed on: the next run meets the same garbage.
 *
 * @param store - the platform's store
 * @param clock - tells the objects' age
 * @param manifest - what is in force
 * @param compiled - its objects
 * @returns how many objects were removed
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
  // Somebody else's version may refer to more than the objects that are known here.
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
  const kept = new Set([...objectsOf(compiled)].map(({ digest }) => digest));
  const slice = sliceOf(version, kept.size);
  const listed = await store.list(objectKey(environment, slice));
  const oldestMs = clock.wallMs() - garbageGraceMs;
  const candidates = listed.filter(({ key, value }) => {
    const writtenAtMs = storedTextSchema.safeParse(value).data?.writtenAtMs ?? Infinity;
    return writtenAtMs < oldestMs && !kept.has(digestOf(key));
  });
  if (candidates.length === 0) return 0;
  const source = new StoreConfigurationObjects(store, environment);
  for (const { root } of versionsOf(manifest)) {
    kept.add(root.settings);
    await addReachable(source, root.accounts, kept);
    await addReachable(source, root.keys, kept);
  }
  const garbage = candidates.filter(({ key }) => !kept.has(digestOf(key)));
  let removed = 0;
  for (const object of garbage.slice(0, maxRemovalsPerRun)) {
    const result = await store.remove(object.key, object.version);
    if (result.outcome === 'written') removed += 1;
  }
  return removed;
}

/** Adds a tree's digests; what is kept already was added with all below it. */
async function addReachable(
  source: ConfigurationObjects,
  digest: string,
  kept: Set<string>,
): Promise<void> {
  if (kept.has(digest)) return;
  const text = await source.read(digest);
  if (text === undefined) return;
  const node = parseNode(digest, text);
  if (node.kind === 'branch') {
    for (const child of node.children.values()) await addReachable(source, child, kept);
  }
  kept.add(digest);
}

/** The first digits of the digests that this version's run looks at. */
function sliceOf(version: number, objects: number): string {
  const digits = Math.min(
    2,
    Math.ceil(Math.log(Math.max(1, objects / objectsPerRun)) / Math.log(16)),
  );
  if (digits <= 0) return '';
  return (version % 16 ** digits).toString(16).padStart(digits, '0');
}

function digestOf(key: string): string {
  return key.slice(key.lastIndexOf('/') + 1);
}
