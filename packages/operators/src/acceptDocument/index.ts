import { digestText, RouterError, type Clock } from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import { acceptRoot, type Acceptance, type AcceptRootOptions } from '../acceptRoot/index.js';
import { collectGarbage } from '../collectGarbage/index.js';
import { compileEnvironment, type CompileEnvironmentOptions } from '../compileEnvironment/index.js';
import { StoreConfigurationObjects } from '../ConfigurationObjects/index.js';
import { trialSuffix, type EnvironmentDocument } from '../environmentSchema/index.js';
import { parseEnvironment } from '../parseEnvironment/index.js';
import { missingObjects, writeObjects } from '../_lib/writeObjects/index.js';

/** Options of {@link acceptDocument}. */
export interface AcceptDocumentOptions
  extends Pick<AcceptRootOptions, 'random' | 'maxAttempts'>, CompileEnvironmentOptions {
  /** Where to accept it: the document's own environment, or its trial environment. */
  environment?: string;
  /** The version that the operator last saw; another one in force refuses the document. */
  expectedVersion?: number | undefined;
}

/**
 * Checks a document, writes its objects and puts it in force by one conditional update.
 *
 * Bytes that are already in force change nothing.
 *
 * @param store - the platform's store
 * @param clock - measures the back-off
 * @param text - the document
 * @param options - where, and what the operator last saw
 * @returns what came of it
 * @throws RouterError `badDocument`, `conflict` or `storeUnavailable`, as {@link acceptRoot}
 *
 * @example
 * const { accepted } = await acceptDocument(store, clock, text, { expectedVersion: 6 });
 */
export async function acceptDocument(
  store: ObjectStore,
  clock: Clock,
  text: string,
  options: AcceptDocumentOptions = {},
): Promise<Acceptance> {
  return acceptParsed(store, clock, parseEnvironment(text), digestText(text), options);
}

/**
 * Accepts a document that has been checked.
 *
 * @param digest - SHA-256 of its text
 * @throws RouterError `conflict` or `storeUnavailable`
 */
export async function acceptParsed(
  store: ObjectStore,
  clock: Clock,
  document: EnvironmentDocument,
  digest: string,
  options: AcceptDocumentOptions = {},
): Promise<Acceptance> {
  const environment = options.environment ?? document.environment;
  const compiled = compileEnvironment(document, options);
  const source = new StoreConfigurationObjects(store, environment);
  const expectedVersion = expectedVersionOf(document, environment, options.expectedVersion);
  const acceptance = await acceptRoot(
    store,
    clock,
    { environment, digest, root: compiled.root, expectedVersion },
    {
      ...options,
      prepare: async (inForce) => {
        const missing = await missingObjects(compiled, inForce?.root, source);
        await writeObjects(store, clock, environment, missing);
      },
    },
  );
  if (acceptance.outcome === 'accepted') {
    await collectGarbage(store, clock, acceptance.manifest, compiled);
  }
  return acceptance;
}

/** A document says which production version it was edited from; trial counts versions of its own. */
function expectedVersionOf(
  { basedOnVersion }: EnvironmentDocument,
  environment: string,
  expected: number | undefined,
): number | undefined {
  if (environment.endsWith(trialSuffix)) return expected;
  if (expected !== undefined && basedOnVersion !== undefined && expected !== basedOnVersion) {
    throw new RouterError(
      'badRequest',
      `the document says basedOnVersion: ${basedOnVersion}, and version ${expected} was asked for`,
    );
  }
  return expected ?? basedOnVersion;
}
