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
import { waitInForce } from '../_lib/waitInForce/index.js';
import { describeDocumentChanges } from '../runDiff/index.js';
import type { CommandContext, CommandResult } from '../types.js';

const lookAgainMs = 250;

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
  const trial = trialEnvironmentOf(document.environment);
  const store = environmentStore(context.store, trial);
  const acceptance = await acceptDocument(store, context.clock, text, {
    environment: trial,
    ...options,
  });
  const run = await waitForRun(context, store, trial, digestText(text));
  const spread = await waitInForce({ ...context, waitMs: 0 }, trial, acceptance.accepted.version);
  const tried =
    run === undefined
      ? `No instance of ${trial} has said that it acts on these bytes within ${context.waitMs} ms: whether it will is unknown.\nNext: start an instance with environment: ${trial}, or look at acaciacrankctl status --environment ${trial}`
      : `Instance ${run.instanceId} of ${trial} acts on these bytes: they may be promoted.\nNext: try your callers against ${trial}, then acaciacrankctl promote ${path}`;
  return {
    isCertain: run !== undefined,
    text: [
      ...describeAcceptance(trial, acceptance),
      ...spread.lines,
      ...(await describeDocumentChanges(context, document, document.environment)),
      `Production is as it was.`,
      tried,
    ].join('\n'),
    data: {
      environment: trial,
      outcome: acceptance.outcome,
      version: acceptance.accepted.version,
      digest: acceptance.accepted.digest,
      isTried: run !== undefined,
      ...spread.data,
    },
  };
}

async function waitForRun(
  { clock, waitMs }: CommandContext,
  store: ObjectStore,
  trial: string,
  digest: string,
): Promise<TrialRun | undefined> {
  const untilMs = clock.monotonicMs() + waitMs;
  for (;;) {
    const run = await readTrialRun(store, trial, digest).catch(() => undefined);
    if (run !== undefined || clock.monotonicMs() >= untilMs) return run;
    await clock.sleep(lookAgainMs);
  }
}
