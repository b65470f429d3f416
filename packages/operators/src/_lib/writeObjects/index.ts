import type { Clock } from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import type { CompiledEnvironment } from '../../compileEnvironment/index.js';
import { objectKey, type ConfigurationObjects } from '../../ConfigurationObjects/index.js';
import { parseNode, type TreeNode } from '../../configurationTree/index.js';
import type { ConfigurationRoot } from '../../types.js';

/** One object to write. */
export interface ObjectToWrite {
  readonly digest: string;
  readonly text: string;
}

const maxConcurrentWrites = 16;

/**
 * Finds the objects of a document that are not part of the version in force.
 *
 * An object that is part of an older version only is included and thus written again: the garbage
 * collector may be about to remove it, but never removes an object that was written recently.
 *
 * @param compiled - the compiled document
 * @param inForce - digests of the root objects of the version in force; undefined if there is none
 * @param source - source of the objects of the version in force
 * @returns the objects to write
 */
export async function findMissingObjects(
  compiled: CompiledEnvironment,
  inForce: ConfigurationRoot | undefined,
  source: ConfigurationObjects,
): Promise<ObjectToWrite[]> {
  const missing: ObjectToWrite[] = [];
  if (compiled.root.settings !== inForce?.settings) {
    missing.push({ digest: compiled.root.settings, text: compiled.settingsText });
  }
  await addMissing(compiled.accounts, inForce?.accounts, source, missing);
  await addMissing(compiled.keys, inForce?.keys, source, missing);
  return missing;
}

async function addMissing(
  node: TreeNode,
  currentDigest: string | undefined,
  source: ConfigurationObjects,
  missing: ObjectToWrite[],
): Promise<void> {
  if (node.digest === currentDigest) return;
  missing.push({ digest: node.digest, text: node.text });
  if (node.kind === 'leaf') return;
  const currentText = currentDigest === undefined ? undefined : await source.read(currentDigest);
  const currentNode =
    currentDigest === undefined || currentText === undefined
      ? undefined
      : parseNode(currentDigest, currentText);
  const currentChildren =
    currentNode?.kind === 'branch' && currentNode.at === node.at ? currentNode.children : undefined;
  for (const [digit, child] of node.children) {
    await addMissing(child, currentChildren?.get(digit), source, missing);
  }
}

/**
 * Writes objects, with limited concurrency. The objects are content-addressed, so the write is
 * idempotent, and a crash half-way leaves only unreferenced objects behind.
 *
 * @throws RouterError `storeUnavailable`
 */
export async function writeObjects(
  store: ObjectStore,
  clock: Clock,
  environment: string,
  objects: readonly ObjectToWrite[],
): Promise<void> {
  for (let at = 0; at < objects.length; at += maxConcurrentWrites) {
    const writtenAtMs = clock.wallMs();
    await Promise.all(
      objects
        .slice(at, at + maxConcurrentWrites)
        .map(({ digest, text }) =>
          store.write(objectKey(environment, digest), { writtenAtMs, text }, { kind: 'none' }),
        ),
    );
  }
}
