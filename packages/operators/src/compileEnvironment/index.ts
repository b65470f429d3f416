import { RouterError } from '@acaciacrank/base';
import {
  accountPath,
  budgetPath,
  buildTree,
  keyPath,
  nodesOf,
  objectDigest,
  type TreeEntry,
  type TreeNode,
} from '../configurationTree/index.js';
import type { EnvironmentDocument } from '../environmentSchema/index.js';
import type { ConfigurationRoot, EnvironmentSettings } from '../types.js';

/** Maximum size of the compiled settings (classes and services) of a document, in bytes. */
export const maxSettingsBytes = 262_144;

/** A document split into small content-addressed objects. */
export interface CompiledEnvironment {
  readonly settings: EnvironmentSettings;
  readonly settingsText: string;
  readonly accounts: TreeNode;
  readonly keys: TreeNode;
  readonly root: ConfigurationRoot;
}

/** Options of {@link compileEnvironment}. */
export interface CompileEnvironmentOptions {
  /** Maximum size of a tree leaf in bytes; must be the same for all writers of an environment. */
  leafBytes?: number;
}

/**
 * Compiles a document into small content-addressed objects. Compilation is deterministic: equal
 * documents produce equal objects.
 *
 * @param document - a validated document
 * @param options - leaf size, for measurements
 * @returns the objects and the digests of their roots
 * @throws RouterError `badDocument` if the classes and services are too large
 *
 * @example
 * const { root } = compileEnvironment(parseEnvironment(text));
 */
export function compileEnvironment(
  document: EnvironmentDocument,
  options: CompileEnvironmentOptions = {},
): CompiledEnvironment {
  const { environment, weighs, classes, services } = document;
  const settings: EnvironmentSettings = { environment, weighs, classes, services };
  const settingsText = JSON.stringify(settings);
  if (settingsText.length > maxSettingsBytes) {
    throw new RouterError(
      'badDocument',
      `classes and services take ${settingsText.length} bytes: the maximum is ${maxSettingsBytes}`,
    );
  }
  const accounts = buildTree(document.accounts.flatMap(accountEntries), options.leafBytes);
  const keys = buildTree(document.accounts.flatMap(keyEntries), options.leafBytes);
  return {
    settings,
    settingsText,
    accounts,
    keys,
    root: {
      settings: objectDigest(settingsText),
      accounts: accounts.digest,
      keys: keys.digest,
    },
  };
}

/** Yields every object of a compiled document with its digest. */
export function* objectsOf(
  compiled: CompiledEnvironment,
): Generator<{ readonly digest: string; readonly text: string }> {
  yield { digest: compiled.root.settings, text: compiled.settingsText };
  yield* nodesOf(compiled.accounts);
  yield* nodesOf(compiled.keys);
}

function accountEntries(account: EnvironmentDocument['accounts'][number]): TreeEntry[] {
  const { id, keyDigests, weighs } = account;
  const head = { keyDigests, ...(weighs === undefined ? {} : { weighs }) };
  return [
    { kind: 'head', path: accountPath(id), id, head },
    ...account.budgets.map((budget): TreeEntry => {
      const { id: budgetId, openingTokens } = budget;
      return { kind: 'budget', path: budgetPath(id, budgetId), id, budgetId, openingTokens };
    }),
  ];
}

function keyEntries({ id, keyDigests }: EnvironmentDocument['accounts'][number]): TreeEntry[] {
  return keyDigests.map((digest) => ({ kind: 'key', path: keyPath(digest), id, digest }));
}
