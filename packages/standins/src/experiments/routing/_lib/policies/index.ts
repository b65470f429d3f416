/**
 * The policies that the experiment compares.
 */
import type { Random } from '@acaciacrank/base';
import {
  LeastInFlight,
  LeastReportedLoad,
  PrefixAffinity,
  RoundRobin,
  EvenShareLimit,
  type UpstreamSelector,
  type UpstreamRegistryOptions,
} from '@acaciacrank/routing';

/** One policy of the experiment. */
export interface ComparedPolicy {
  readonly name: string;
  readonly isDefault: boolean;
  /** Creates the upstream selector of one instance. */
  readonly createSelector: () => UpstreamSelector;
  /** Concurrency limits and outlier ejection that are used with the selector. */
  readonly registryOptions: (
    random: Random,
  ) => Pick<UpstreamRegistryOptions, 'createLimit' | 'outliers'>;
}

type CreateSelector = ComparedPolicy['createSelector'];

/** A selector with an even share of all slots for each instance, and without outlier ejection. */
function fixedLimitPolicy(name: string, createSelector: CreateSelector): ComparedPolicy {
  const registryOptions = () => ({
    createLimit: () => new EvenShareLimit(),
    outliers: { maxEjectedFraction: 0 },
  });
  return { name, isDefault: false, createSelector, registryOptions };
}

/** A selector with the adaptive limits and the outlier ejection that instances use by default. */
function adaptiveLimitPolicy(
  name: string,
  createSelector: CreateSelector,
  isDefault = false,
): ComparedPolicy {
  const registryOptions = (random: Random) => ({ outliers: { random } });
  return { name, isDefault, createSelector, registryOptions };
}

/**
 * All compared policies: each selector with the default limits and ejection, and round robin also
 * without them, to show what each part contributes.
 */
export const comparedPolicies: readonly ComparedPolicy[] = [
  fixedLimitPolicy('roundRobinAlone', () => new RoundRobin()),
  adaptiveLimitPolicy('roundRobin', () => new RoundRobin()),
  adaptiveLimitPolicy('leastReportedLoad', () => new LeastReportedLoad()),
  adaptiveLimitPolicy('leastInFlight', () => new LeastInFlight()),
  adaptiveLimitPolicy('prefixAffinity', () => new PrefixAffinity(), true),
];
