import { readRequiredObject, type ConfigurationObjects } from '../ConfigurationObjects/index.js';
import {
  leavesOf,
  parseNode,
  TreeLeaf,
  type AccountHead,
  type ParsedNode,
} from '../configurationTree/index.js';
import type { ConfigurationRoot, EnvironmentSettings } from '../types.js';

/** One difference between two accepted documents. */
export interface ConfigurationChange {
  readonly kind: 'added' | 'removed' | 'changed';
  /** The changed element, for example `account wellington budget wellington-2026`. */
  readonly what: string;
  /** The old value as JSON or as text; undefined if the element was added. */
  readonly before?: string | undefined;
  /** The new value as JSON or as text; undefined if the element was removed. */
  readonly after?: string | undefined;
  /** Warns the operator if the change does more or less than one would expect. */
  readonly warning?: string | undefined;
}

/** Printable values by element name: account heads and budgets, or elements of the settings. */
type ConfigurationParts = ReadonlyMap<string, string>;

/**
 * Compares two accepted documents. Subtrees with equal digests are not read.
 *
 * @param source - source of the objects of both documents
 * @param before - root digests of the earlier document; undefined if there is none
 * @param after - root digests of the later document
 * @returns the changes, settings first
 * @throws RouterError `notFound` for a missing object, `badDocument` for a damaged tree node, or the
 * error of the source
 *
 * @example
 * const changes = await diffConfigurations(objects, manifest.root, compiled.root);
 */
export async function diffConfigurations(
  source: ConfigurationObjects,
  before: ConfigurationRoot | undefined,
  after: ConfigurationRoot,
): Promise<ConfigurationChange[]> {
  const settings = compareParts(
    await readSettingsParts(source, before?.settings),
    await readSettingsParts(source, after.settings),
  );
  const accounts = await diffTrees(source, before?.accounts, after.accounts);
  return [...settings, ...accounts].map(addWarning);
}

/**
 * Formats changes for operators, one line per change plus one per warning.
 *
 * @param changes - from {@link diffConfigurations}
 * @param maxLines - maximum number of changes to list; the last line gives the number of the others
 *
 * @example
 * describeChanges(changes);
 * //=> ['+ account porirua {"keyDigests":["…"]}']
 */
export function describeChanges(changes: readonly ConfigurationChange[], maxLines = 40): string[] {
  const signs = { added: '+', removed: '-', changed: '~' } as const;
  const lines = changes
    .slice(0, maxLines)
    .flatMap(({ kind, what, before, after, warning }) => [
      `${signs[kind]} ${what} ${[before, after].filter((side) => side !== undefined).join(' -> ')}`,
      ...(warning === undefined ? [] : [`    note: ${warning}`]),
    ]);
  const unlistedCount = changes.length - maxLines;
  return unlistedCount > 0 ? [...lines, `  and ${unlistedCount} more changes`] : lines;
}

async function readSettingsParts(
  source: ConfigurationObjects,
  digest: string | undefined,
): Promise<ConfigurationParts> {
  if (digest === undefined) return new Map();
  const settings = JSON.parse(await readRequiredObject(source, digest)) as EnvironmentSettings;
  const parts = new Map([
    ['weighs', JSON.stringify(settings.weighs)],
    ['order of classes', JSON.stringify(settings.classes.map(({ name }) => name))],
  ]);
  for (const entry of settings.classes) parts.set(`class ${entry.name}`, JSON.stringify(entry));
  for (const entry of settings.services) parts.set(`service ${entry.name}`, JSON.stringify(entry));
  return parts;
}

/** Walks both trees in parallel and descends only into subtrees whose digests differ. */
async function diffTrees(
  source: ConfigurationObjects,
  before: string | undefined,
  after: string | undefined,
): Promise<ConfigurationChange[]> {
  if (before === after) return [];
  const [beforeNode, afterNode] = await Promise.all([
    readNode(source, before),
    readNode(source, after),
  ]);
  if (
    beforeNode?.kind === 'branch' &&
    afterNode?.kind === 'branch' &&
    beforeNode.at === afterNode.at
  ) {
    const digits = [
      ...new Set([...beforeNode.children.keys(), ...afterNode.children.keys()]),
    ].sort();
    const changes: ConfigurationChange[] = [];
    for (const digit of digits) {
      changes.push(
        ...(await diffTrees(source, beforeNode.children.get(digit), afterNode.children.get(digit))),
      );
    }
    return changes;
  }
  return compareParts(await readTreeParts(source, before), await readTreeParts(source, after));
}

async function readNode(
  source: ConfigurationObjects,
  digest: string | undefined,
): Promise<ParsedNode | undefined> {
  return digest === undefined
    ? undefined
    : parseNode(digest, await readRequiredObject(source, digest));
}

async function readTreeParts(
  source: ConfigurationObjects,
  digest: string | undefined,
  parts = new Map<string, string>(),
): Promise<Map<string, string>> {
  if (digest === undefined) return parts;
  const text = await readRequiredObject(source, digest);
  const node = parseNode(digest, text);
  if (node.kind === 'branch') {
    for (const child of node.children.values()) await readTreeParts(source, child, parts);
    return parts;
  }
  for (const { accounts } of leavesOf(new TreeLeaf(text))) {
    for (const [id, part] of accounts) {
      if (part.head !== undefined) parts.set(`account ${id}`, describeHead(part.head));
      for (const [budgetId, tokens] of part.budgets) {
        parts.set(`account ${id} budget ${budgetId}`, `${tokens} opening tokens`);
      }
    }
  }
  return parts;
}

/** Digests are shortened to eight digits: enough to distinguish two keys, and fits on a line. */
function describeHead({ keyDigests, weighs }: AccountHead): string {
  const keys = keyDigests.map((digest) => `${digest.slice(0, 8)}…`).join(', ');
  return `keys ${keys}${weighs === undefined ? '' : `, weighs ${weighs}`}`;
}

function compareParts(
  before: ConfigurationParts,
  after: ConfigurationParts,
): ConfigurationChange[] {
  const changes: ConfigurationChange[] = [];
  for (const [what, value] of before) {
    const afterValue = after.get(what);
    if (afterValue === undefined) changes.push({ kind: 'removed', what, before: value });
    else if (afterValue !== value)
      changes.push({ kind: 'changed', what, before: value, after: afterValue });
  }
  for (const [what, value] of after) {
    if (!before.has(what)) changes.push({ kind: 'added', what, after: value });
  }
  return changes;
}

function addWarning(change: ConfigurationChange): ConfigurationChange {
  if (!/^account \S+ budget /.test(change.what)) return change;
  if (change.kind === 'changed') {
    return {
      ...change,
      warning:
        'a budget that has already been used keeps its prepaid total; to add tokens, use acaciacrankctl top-up',
    };
  }
  if (change.kind === 'removed') {
    return { ...change, warning: 'the remaining tokens of this budget can no longer be spent' };
  }
  return change;
}
