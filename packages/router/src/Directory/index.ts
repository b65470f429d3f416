import {
  millisecondsInSecond,
  type AccountId,
  type Clock,
  type FailureDomainId,
} from '@acaciacrank/base';
import type { DirectoryResponse } from '@acaciacrank/callers';
import type { Member, Membership } from '@acaciacrank/fleet';
import type { ListedInstance } from '@acaciacrank/store';
import { chooseInstances } from '@acaciacrank/routing';
import { AccountDemand } from '../AccountDemand/index.js';

/** Options of {@link Directory}. */
export interface DirectoryOptions {
  clock: Clock;
  membership: Membership;
}

/** How long callers may cache the directory's answer, in milliseconds. */
export const directoryTtlMs = 5 * millisecondsInSecond;
/** Minimum number of instances of an account, so that it can lose one. */
const minInstancesPerAccount = 2;
/** Target for the average number of open requests of one account at one instance. */
const targetOpenRequestsPerInstance = 16;

/**
 * Minimum time between two changes to an account's number of instances, in milliseconds. Callers move
 * to new instances only when their cached answers expire, and the average of open requests follows
 * even later. A shorter interval would count the same load repeatedly and add ever more instances.
 */
const countReviewIntervalMs = 60 * millisecondsInSecond;

interface InstanceCount {
  readonly count: number;
  readonly sinceMs: number;
}

/** Selects the instances that callers of an account should use. */
export class Directory {
  readonly #options: DirectoryOptions;
  readonly #demand: AccountDemand;
  /** Number of instances of each busy account; all other accounts use the minimum. */
  readonly #instanceCounts = new Map<AccountId, InstanceCount>();
  #answerCount = 0;

  constructor(options: DirectoryOptions) {
    this.#options = options;
    this.#demand = new AccountDemand({ clock: options.clock });
  }

  /** Number of instances that accept new requests, including this one. */
  get usableInstanceCount(): number {
    return this.#candidates().length;
  }

  /** The instances that accept new requests, including this one. */
  get usableInstances(): readonly ListedInstance[] {
    return this.#candidates();
  }

  /** Counts a request of an account as open at this instance until the result is disposed of. */
  beginRequest(accountId: AccountId): Disposable {
    return this.#demand.beginRequest(accountId);
  }

  /** Removes the state of idle accounts. */
  forgetIdle(): void {
    this.#demand.forgetIdle();
    for (const accountId of [...this.#instanceCounts.keys()]) this.#instanceCountFor(accountId);
  }

  /**
   * Returns the instances for a caller of an account, in order of preference.
   *
   * The platform's list lags, so membership takes precedence: a listed instance that is dead or
   * leaving is omitted, and an unlisted one from which messages arrive is included. A suspected
   * instance is last: most suspected instances are alive, and moving an account to another
   * instance costs its grants and cached prefixes.
   *
   * @param accountId - client account of the caller
   * @param nearFailureDomain - failure domain of the caller, if it states one
   */
  answer(accountId: AccountId, nearFailureDomain: string | undefined): DirectoryResponse {
    const count = this.#instanceCountFor(accountId);
    const chosen = chooseInstances(accountId, this.#candidates(), {
      count,
      ...(nearFailureDomain === undefined
        ? {}
        : { nearFailureDomain: nearFailureDomain as FailureDomainId }),
    });
    const ordered =
      count > minInstancesPerAccount ? this.#rotate(chosen, nearFailureDomain) : chosen;
    const suspects = new Set(this.#memberIds((member) => member.state === 'suspect'));
    const instances = [
      ...ordered.filter(({ id }) => !suspects.has(id)),
      ...ordered.filter(({ id }) => suspects.has(id)),
    ];
    return {
      instances: instances.map(({ id, url, failureDomain }) => ({ id, url, failureDomain })),
      keepMs: directoryTtlMs,
    };
  }

  /**
   * Returns the number of instances for an account, which grows with its open requests. The estimate
   * covers all instances of the account, so that distributing the load does not make the account look
   * idle. An account that needs only the minimum is removed from the map.
   */
  #instanceCountFor(accountId: AccountId): number {
    const nowMs = this.#options.clock.monotonicMs();
    const maxCount = Math.max(minInstancesPerAccount, this.usableInstanceCount);
    const previous = this.#instanceCounts.get(accountId);
    if (previous !== undefined && nowMs - previous.sinceMs < countReviewIntervalMs) {
      return Math.min(previous.count, maxCount);
    }
    const openRequests =
      this.#demand.average(accountId) * (previous?.count ?? minInstancesPerAccount);
    const requiredCount = Math.max(
      minInstancesPerAccount,
      Math.ceil(openRequests / targetOpenRequestsPerInstance),
    );
    const count = Math.min(requiredCount, maxCount);
    if (count === minInstancesPerAccount) this.#instanceCounts.delete(accountId);
    else this.#instanceCounts.set(accountId, { count, sinceMs: nowMs });
    return count;
  }

  /**
   * Callers use the first instance. For a busy account the first one rotates, with instances in the
   * caller's failure domain ahead of the others.
   */
  #rotate(
    chosen: readonly ListedInstance[],
    nearFailureDomain: string | undefined,
  ): ListedInstance[] {
    this.#answerCount += 1;
    const offset = this.#answerCount % chosen.length;
    const rotated = [...chosen.slice(offset), ...chosen.slice(0, offset)];
    const isNear = ({ failureDomain }: ListedInstance) => failureDomain === nearFailureDomain;
    return [...rotated.filter(isNear), ...rotated.filter((instance) => !isNear(instance))];
  }

  #candidates(): ListedInstance[] {
    const { self, members } = this.#options.membership;
    const others = members.value.filter(({ state }) => {
      return state === 'live' || state === 'suspect' || state === 'listed';
    });
    const own = self.state === 'live' && self.url !== '' ? [toListedInstance(self)] : [];
    return [...own, ...others.map(toListedInstance)];
  }

  #memberIds(predicate: (member: Member) => boolean) {
    return this.#options.membership.members.value.filter(predicate).map(({ id }) => id);
  }
}

function toListedInstance(
  member: Pick<Member, 'id' | 'url'> & { failureDomain: string },
): ListedInstance {
  const { id, url } = member;
  const failureDomain = member.failureDomain as FailureDomainId;
  return { id, url, failureDomain, role: 'entry', state: 'live' };
}
