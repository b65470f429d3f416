import type { Clock, FailureDomainId, Random } from '@acaciacrank/base';
import { ObjectFollower, type ObjectStore } from '@acaciacrank/store';
import type { DomainDrains } from '../../DomainDrains/index.js';
import { maxFollowerRetryMs } from '../limits/index.js';

/** Options of {@link createDrainFollower}. */
export interface CreateDrainFollowerOptions {
  store: ObjectStore;
  clock: Clock;
  /** The prefix of the keys that each name a failure domain to drain. */
  prefix: string;
  /** The drains to keep equal to the objects in the store. */
  drains: DomainDrains;
  random: Random;
}

/**
 * Creates the follower that keeps the drained failure domains equal to their objects in the store. The
 * existence of an object is the operator's request; its content may be anything and is ignored.
 *
 * @param options - the store, the prefix and the drains
 * @returns a follower that does not run yet
 *
 * @example
 * void createDrainFollower(options).run();
 */
export function createDrainFollower(options: CreateDrainFollowerOptions): ObjectFollower {
  const { store, clock, prefix, drains, random } = options;
  const domainOf = (key: string) => key.slice(prefix.length) as FailureDomainId;
  return new ObjectFollower({
    store,
    clock,
    random,
    prefix,
    maxRetryMs: maxFollowerRetryMs,
    onSnapshot: ({ objects }) => {
      drains.replaceAll(objects.map(({ key }) => domainOf(key)));
    },
    onChange: ({ key, object }) => {
      if (object === undefined) drains.remove(domainOf(key));
      else drains.add(domainOf(key));
    },
  });
}
