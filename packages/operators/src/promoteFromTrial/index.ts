import { digestText, RouterError, type Clock } from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import { acceptParsed, type AcceptDocumentOptions } from '../acceptDocument/index.js';
import type { Acceptance } from '../acceptRoot/index.js';
import { environmentStore } from '../environmentStore/index.js';
import { parseEnvironment } from '../parseEnvironment/index.js';
import { readTrialRun, trialOf, type TrialRun } from '../trialRuns/index.js';

/** A promotion, and who had tried the bytes. */
export interface Promotion extends Acceptance {
  readonly trialRun: TrialRun;
}

/**
 * Puts in force in production the bytes that trial ran.
 *
 * @param store - the platform's store
 * @param clock - measures the back-off
 * @param text - the document
 * @param options - what the operator last saw
 * @returns what came of it
 * @throws RouterError `notTried` when no instance of trial acted on exactly these bytes, or as
 * `acceptDocument`
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
  const trial = trialOf(document.environment);
  const trialRun = await readTrialRun(environmentStore(store, trial), trial, digest);
  if (trialRun === undefined) {
    throw new RouterError(
      'notTried',
      `no instance of ${trial} has acted on these bytes (digest ${digest.slice(0, 12)}); nothing was changed`,
    );
  }
  return { ...(await acceptParsed(store, clock, document, digest, options)), trialRun };
}
