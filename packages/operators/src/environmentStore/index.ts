import {
  InstanceList,
  PrefixedObjectStore,
  type ListedInstance,
  type ObjectStore,
} from '@acaciacrank/store';
import { isTrial } from '../trialRuns/index.js';

/**
 * The part of the platform's store that belongs to an environment.
 *
 * Trial and production have the same document, so the same account and budget ids: without a prefix
 * of its own, a request in trial would spend what a customer has prepaid in production.
 *
 * @param store - the platform's store
 * @param environment - for example `kapiti` or `kapiti.trial`
 * @returns the store itself for production, a view of it for trial
 *
 * @example
 * const store = environmentStore(platformStore, settings.environment);
 */
export function environmentStore(store: ObjectStore, environment: string): ObjectStore {
  return isTrial(environment) ? new PrefixedObjectStore(store, `${environment}/`) : store;
}

/**
 * The part of the platform's list that belongs to an environment: entry instances that the list puts
 * in another one are left out, so that production's callers are never sent to an instance of trial.
 *
 * @param list - the platform's list
 * @param environment - for example `kapiti`
 * @returns a view of the list
 *
 * @example
 * const list = environmentList(platformList, settings.environment);
 */
export function environmentList(list: InstanceList, environment: string): InstanceList {
  return new EnvironmentInstanceList(list, environment);
}

class EnvironmentInstanceList extends InstanceList {
  readonly #list: InstanceList;
  readonly #environment: string;

  constructor(list: InstanceList, environment: string) {
    super();
    this.#list = list;
    this.#environment = environment;
  }

  override async read(): Promise<readonly ListedInstance[]> {
    const listed = await this.#list.read();
    return listed.filter(
      ({ environment = this.#environment }) => environment === this.#environment,
    );
  }
}
