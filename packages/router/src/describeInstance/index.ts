import type { Member, Membership } from '@acaciacrank/fleet';
import type { Instance } from '../Instance/index.js';

/** Status of an instance, as operators see it. */
export type InstanceStatus = ReturnType<typeof describeInstance>;

/** Status of another instance, as this one sees it. */
export interface MemberStatus {
  readonly id: string;
  readonly state: Member['state'];
  readonly failureDomain: string;
  readonly sinceMs: number;
  readonly isListed: boolean;
  /** null if unknown: instances send their version only to their neighbours. */
  readonly configurationVersion: number | null;
}

/**
 * Describes the status of an instance. What the instance does not know is null.
 *
 * @param instance - the instance
 * @param instanceId - id of the instance
 * @returns plain data, for the JSON response and the status page
 *
 * @example
 * describeInstance(instance, 'entry-1').configuration?.version;
 * //=> 7
 */
export function describeInstance(instance: Instance, instanceId: string) {
  const inForce = instance.configuration.inForce.value;
  return {
    instanceId,
    isAccepting: instance.isAccepting,
    stopPhase: instance.plannedStop.phase,
    openRequests: instance.openRequests,
    openWork: instance.openWork,
    configuration:
      inForce === undefined
        ? null
        : { version: inForce.version, digest: inForce.digest, sinceMs: inForce.sinceMs },
    configurationProblem: instance.configuration.problem ?? null,
    blames: instance.quarantine.suspects.blamed
      .all()
      .map(({ service, features, crashCount, sinceMs }) => {
        return { service, features, crashCount, sinceMs };
      }),
    members: describeMembers(instance.membership),
    upstreams: instance.registry.all().map(({ id, service, state, inFlightRequests }) => ({
      id,
      service,
      state,
      inFlightRequests,
    })),
  };
}

function describeMembers(membership: Membership): MemberStatus[] {
  return membership.members.value
    .map(({ id, state, failureDomain, sinceMs, isListed }) => ({
      id,
      state,
      failureDomain,
      sinceMs,
      isListed,
      configurationVersion: membership.configurationVersionOf(id) ?? null,
    }))
    .sort((a, b) => (a.id < b.id ? -1 : 1));
}
