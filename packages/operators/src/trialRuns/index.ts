/**
 * The durable record that an instance of a trial environment has used a document.
 *
 * Promotion requires it: a document that was accepted in the trial environment but never put in force
 * by an instance there has not been tried.
 */
import type { ObjectStore } from '@acaciacrank/store';
import * as z from 'zod';
import { trialSuffix } from '../environmentSchema/index.js';

const trialRunSchema = z.strictObject({
  instanceId: z.string(),
  version: z.number().int().positive(),
  atMs: z.number(),
});

/** The first trial instance that used a document, and when. */
export type TrialRun = z.infer<typeof trialRunSchema>;

/**
 * The name of the trial environment of a production environment.
 *
 * @example
 * trialEnvironmentOf('kapiti');
 * //=> 'kapiti.trial'
 */
export function trialEnvironmentOf(environment: string): string {
  return `${environment}${trialSuffix}`;
}

/** Whether an environment is a trial environment, judging by its name. */
export function isTrialEnvironment(environment: string): boolean {
  return environment.endsWith(trialSuffix);
}

/**
 * Records that a trial instance uses a document. An existing record is not overwritten.
 *
 * @throws RouterError `storeUnavailable`; the call is idempotent and can be retried
 */
export async function recordTrialRun(
  store: ObjectStore,
  environment: string,
  digest: string,
  run: TrialRun,
): Promise<void> {
  await store.write(trialRunKey(environment, digest), run, { kind: 'absent' });
}

/**
 * Reads the trial run of a document.
 *
 * @returns undefined if no trial instance has recorded that it used a document with this digest
 * @throws RouterError `storeUnavailable`
 */
export async function readTrialRun(
  store: ObjectStore,
  environment: string,
  digest: string,
): Promise<TrialRun | undefined> {
  const stored = await store.read(trialRunKey(environment, digest));
  return trialRunSchema.safeParse(stored?.value).data;
}

function trialRunKey(environment: string, digest: string): string {
  return `config/${environment}/ran/${digest}`;
}
