import { parseId, RouterError, type BudgetId } from '@acaciacrank/base';
import {
  EnvironmentIndex,
  environmentStore,
  loadConfiguration,
  parseEnvironment,
  readManifest,
  StoreConfigurationObjects,
  type BudgetEntry,
  type EnvironmentDocument,
  type Manifest,
} from '@acaciacrank/operators';
import type { ObjectStore } from '@acaciacrank/store';
import { readFileSync } from 'node:fs';
import type { CommandContext } from '../../types.js';

/** An environment's accepted configuration, with the part of the store that holds it. */
export interface StoredEnvironment {
  readonly store: ObjectStore;
  readonly manifest: Manifest;
  readonly index: EnvironmentIndex;
}

/** Reads the full accepted configuration of an environment. */
export async function readEnvironment(
  context: CommandContext,
  environment: string,
): Promise<StoredEnvironment> {
  const store = environmentStore(context.store, environment);
  const manifest = await readManifest(store, environment);
  const source = new StoreConfigurationObjects(store, environment);
  const compiled = await loadConfiguration(source, manifest.root);
  return { store, manifest, index: new EnvironmentIndex(compiled) };
}

/** Reads the manifest of the accepted version; undefined when no document was accepted yet. */
export async function readCurrentManifest(
  context: CommandContext,
  environment: string,
): Promise<Manifest | undefined> {
  try {
    return await readManifest(environmentStore(context.store, environment), environment);
  } catch (error) {
    if (error instanceof RouterError && error.kind === 'notFound') return undefined;
    throw error;
  }
}

/**
 * Finds a budget by its id, which is unique within an environment.
 *
 * @throws RouterError `notFound`, or `badRequest` when the id is not valid
 */
export function findBudget(index: EnvironmentIndex, id: string): BudgetEntry {
  const budgetId = parseId<BudgetId>(id, 'budget');
  for (const budget of index.budgets()) if (budget.budgetId === budgetId) return budget;
  throw new RouterError('notFound', `no client account has the budget ${budgetId}`);
}

/** The text of a document file and the document parsed from it. */
export interface DocumentFile {
  readonly text: string;
  readonly document: EnvironmentDocument;
}

/**
 * Reads, parses and validates a document file.
 *
 * @throws RouterError `badRequest` when the file cannot be read, `badDocument` when it is not valid
 */
export function readDocumentFile(path: string): DocumentFile {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    throw new RouterError('badRequest', `${path} cannot be read`, { cause: error as Error });
  }
  return { text, document: parseEnvironment(text, path) };
}
