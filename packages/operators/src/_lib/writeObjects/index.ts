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

const maxWritesAtOnce = 16;

/**
 * The objects of a document that the version in force does not have.
 *
 * An object that only an older version has is written again: the collection of garbage may be about
 * to remove it, and leaves alone what was written lately.
 *
 * @param compiled - the document
 * @param inForce - where the version in force begins
 * @param source - reads the objects of the version in force
 */
export async function missingObjects(
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
  old: string | undefined,
  source: ConfigurationObjects,
  missing: ObjectToWrite[],
): Promise<void> {
  if (node.digest === old) return;
  missing.push({ digest: node.digest, text: node.text });
  if (node.kind === 'leaf') return;
  const oldText = old === undefined ? undefined : await source.read(old);
  const oldNode = old === undefined || oldText === undefined ? undefined : parseNode(old, oldText);
  const oldChildren =
    oldNode?.kind === 'branch' && oldNode.at === node.at ? oldNode.children : undefined;
  for (const [digit, child] of node.children) {
    await addMissing(child, oldChildren?.get(digit), source, missing);
  }
}

/**
 * Writes objects, some at once. Each has the digest of its text as its name, so writing one twice
 * changes nothing, and a crash half-way leaves objects that nothing refers to.
 *
 * @throws RouterError `storeUnavailable`
 */
export async function writeObjects(
  store: ObjectStore,
  clock: Clock,
  environment: string,
  objects: readonly ObjectToWrite[],
): Promise<void> {
  for (let at = 0; at < objects.length; at += maxWritesAtOnce) {
    const writtenAtMs = clock.wallMs();
    await Promise.all(
      objects
        .slice(at, at + maxWritesAtOnce)
        .map(({ digest, text }) =>
          store.write(objectKey(environment, digest), { writtenAtMs, text }, { kind: 'none' }),
        ),
    );
  }
}
