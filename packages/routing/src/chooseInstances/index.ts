import { hashText, type AccountId, type FailureDomainId } from '@acaciacrank/base';
import type { ListedInstance } from '@acaciacrank/store';

/** Options of {@link chooseInstances}. */
export interface ChooseInstancesOptions {
  /** How many instances to name. */
  count?: number;
  /** Where the caller is, when it says so; an instance there comes first. */
  nearFailureDomain?: FailureDomainId;
}

/**
 * Chooses the instances that an account's callers should use, the best first.
 *
 * Rendezvous hashing: the answer changes for an account only when one of its instances goes, so its
 * grants, request keys and cached prefixes meet in few places. The first is the account's best in
 * the caller's failure domain, where there is one. Each further one is the best in a domain not
 * named yet, while there are such, so that losing a domain leaves an account with an instance that
 * it knows. An answer with a higher count begins with the same instances.
 *
 * @param accountId - whose callers ask
 * @param instances - entry instances, as listed
 * @param options - how many, and where the caller is
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
  const near = ranked.find((instance) => instance.failureDomain === nearFailureDomain);
  if (near !== undefined && count > 0) chosen.push(near);
  while (chosen.length < Math.min(count, ranked.length)) {
    const rest = ranked.filter((instance) => !chosen.includes(instance));
    const next = rest.find((instance) => !sharesDomain(instance, chosen)) ?? rest[0];
    if (next === undefined) break;
    chosen.push(next);
  }
  return chosen;
}

function sharesDomain(instance: ListedInstance, chosen: readonly ListedInstance[]): boolean {
  return chosen.some(({ failureDomain }) => failureDomain === instance.failureDomain);
}
