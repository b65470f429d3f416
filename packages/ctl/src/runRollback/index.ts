import { environmentStore, rollbackVersion } from '@acaciacrank/operators';
import { describeAcceptance } from '../_lib/describeAcceptance/index.js';
import { waitUntilInForce } from '../_lib/waitUntilInForce/index.js';
import type { CommandContext, CommandResult } from '../types.js';

/**
 * Puts the bytes of an earlier version in force again, as a new version.
 *
 * @throws RouterError `notFound`, `conflict` or `storeUnavailable`
 *
 * @example
 * const { data } = await runRollback(context, 'kapiti', 6);
 */
export async function runRollback(
  context: CommandContext,
  environment: string,
  toVersion?: number,
): Promise<CommandResult> {
  const store = environmentStore(context.store, environment);
  const acceptance = await rollbackVersion(store, context.clock, environment, { toVersion });
  const { accepted, outcome } = acceptance;
  const rollout = await waitUntilInForce(context, environment, accepted.version);
  return {
    isCertain: rollout.isComplete,
    text: [
      ...describeAcceptance(environment, acceptance),
      ...(accepted.rolledBackTo === undefined
        ? []
        : [`It has the bytes of version ${accepted.rolledBackTo}; version numbers only increase.`]),
      ...rollout.lines,
      `Next: acaciacrankctl status --environment ${environment}; restore your document file to these bytes too`,
    ].join('\n'),
    data: {
      environment,
      outcome,
      version: accepted.version,
      rolledBackTo: accepted.rolledBackTo ?? null,
      digest: accepted.digest,
      ...rollout.data,
    },
  };
}
