/**
 * The durable record that an instance of a trial environment has acted on a document.
 *
 * Promotion asks for it: a document that trial accepted but no instance took up was not tried.
 */
import type { ObjectStore } from '@acaciacrank/store';
import { z } from 'zod';
import { trialSuffix } from '../environmentSchema/index.js';

const trialRunSchema = z.strictObject({
  instanceId: z.string(),
  version: z.number().int().positive(),
  atMs: z.number(),
});

/** The first instance of trial that acted on a document. */
export type TrialRun = z.infer<typeof trialRunSchema>;

/**
 * The trial environment of an environment.
 *
 * @example
 * trialOf('kapiti');
 * //=> 'kapiti.trial'
 */
export function trialOf(environment: string): string {
  return `${environment}${trialSuffix}`;
}

/** Whether an environment is one where documents are tried. */
export function isTrial(environment: string): boolean {
  return environment.endsWith(trialSuffix);
}

/**
 * Records that an instance of trial acts on a document; the first record stands.
 *
 * @throws RouterError `storeUnavailable`; doing it again is safe
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
 * Who ran a document in trial.
 *
 * @returns undefined when no instance of trial has said that it acted on these bytes
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
