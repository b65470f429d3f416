import { promoteFromTrial } from '@acaciacrank/operators';
import { describeAcceptance } from '../_lib/describeAcceptance/index.js';
import { readDocumentFile } from '../_lib/readEnvironment/index.js';
import { waitUntilInForce } from '../_lib/waitUntilInForce/index.js';
import { describeDocumentChanges } from '../runDiff/index.js';
import type { CommandContext, CommandResult } from '../types.js';

/**
 * Puts a document in force in production, provided that trial has run exactly the same bytes.
 *
 * @throws RouterError `notTried`, `badDocument`, `conflict` or `storeUnavailable`
 *
 * @example
 * const { data } = await runPromote(context, 'kapiti.yaml', { expectedVersion: 6 });
 */
export async function runPromote(
  context: CommandContext,
  path: string,
  options: { readonly expectedVersion?: number | undefined } = {},
): Promise<CommandResult> {
  const { text, document } = readDocumentFile(path);
  const { environment } = document;
  const changes = await describeDocumentChanges(context, document, environment);
  const promotion = await promoteFromTrial(context.store, context.clock, text, options);
  const { accepted, outcome, trialRun } = promotion;
  const rollout = await waitUntilInForce(context, environment, accepted.version);
  const next = rollout.isComplete
    ? `Next: nothing; to take it back: acaciacrankctl rollback --environment ${environment}`
    : `Next: acaciacrankctl status --environment ${environment}, until every instance acts on it`;
  return {
    isCertain: rollout.isComplete,
    text: [
      ...describeAcceptance(environment, promotion),
      `Instance ${trialRun.instanceId} ran the same bytes in trial.`,
      ...(outcome === 'accepted' ? changes : []),
      ...rollout.lines,
      next,
    ].join('\n'),
    data: {
      environment,
      outcome,
      version: accepted.version,
      digest: accepted.digest,
      ...rollout.data,
    },
  };
}
