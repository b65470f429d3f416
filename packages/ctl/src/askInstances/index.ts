import { describeError } from '@acaciacrank/base';
import type { ListedInstance } from '@acaciacrank/store';
import type { CommandContext, FleetView, InstanceView } from '../types.js';

/** How many instances are asked at once. */
const maxAskedAtOnce = 32;

/**
 * Asks each listed instance of an environment what it acts on.
 *
 * What is not known stays unknown: an instance that does not answer is not taken to be fine, nor a
 * list that could not be read to be empty.
 *
 * @param context - the platform and the operators' ports
 * @param environment - whose instances
 * @returns what is known of each
 *
 * @example
 * const { instances } = await askInstances(context, 'kapiti');
 */
export async function askInstances(
  context: CommandContext,
  environment: string,
): Promise<FleetView> {
  let entries: readonly ListedInstance[];
  try {
    entries = await listEntries(context, environment);
  } catch (thrown) {
    return { instances: [], listProblem: describeError(thrown).message };
  }
  const instances: InstanceView[] = [];
  for (let at = 0; at < entries.length; at += maxAskedAtOnce) {
    const some = entries.slice(at, at + maxAskedAtOnce);
    instances.push(...(await Promise.all(some.map((entry) => askOne(context, entry)))));
  }
  return { instances, listProblem: undefined };
}

/**
 * The listed entry instances of an environment, with those that the list puts in none.
 *
 * @throws RouterError `storeUnavailable`
 */
export async function listEntries(
  { list }: CommandContext,
  environment: string,
): Promise<ListedInstance[]> {
  const listed = await list.read();
  return listed
    .filter(({ role }) => role === 'entry')
    .filter((entry) => (entry.environment ?? environment) === environment)
    .sort((a, b) => a.id.localeCompare(b.id));
}

async function askOne({ ports }: CommandContext, entry: ListedInstance): Promise<InstanceView> {
  try {
    return { entry, answer: await ports.status(entry), reason: undefined };
  } catch (thrown) {
    return { entry, answer: undefined, reason: describeError(thrown).message };
  }
}
