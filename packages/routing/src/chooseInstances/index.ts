import { hashText, type AccountId, type FailureDomainId } from '@acaciacrank/base';
import type { ListedInstance } from '@acaciacrank/store';

/** Options of {@link chooseInstances}. */
export interface ChooseInstancesOptions {
  /** Number of instances to return; 2 by default. */
  count?: number;
  /** Failure domain of the caller, if known; an instance in this domain is returned first. */
  nearFailureDomain?: FailureDomainId;
}

/**
 * Chooses the instances that an account's callers should use, in order of preference.
 *
 * Uses rendezvous hashing: removing an instance affects only the accounts that used it, so an
 * account's grants, request keys and cached prefixes stay on few instances. The first instance is the
 * highest-ranked one in the caller's failure domain, if there is one. Each further instance is the
 * highest-ranked one in a failure domain that is not yet covered, as long as there is one, so that an
 * account that loses a failure domain still has an instance it already uses. A result with a higher
 * count begins with the same instances.
 *
 * @param accountId - the client account of the callers
 * @param instances - entry instances, as listed
 * @param options - number of instances and the caller's failure domain
 * @returns live instances only
 *
 * @example
 * chooseInstances(accountId, listed, { count: 2 }).map((instance) => instance.url);
 */
export function chooseInstances(
  accountId: AccountId,
  instances: readonly ListedInstance[],
  options: ChooseInstancesOptions = {},
): ListedInstance[] {
  const { count = 2, nearFailureDomain } = options;
  const score = (instance: ListedInstance) => hashText(`${accountId}\n${instance.id}`);
  const ranked = instances
    .filter((instance) => instance.role === 'entry' && instance.state === 'live')
    .sort((a, b) => score(b) - score(a) || (a.id < b.id ? -1 : 1));
  const chosen: ListedInstance[] = [];
  const nearest = ranked.find((instance) => instance.failureDomain === nearFailureDomain);
  if (nearest !== undefined && count > 0) chosen.push(nearest);
  while (chosen.length < Math.min(count, ranked.length)) {
    const remaining = ranked.filter((instance) => !chosen.includes(instance));
    const next =
      remaining.find((instance) => !sharesFailureDomain(instance, chosen)) ?? remaining[0];
    if (next === undefined) break;
    chosen.push(next);
  }
  return chosen;
}

function sharesFailureDomain(instance: ListedInstance, chosen: readonly ListedInstance[]): boolean {
  return chosen.some(({ failureDomain }) => failureDomain === instance.failureDomain);
}
