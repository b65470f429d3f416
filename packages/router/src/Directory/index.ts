import {
  millisecondsInSecond,
  type AccountId,
  type Clock,
  type FailureDomainId,
} from '@acaciacrank/base';
import type { DirectoryAnswer } from '@acaciacrank/callers';
import type { Member, Membership } from '@acaciacrank/fleet';
import type { ListedInstance } from '@acaciacrank/store';
import { chooseInstances } from '@acaciacrank/routing';
import { AccountDemand } from '../AccountDemand/index.js';

/** Options of {@link Directory}. */
export interface DirectoryOptions {
  clock: Clock;
  membership: Membership;
}

/** How long callers keep the directory's answer, in milliseconds. */
export const directoryKeepMs = 5 * millisecondsInSecond;
/** How many instances an account uses at least: one more than it can lose. */
const leastInstances = 2;
/** Open requests of one account that one instance is meant to have, on average. */
const openPerInstance = 16;

/**
 * How long a number of instances stands before it is looked at again, in milliseconds. Callers come
 * to new instances only as their answers run out, and the average follows later still; looking at it
 * sooner would count the same load again and again and name ever more instances.
 */
const countStandsMs = 60 * millisecondsInSecond;

interface InstanceCount {
  readonly count: number;
  readonly sinceMs: number;
}

/** Tells callers which instances to use. */
export class Directory {
  readonly #options: DirectoryOptions;
  readonly #demand: AccountDemand;
  /** How many instances busy accounts were told to use; the others use the fewest. */
  readonly #counts = new Map<AccountId, InstanceCount>();
  #answers = 0;

  constructor(options: DirectoryOptions) {
    this.#options = options;
    this.#demand = new AccountDemand({ clock: options.clock });
  }

  /** How many instances take new callers, this one included. */
  get usableInstances(): number {
    return this.#candidates().length;
  }

  /** The instances that take new work, this one included. */
  get usable(): readonly ListedInstance[] {
    return this.#candidates();
  }

  /** Counts a request of an account as open here; dispose of the result when it has ended. */
  begin(accountId: AccountId): Disposable {
    return this.#demand.begin(accountId);
  }

  /** Forgets accounts that are no longer in use. */
  forgetIdle(): void {
    this.#demand.forgetIdle();
    for (const accountId of [...this.#counts.keys()]) this.#countFor(accountId);
  }

  /**
   * The answer for an account's caller.
   *
   * Membership corrects the platform's lagging list: who was given up or is leaving is not named,
   * though listed, and who speaks for itself is, though not listed. A suspect is named last: most
   * suspects live, and moving an account costs its grants and cached prefixes.
   *
   * @param accountId - whose caller asks
   * @param near - the caller's failure domain, when it says so
   */
  answer(accountId: AccountId, near: string | undefined): DirectoryAnswer {
    const count = this.#countFor(accountId);
    const chosen = chooseInstances(accountId, this.#candidates(), {
      count,
      ...(near === undefined ? {} : { nearFailureDomain: near as FailureDomainId }),
    });
    const ordered = count > leastInstances ? this.#rotate(chosen, near) : chosen;
    const suspects = new Set(this.#members((member) => member.state === 'suspect'));
    const instances = [
      ...ordered.filter(({ id }) => !suspects.has(id)),
      ...ordered.filter(({ id }) => suspects.has(id)),
    ];
    return {
      instances: instances.map(({ id, url, failureDomain }) => ({ id, url, failureDomain })),
      keepMs: directoryKeepMs,
    };
  }

  /**
   * More instances for an account that has more open than one should carry. The estimate is of all
   * its instances together, so that spreading it does not make it look idle again.
   */
  #countFor(accountId: AccountId): number {
    const nowMs = this.#options.clock.monotonicMs();
    const most = Math.max(leastInstances, this.usableInstances);
    const told = this.#counts.get(accountId);
    if (told !== undefined && nowMs - told.sinceMs < countStandsMs) {
      return Math.min(told.count, most);
    }
    const open = this.#demand.average(accountId) * (told?.count ?? leastInstances);
    const wanted = Math.max(leastInstances, Math.ceil(open / openPerInstance));
    const count = Math.min(wanted, most);
    if (count === leastInstances) this.#counts.delete(accountId);
    else this.#counts.set(accountId, { count, sinceMs: nowMs });
    return count;
  }

  /** Callers use the first; a busy account's are sent to one after the other, near ones first. */
  #rotate(chosen: readonly ListedInstance[], near: string | undefined): ListedInstance[] {
    this.#answers += 1;
    const at = this.#answers % chosen.length;
    const rotated = [...chosen.slice(at), ...chosen.slice(0, at)];
    const isNear = ({ failureDomain }: ListedInstance) => failureDomain === near;
    return [...rotated.filter(isNear), ...rotated.filter((instance) => !isNear(instance))];
  }

  #candidates(): ListedInstance[] {
    const { self, members } = this.#options.membership;
    const others = members.value.filter(({ state }) => {
      return state === 'live' || state === 'suspect' || state === 'listed';
    });
    const own = self.state === 'live' && self.url !== '' ? [entryOf(self)] : [];
    return [...own, ...others.map(entryOf)];
  }

  #members(isWanted: (member: Member) => boolean) {
    return this.#options.membership.members.value.filter(isWanted).map(({ id }) => id);
  }
}

function entryOf(member: Pick<Member, 'id' | 'url'> & { failureDomain: string }): ListedInstance {
  const { id, url } = member;
  const failureDomain = member.failureDomain as FailureDomainId;
  return { id, url, failureDomain, role: 'entry', state: 'live' };
}
