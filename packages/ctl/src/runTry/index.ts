import { digestText } from '@acaciacrank/base';
import {
  acceptDocument,
  environmentStore,
  readTrialRun,
  trialEnvironmentOf,
  type TrialRun,
} from '@acaciacrank/operators';
import type { ObjectStore } from '@acaciacrank/store';
import { describeAcceptance } from '../_lib/describeAcceptance/index.js';
import { readDocumentFile } from '../_lib/readEnvironment/index.js';
import { waitUntilInForce } from '../_lib/waitUntilInForce/index.js';
import { describeDocumentChanges } from '../runDiff/index.js';
import type { CommandContext, CommandResult } from '../types.js';

const pollIntervalMs = 250;

/**
 * Puts a document in force in the trial environment, and waits until an instance there acts on it.
 *
 * @throws RouterError `badDocument`, `conflict` or `storeUnavailable`
 *
 * @example
 * const { isCertain } = await runTry(context, 'kapiti.yaml');
 */
export async function runTry(
  context: CommandContext,
  path: string,
  options: { readonly expectedVersion?: number | undefined } = {},
): Promise<CommandResult> {
  const { text, document } = readDocumentFile(path);
  const trialEnvironment = trialEnvironmentOf(document.environment);
  const store = environmentStore(context.store, trialEnvironment);
  const acceptance = await acceptDocument(store, context.clock, text, {
    environment: trialEnvironment,
    ...options,
  });
  const run = await waitForTrialRun(context, store, trialEnvironment, digestText(text));
  // Does not wait again: `waitForTrialRun` has already waited up to `context.waitMs`.
  const rollout = await waitUntilInForce(
    { ...context, waitMs: 0 },
    trialEnvironment,
    acceptance.accepted.version,
  );
  const trialSummary =
    run === undefined
      ? `No instance of ${trialEnvironment} reported within ${context.waitMs} ms that it acts on these bytes: whether it will is unknown.\nNext: start an instance with environment: ${trialEnvironment}, or look at acaciacrankctl status --environment ${trialEnvironment}`
      : `Instance ${run.instanceId} of ${trialEnvironment} acts on these bytes: they may be promoted.\nNext: try your callers against ${trialEnvironment}, then acaciacrankctl promote ${path}`;
  return {
    isCertain: run !== undefined,
    text: [
      ...describeAcceptance(trialEnvironment, acceptance),
      ...rollout.lines,
      ...(await describeDocumentChanges(context, document, document.environment)),
      `Production was not changed.`,
      trialSummary,
    ].join('\n'),
    data: {
      environment: trialEnvironment,
      outcome: acceptance.outcome,
      version: acceptance.accepted.version,
      digest: acceptance.accepted.digest,
      isTried: run !== undefined,
      ...rollout.data,
    },
  };
}

async function waitForTrialRun(
  { clock, waitMs }: CommandContext,
  store: ObjectStore,
  trialEnvironment: string,
  digest: string,
): Promise<TrialRun | undefined> {
  const deadlineMs = clock.monotonicMs() + waitMs;
  for (;;) {
    const run = await readTrialRun(store, trialEnvironment, digest).catch(() => undefined);
    if (run !== undefined || clock.monotonicMs() >= deadlineMs) return run;
    await clock.sleep(pollIntervalMs);
  }
}
