import { toRouterError } from '@acaciacrank/base';
import type { ListedInstance } from '@acaciacrank/store';
import type { CommandContext, FleetView, InstanceView } from '../types.js';

/** Maximum number of instances to query at the same time. */
const maxConcurrentQueries = 32;

/**
 * Queries the status of each listed instance of an environment.
 *
 * Does not throw: an instance that does not answer is reported as unknown rather than healthy, and
 * an instance list that cannot be read as unknown rather than empty.
 *
 * @param context - the instance list and the client of the operators' ports
 * @param environment - the environment of the instances
 * @returns what is known about each instance
 *
 * @example
 * const { instances } = await queryInstances(context, 'kapiti');
 */
export async function queryInstances(
  context: CommandContext,
  environment: string,
): Promise<FleetView> {
  let entries: readonly ListedInstance[];
  try {
    entries = await listEntryInstances(context, environment);
  } catch (thrown) {
    return { instances: [], listProblem: toRouterError(thrown).message };
  }
  const instances: InstanceView[] = [];
  for (let at = 0; at < entries.length; at += maxConcurrentQueries) {
    const batch = entries.slice(at, at + maxConcurrentQueries);
    instances.push(...(await Promise.all(batch.map((entry) => queryInstance(context, entry)))));
  }
  return { instances, listProblem: undefined };
}

/**
 * Returns the listed instances of this system (role `entry`; the other roles are upstreams) that
 * belong to an environment, sorted by id. Instances listed without an environment are included.
 *
 * @throws RouterError `storeUnavailable`
 */
export async function listEntryInstances(
  { instanceList }: CommandContext,
  environment: string,
): Promise<ListedInstance[]> {
  const listed = await instanceList.read();
  return listed
    .filter(({ role }) => role === 'entry')
    .filter((entry) => (entry.environment ?? environment) === environment)
    .sort((a, b) => a.id.localeCompare(b.id));
}

async function queryInstance(
  { operatorPortClient }: CommandContext,
  entry: ListedInstance,
): Promise<InstanceView> {
  try {
    return { entry, answer: await operatorPortClient.status(entry), reason: undefined };
  } catch (thrown) {
    return { entry, answer: undefined, reason: toRouterError(thrown).message };
  }
}
