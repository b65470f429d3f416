import type { InstanceId } from '@acaciacrank/base';
import { rankByKey } from '@acaciacrank/routing';

/** Number of instances of a failure domain that watch the store for the others. */
const relaysPerDomain = 2;
/** In a failure domain with fewer instances all of them watch the store: relaying would save little. */
const minDomainSize = 6;

/**
 * Chooses the instances that watch the store for a failure domain. All instances with the same view of it
 * choose the same ones.
 *
 * @param instances - the live instances of the failure domain
 * @returns none if each instance is to watch the store itself
 *
 * @example
 * chooseRelays(fleet.liveInDomain).includes(self);
 */
export function chooseRelays(instances: readonly InstanceId[]): readonly InstanceId[] {
  if (instances.length < minDomainSize) return [];
  const ranked = rankByKey(
    'store relay',
    instances.map((id) => ({ id })),
  );
  return ranked.slice(0, relaysPerDomain).map(({ id }) => id);
}
