import { digestText, RouterError, type Clock } from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import { acceptParsedDocument, type AcceptDocumentOptions } from '../acceptDocument/index.js';
import type { Acceptance } from '../acceptRoot/index.js';
import { environmentStore } from '../environmentStore/index.js';
import { parseEnvironment } from '../parseEnvironment/index.js';
import { readTrialRun, trialEnvironmentOf, type TrialRun } from '../trialRuns/index.js';

/** The result of a promotion, with the trial run that permitted it. */
export interface Promotion extends Acceptance {
  readonly trialRun: TrialRun;
}

/**
 * Puts a document in force in production, provided that a trial instance has used it.
 *
 * @param store - the platform's object store
 * @param clock - used for timestamps and the back-off
 * @param text - the document, as YAML
 * @param options - the version that the operator expects to be in force
 * @returns the accepted version and the trial run
 * @throws RouterError `notTried` if no trial instance has used a document with exactly these bytes,
 * or as {@link acceptDocument}
 *
 * @example
 * const { accepted } = await promoteFromTrial(store, clock, text);
 */
export async function promoteFromTrial(
  store: ObjectStore,
  clock: Clock,
  text: string,
  options: Omit<AcceptDocumentOptions, 'environment'> = {},
): Promise<Promotion> {
  const document = parseEnvironment(text);
  const digest = digestText(text);
  const trial = trialEnvironmentOf(document.environment);
  const trialRun = await readTrialRun(environmentStore(store, trial), trial, digest);
  if (trialRun === undefined) {
    throw new RouterError(
      'notTried',
      `no instance of ${trial} has used this document (digest ${digest.slice(0, 12)}); nothing was changed`,
    );
  }
  return { ...(await acceptParsedDocument(store, clock, document, digest, options)), trialRun };
}
