import { queryInstances } from '../../queryInstances/index.js';
import type { CommandContext, FleetView, InstanceView } from '../../types.js';
import { formatTime } from '../formatTime/index.js';

const pollIntervalMs = 500;

/** How far a version is rolled out: which instances act on it, as far as is known. */
export interface Rollout {
  readonly lines: readonly string[];
  /** Whether at least one instance is listed and every listed one is known to act on the version. */
  readonly isComplete: boolean;
  readonly data: Readonly<Record<string, unknown>>;
}

/**
 * Polls the instances until all that answer act on a version, or until `context.waitMs` has passed.
 *
 * @param context - the instance list, the client of the operators' ports and the maximum wait
 * @param environment - the environment of the instances
 * @param version - the version that they should act on
 */
export async function waitUntilInForce(
  context: CommandContext,
  environment: string,
  version: number,
): Promise<Rollout> {
  const deadlineMs = context.clock.monotonicMs() + context.waitMs;
  for (;;) {
    const fleet = await queryInstances(context, environment);
    const isBehind = fleet.instances.some(
      ({ answer }) => answer !== undefined && (answer.version ?? 0) < version,
    );
    if (!isBehind || context.clock.monotonicMs() >= deadlineMs)
      return describeRollout(fleet, version);
    await context.clock.sleep(pollIntervalMs);
  }
}

/** Describes which instances act on a version, which do not, and which are unknown. */
export function describeRollout(fleet: FleetView, version: number): Rollout {
  const { instances, listProblem } = fleet;
  if (listProblem !== undefined) {
    const lines = [`Where it is in force is unknown: the list could not be read (${listProblem}).`];
    return { lines, isComplete: false, data: { instances: 'unknown', listProblem } };
  }
  const upToDate = instances.filter(({ answer }) => (answer?.version ?? 0) >= version);
  const unknown = instances.filter(({ answer }) => answer === undefined);
  const behind = instances.length - upToDate.length - unknown.length;
  const isComplete = instances.length > 0 && upToDate.length === instances.length;
  const summary =
    instances.length === 0
      ? 'In force nowhere that is known: the platform lists no instance of this environment.'
      : `In force on ${upToDate.length} of ${instances.length} listed instances; ${behind} not yet, ${unknown.length} unknown.`;
  return {
    lines: [summary, ...instances.map((instance) => `  ${describeInstance(instance, version)}`)],
    isComplete,
    data: {
      instances: instances.map(toInstanceData),
      actingOnVersion: upToDate.length,
      behind,
      unknown: unknown.length,
    },
  };
}

function describeInstance({ entry, answer, reason }: InstanceView, version: number): string {
  const label = `${entry.id} (${entry.failureDomain}, ${entry.state})`;
  if (answer === undefined) return `${label}: UNKNOWN: ${reason ?? 'it was not queried'}`;
  const acts =
    answer.version === undefined
      ? 'acts on NO version, takes no work'
      : `acts on version ${answer.version} since ${formatTime(answer.sinceMs ?? 0)}${describeVersionDifference(answer.version, version)}`;
  const work = `${answer.isAccepting ? 'takes work' : 'takes NO new work'}, ${answer.openRequests} requests under way`;
  const problem = answer.problem === undefined ? '' : `; problem: ${answer.problem}`;
  return `${label}: ${acts}; ${work}${problem}`;
}

function describeVersionDifference(actualVersion: number, version: number): string {
  if (actualVersion === version) return '';
  return actualVersion < version
    ? ' (NOT YET the accepted one)'
    : ' (LATER than the one asked for)';
}

function toInstanceData({ entry, answer, reason }: InstanceView) {
  const { id, failureDomain, state } = entry;
  if (answer === undefined) return { id, failureDomain, state, known: false, reason };
  return { id, failureDomain, state, known: true, ...answer };
}
