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
  /** Makes the choice object of one instance. */
  readonly createChoice: () => UpstreamSelector;
  /** Limits and ejection that go with it. */
  readonly registry: (random: Random) => Pick<UpstreamRegistryOptions, 'createLimit' | 'outliers'>;
}

type CreateChoice = ComparedPolicy['createChoice'];

/** A choice alone: each instance has an even share of all places, and nothing is ejected. */
function alone(name: string, createChoice: CreateChoice): ComparedPolicy {
  const registry = () => ({
    createLimit: () => new EvenShareLimit(),
    outliers: { maxEjectedFraction: 0 },
  });
  return { name, isDefault: false, createChoice, registry };
}

/** A choice with the limits that adapt and the ejection that an instance has by default. */
function guarded(name: string, createChoice: CreateChoice, isDefault = false): ComparedPolicy {
  const registry = (random: Random) => ({ outliers: { random } });
  return { name, isDefault, createChoice, registry };
}

/**
 * All compared policies: each choice with the default's limits and ejection, and round robin without
 * them, so that the worth of each part shows.
 */
export const comparedPolicies: readonly ComparedPolicy[] = [
  alone('roundRobinAlone', () => new RoundRobin()),
  guarded('roundRobin', () => new RoundRobin()),
  guarded('leastReportedLoad', () => new LeastReportedLoad()),
  guarded('leastInFlight', () => new LeastInFlight()),
  guarded('prefixAffinity', () => new PrefixAffinity(), true),
];
