import { digestText, RouterError, type Clock } from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import { acceptRoot, type Acceptance, type AcceptRootOptions } from '../acceptRoot/index.js';
import { collectGarbage } from '../collectGarbage/index.js';
import { compileEnvironment, type CompileEnvironmentOptions } from '../compileEnvironment/index.js';
import { StoreConfigurationObjects } from '../ConfigurationObjects/index.js';
import { trialSuffix, type EnvironmentDocument } from '../environmentSchema/index.js';
import { parseEnvironment } from '../parseEnvironment/index.js';
import { findMissingObjects, writeObjects } from '../_lib/writeObjects/index.js';

/** Options of {@link acceptDocument}. */
export interface AcceptDocumentOptions
  extends Pick<AcceptRootOptions, 'random' | 'maxAttempts'>, CompileEnvironmentOptions {
  /** The target environment: the document's own (default) or its trial environment. */
  environment?: string;
  /** The version that the operator last saw; the document is refused if another one is in force. */
  expectedVersion?: number | undefined;
}

/**
 * Validates a document, writes its objects and puts it in force with one compare-and-swap of the
 * manifest.
 *
 * A document that is already in force, byte for byte, changes nothing.
 *
 * @param store - the platform's object store
 * @param clock - used for timestamps and the back-off
 * @param text - the document, as YAML
 * @param options - target environment and expected version
 * @returns the accepted version and the manifest now in force
 * @throws RouterError `badDocument`, `conflict` or `storeUnavailable`, as {@link acceptRoot};
 * `badRequest` if the document and the options expect different versions
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
  return acceptParsedDocument(store, clock, parseEnvironment(text), digestText(text), options);
}

/**
 * Accepts a document that has already been parsed and validated.
 *
 * @param digest - SHA-256 of the document's text
 * @throws RouterError as {@link acceptDocument}
 */
export async function acceptParsedDocument(
  store: ObjectStore,
  clock: Clock,
  document: EnvironmentDocument,
  digest: string,
  options: AcceptDocumentOptions = {},
): Promise<Acceptance> {
  const environment = options.environment ?? document.environment;
  const compiled = compileEnvironment(document, options);
  const source = new StoreConfigurationObjects(store, environment);
  const expectedVersion = resolveExpectedVersion(document, environment, options.expectedVersion);
  const acceptance = await acceptRoot(
    store,
    clock,
    { environment, digest, root: compiled.root, expectedVersion },
    {
      ...options,
      prepare: async (inForce) => {
        const missing = await findMissingObjects(compiled, inForce?.root, source);
        await writeObjects(store, clock, environment, missing);
      },
    },
  );
  if (acceptance.outcome === 'accepted') {
    await collectGarbage(store, clock, acceptance.manifest, compiled);
  }
  return acceptance;
}

/** `basedOnVersion` counts production versions; a trial environment has its own numbering. */
function resolveExpectedVersion(
  { basedOnVersion }: EnvironmentDocument,
  environment: string,
  requestedVersion: number | undefined,
): number | undefined {
  if (environment.endsWith(trialSuffix)) return requestedVersion;
  if (
    requestedVersion !== undefined &&
    basedOnVersion !== undefined &&
    requestedVersion !== basedOnVersion
  ) {
    throw new RouterError(
      'badRequest',
      `the document has basedOnVersion: ${basedOnVersion}, but the request expects version ${requestedVersion}`,
    );
  }
  return requestedVersion ?? basedOnVersion;
}
