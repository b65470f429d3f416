import {
  digestText,
  RouterError,
  type AccountId,
  type BudgetId,
  type ClassName,
} from '@acaciacrank/base';
import { compileEnvironment, type CompiledEnvironment } from '../compileEnvironment/index.js';
import {
  accountPath,
  budgetPath,
  findLeaf,
  keyPath,
  leavesOf,
  type TreeNode,
} from '../configurationTree/index.js';
import type {
  ClassDocument,
  EngineServiceDocument,
  EnvironmentDocument,
  PlainServiceDocument,
} from '../environmentSchema/index.js';
import type { EnvironmentSettings } from '../types.js';

/** A budget and its account. */
export interface BudgetEntry {
  readonly accountId: AccountId;
  readonly budgetId: BudgetId;
  readonly openingTokens: number;
}

/** A class and its priority; 0 is the highest. */
export interface ClassEntry extends ClassDocument {
  readonly priority: number;
}

/**
 * Lookups in an accepted document, for the request path.
 *
 * Accounts and budgets stay in the trees in which they were loaded. A lookup descends a path of
 * bounded length regardless of the number of budgets, and a new version shares all unchanged nodes
 * with the previous one, so a change to an environment with 580,000 budgets does not require all of
 * them to be indexed again.
 */
export class EnvironmentIndex {
  readonly settings: EnvironmentSettings;
  readonly #accounts: TreeNode;
  readonly #keys: TreeNode;
  readonly #engines = new Map<string, EngineServiceDocument>();
  readonly #plain = new Map<string, PlainServiceDocument>();
  readonly #classes = new Map<string, ClassEntry>();

  constructor(compiled: CompiledEnvironment) {
    this.settings = compiled.settings;
    this.#accounts = compiled.accounts;
    this.#keys = compiled.keys;
    for (const service of this.settings.services) this.#addService(service);
    for (const [priority, entry] of this.settings.classes.entries()) {
      this.#classes.set(entry.name, { ...entry, priority });
    }
  }

  /**
   * Indexes a document that has not been accepted, for validation and tests.
   *
   * @example
   * EnvironmentIndex.fromDocument(parseEnvironment(text)).classOf(undefined).name;
   * //=> 'tagging'
   */
  static fromDocument(document: EnvironmentDocument): EnvironmentIndex {
    return new EnvironmentIndex(compileEnvironment(document));
  }

  /**
   * Finds the account that a key belongs to.
   *
   * The lookup uses the digest of the key, so that its duration does not reveal how much of a guessed
   * key is correct (timing attack).
   *
   * @throws RouterError `unauthenticated` if the key is unknown or undefined
   */
  accountOfKey(key: string | undefined): AccountId {
    const digest = key === undefined ? '' : digestText(key);
    const accountId = findLeaf(this.#keys, keyPath(digest))?.keys.get(digest);
    if (accountId !== undefined) return accountId as AccountId;
    throw new RouterError('unauthenticated', 'the key belongs to no client account');
  }

  /**
   * Finds a budget of an account.
   *
   * @throws RouterError `notFound`, also if the budget belongs to another account
   */
  budgetOf(accountId: AccountId, budgetId: string): BudgetEntry {
    const leaf = findLeaf(this.#accounts, budgetPath(accountId, budgetId));
    const openingTokens = leaf?.accounts.get(accountId)?.budgets.get(budgetId);
    if (openingTokens !== undefined) {
      return { accountId, budgetId: budgetId as BudgetId, openingTokens };
    }
    throw new RouterError('notFound', `the account has no budget ${budgetId}`);
  }

  /**
   * Finds the service that provides a model.
   *
   * @throws RouterError `notFound` if there is none
   */
  engineServiceOf(model: string): EngineServiceDocument {
    const service = this.#engines.get(model);
    if (service !== undefined) return service;
    throw new RouterError('notFound', `no service has the model ${model}`);
  }

  /** @throws RouterError `notFound` if there is no plain service of this name */
  plainServiceOf(name: string): PlainServiceDocument {
    const service = this.#plain.get(name);
    if (service !== undefined) return service;
    throw new RouterError('notFound', `there is no plain service ${name}`);
  }

  /**
   * Finds a class by name; the class with the lowest priority if no name is given.
   *
   * @throws RouterError `notFound` if there is no class of this name
   */
  classOf(name: ClassName | undefined): ClassEntry {
    const last = this.settings.classes.at(-1)?.name;
    const entry = this.#classes.get(name ?? last ?? '');
    if (entry !== undefined) return entry;
    throw new RouterError('notFound', `there is no class ${name ?? '(none)'}`);
  }

  /** The `weighs` setting of an account, or that of the environment if the account has none. */
  weighsOf(accountId: AccountId): EnvironmentSettings['weighs'] {
    const leaf = findLeaf(this.#accounts, accountPath(accountId));
    return leaf?.accounts.get(accountId)?.head?.weighs ?? this.settings.weighs;
  }

  /** Yields all budgets. Reads the whole tree: for operator commands, not for the request path. */
  *budgets(): Generator<BudgetEntry> {
    for (const leaf of leavesOf(this.#accounts)) {
      for (const [accountId, { budgets }] of leaf.accounts) {
        for (const [budgetId, openingTokens] of budgets) {
          yield {
            accountId: accountId as AccountId,
            budgetId: budgetId as BudgetId,
            openingTokens,
          };
        }
      }
    }
  }

  #addService(service: EnvironmentSettings['services'][number]): void {
    if (service.kind === 'plain') this.#plain.set(service.name, service);
    else for (const model of service.models) this.#engines.set(model, service);
  }
}
