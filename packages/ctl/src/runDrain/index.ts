import { RouterError } from '@acaciacrank/base';
import { listEntryInstances } from '../queryInstances/index.js';
import type { CommandContext, CommandResult } from '../types.js';

/**
 * Begins a planned stop of one instance.
 *
 * @throws RouterError `notFound` when the instance is not listed, `storeUnavailable` when the list
 * cannot be read, or `upstreamUnavailable`, with `ran` set to `unknown` when the answer was lost
 *
 * @example
 * await runDrain(context, 'kapiti', 'entry-2');
 */
export async function runDrain(
  context: CommandContext,
  environment: string,
  instanceId: string,
): Promise<CommandResult> {
  const entries = await listEntryInstances(context, environment);
  const entry = entries.find(({ id }) => id === instanceId);
  if (entry === undefined) {
    const ids = entries.map(({ id }) => id).join(', ') || 'none';
    throw new RouterError(
      'notFound',
      `the platform lists no instance ${instanceId} of ${environment}; it lists: ${ids}`,
    );
  }
  const answer = await context.operatorPortClient.drain(entry);
  return {
    isCertain: true,
    text: [
      `${instanceId} is leaving: it gets no new callers, and ${answer.openRequests} requests under way are finished before it ends.`,
      `Next: acaciacrankctl status --environment ${environment}, until it is gone from the list; then replace it`,
    ].join('\n'),
    data: { environment, instanceId, ...answer },
  };
}
