import {
  InstanceList,
  PrefixedObjectStore,
  type ListedInstance,
  type ObjectStore,
} from '@acaciacrank/store';
import { isTrialEnvironment } from '../trialRuns/index.js';

/**
 * Returns the view of the platform's object store that an environment uses.
 *
 * Trial and production share the same document and therefore the same account and budget ids. Without
 * a separate key prefix, a request in trial would spend tokens prepaid for production.
 *
 * @param store - the platform's object store
 * @param environment - for example `kapiti` or `kapiti.trial`
 * @returns the store itself for production, a view with a key prefix for trial
 *
 * @example
 * const store = environmentStore(platformStore, settings.environment);
 */
export function environmentStore(store: ObjectStore, environment: string): ObjectStore {
  return isTrialEnvironment(environment)
    ? new PrefixedObjectStore(store, `${environment}/`)
    : store;
}

/**
 * Returns a view of the platform's instance list without the instances of other environments, so that
 * production callers are never sent to a trial instance. Instances that are listed without an
 * environment are included.
 *
 * @param list - the platform's instance list
 * @param environment - for example `kapiti`
 * @returns the filtered list
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
