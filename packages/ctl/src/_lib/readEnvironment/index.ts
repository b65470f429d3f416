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

/** An environment as the store has it. */
export interface StoredEnvironment {
  readonly store: ObjectStore;
  readonly manifest: Manifest;
  readonly index: EnvironmentIndex;
}

/** Reads an environment whole. */
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

/** Reads what is in force; undefined when nothing was accepted yet. */
export async function readInForce(
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

/** Finds a budget by its id, which is unique in an environment. */
export function findBudget(index: EnvironmentIndex, id: string): BudgetEntry {
  const budgetId = parseId<BudgetId>(id, 'budget');
  for (const budget of index.budgets()) if (budget.budgetId === budgetId) return budget;
  throw new RouterError('notFound', `no client account has the budget ${budgetId}`);
}

/** A document file, checked. */
export interface DocumentFile {
  readonly text: string;
  readonly document: EnvironmentDocument;
}

/** Reads and checks a document file. */
export function readDocumentFile(path: string): DocumentFile {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    throw new RouterError('badRequest', `${path} cannot be read`, { cause: error as Error });
  }
  return { text, document: parseEnvironment(text, path) };
}
