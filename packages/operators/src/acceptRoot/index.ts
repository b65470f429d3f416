import { digestText, RouterError, type Clock, type Random } from '@acaciacrank/base';
import type { ObjectStore, StoredObject } from '@acaciacrank/store';
import { StoreConfigurationObjects } from '../ConfigurationObjects/index.js';
import { describeChanges, diffConfigurations } from '../diffConfigurations/index.js';
import {
  manifestFormat,
  manifestKey,
  maxPreviousVersions,
  parseManifest,
  versionsOf,
  type AcceptedVersion,
  type Manifest,
} from '../manifest/index.js';
import type { ConfigurationRoot } from '../types.js';

/** A compiled document and the conditions for putting it in force. */
export interface AcceptanceRequest {
  readonly environment: string;
  /** SHA-256 of the document's text. */
  readonly digest: string;
  readonly root: ConfigurationRoot;
  /** The version that the change was made from; the request is refused if another one is in force. */
  readonly expectedVersion?: number | undefined;
  /** The version whose content is restored, when this request is a rollback. */
  readonly rolledBackTo?: number | undefined;
}

/** The result of an acceptance. */
export interface Acceptance {
  /** `unchanged` if a document with the same digest was already in force. */
  readonly outcome: 'accepted' | 'unchanged';
  /** The version that contains the requested document. */
  readonly accepted: AcceptedVersion;
  /** The manifest now in force; its version is higher if another writer has followed. */
  readonly manifest: Manifest;
  /** Whether the response to the write was lost and the outcome was determined by a later read. */
  readonly isConfirmedByRead: boolean;
}

/** Options of {@link acceptRoot}. */
export interface AcceptRootOptions {
  /** Used for back-off jitter and for the acceptance id. */
  random?: Random;
  /** Maximum number of read-and-write attempts. */
  maxAttempts?: number;
  /** Writes the objects that the version in force lacks; runs before the manifest is written. */
  prepare?: (inForce: Manifest | undefined) => Promise<void>;
}

const initialBackOffMs = 50;
const maxBackOffMs = 2_000;

/**
 * Maximum duration of `prepare`, in milliseconds. It is far below the garbage collector's grace
 * period, so that no prepared object is removed before the manifest refers to it. If `prepare` takes
 * longer, the attempt is abandoned and the next one prepares the objects again.
 */
const maxPrepareMs = 600_000;

/**
 * Puts a compiled document in force with one compare-and-swap of the manifest.
 *
 * The first of several concurrent writers succeeds; the others get a `conflict` error that lists
 * what it changed. The response to the write can be lost after the write took effect, which shows
 * as a store error. The manifest is then read again until it shows whether it contains this
 * acceptance, which is identified by its unique acceptance id.
 *
 * @param store - the platform's object store
 * @param clock - used for timestamps and the back-off
 * @param request - the compiled document and the version it replaces
 * @param options - source of randomness, attempt limit and preparation step
 * @returns the accepted version and the manifest now in force
 * @throws RouterError `conflict` with the concurrent changes; `badDocument` if this release cannot
 * read the manifest; `storeUnavailable` if the store does not answer, with `ran: 'unknown'` if a
 * manifest write was attempted and its outcome could not be read afterwards
 *
 * @example
 * const { accepted } = await acceptRoot(store, clock, { environment, digest, root });
 */
export async function acceptRoot(
  store: ObjectStore,
  clock: Clock,
  request: AcceptanceRequest,
  options: AcceptRootOptions = {},
): Promise<Acceptance> {
  const random = options.random ?? Math.random;
  const acceptanceId = createAcceptanceId(request, clock, random);
  const maxAttempts = options.maxAttempts ?? 6;
  const key = manifestKey(request.environment);
  let expectedVersion = request.expectedVersion;
  let isWriteAttempted = false;
  let lastError: Error | undefined;
  let backOffMs = initialBackOffMs;
  for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
    try {
      const stored = await store.read(key);
      const inForce = stored === undefined ? undefined : parseManifest(stored.value);
      const found = findAcceptance(inForce, acceptanceId);
      if (found !== undefined) return { ...found, outcome: 'accepted', isConfirmedByRead: true };
      if (inForce?.digest === request.digest) return unchanged(inForce);
      const version = inForce?.version ?? 0;
      expectedVersion ??= version;
      if (expectedVersion !== version)
        throw await conflict(store, request, inForce, expectedVersion);
      const startedMs = clock.monotonicMs();
      await options.prepare?.(inForce);
      if (clock.monotonicMs() - startedMs > maxPrepareMs) continue;
      const manifest = nextManifest(request, inForce, acceptanceId, clock);
      isWriteAttempted = true;
      const result = await store.write(key, manifest, toWriteCondition(stored));
      if (result.outcome === 'written') {
        const [accepted] = versionsOf(manifest) as [AcceptedVersion];
        return { outcome: 'accepted', accepted, manifest, isConfirmedByRead: false };
      }
    } catch (error) {
      if (!(error instanceof RouterError) || error.kind !== 'storeUnavailable') throw error;
      lastError = error;
    }
    await clock.sleep(random() * backOffMs);
    backOffMs = Math.min(maxBackOffMs, backOffMs * 2);
  }
  throw createUnavailableError(request, isWriteAttempted, lastError);
}

/** The digest makes ids of different documents differ even at the same time and with equal seeds. */
function createAcceptanceId({ digest }: AcceptanceRequest, clock: Clock, random: Random): string {
  const randomPart = digestText(`${digest} ${random()} ${random()}`).slice(0, 20);
  return `${clock.wallMs().toString(36)}-${randomPart}`;
}

function unchanged(inForce: Manifest): Acceptance {
  const [accepted] = versionsOf(inForce) as [AcceptedVersion];
  return { outcome: 'unchanged', accepted, manifest: inForce, isConfirmedByRead: false };
}

function findAcceptance(inForce: Manifest | undefined, acceptanceId: string) {
  if (inForce === undefined) return undefined;
  const accepted = versionsOf(inForce).find((version) => version.acceptanceId === acceptanceId);
  return accepted === undefined ? undefined : { accepted, manifest: inForce };
}

function nextManifest(
  request: AcceptanceRequest,
  inForce: Manifest | undefined,
  acceptanceId: string,
  clock: Clock,
): Manifest {
  const { environment, digest, root, rolledBackTo } = request;
  return {
    format: manifestFormat,
    environment,
    version: (inForce?.version ?? 0) + 1,
    digest,
    acceptanceId,
    acceptedAtMs: clock.wallMs(),
    root,
    ...(rolledBackTo === undefined ? {} : { rolledBackTo }),
    previous: inForce === undefined ? [] : versionsOf(inForce).slice(0, maxPreviousVersions),
  };
}

async function conflict(
  store: ObjectStore,
  request: AcceptanceRequest,
  inForce: Manifest | undefined,
  expectedVersion: number,
): Promise<RouterError> {
  const { environment } = request;
  const lines = [
    `version ${inForce?.version ?? 0} of ${environment} is in force; your change was made from version ${expectedVersion}. Your change was not put in force.`,
    ...(await describeChangesSince(store, environment, inForce, expectedVersion)),
  ];
  return new RouterError('conflict', lines.join('\n'));
}

async function describeChangesSince(
  store: ObjectStore,
  environment: string,
  inForce: Manifest | undefined,
  sinceVersion: number,
): Promise<string[]> {
  const versions = inForce === undefined ? [] : versionsOf(inForce);
  const baseVersion = versions.find(({ version }) => version === sinceVersion);
  const unknown = `The changes since version ${sinceVersion} are unknown: only the last ${maxPreviousVersions} versions are kept.`;
  if (inForce === undefined || (baseVersion === undefined && sinceVersion !== 0)) return [unknown];
  const source = new StoreConfigurationObjects(store, environment);
  try {
    const changes = await diffConfigurations(source, baseVersion?.root, inForce.root);
    return [`Changed since version ${sinceVersion}:`, ...describeChanges(changes)];
  } catch (error) {
    if (error instanceof RouterError)
      return [`The changes could not be determined: ${error.message}`];
    throw error;
  }
}

function createUnavailableError(
  request: AcceptanceRequest,
  isWriteAttempted: boolean,
  cause: Error | undefined,
): RouterError {
  const options = cause === undefined ? {} : { cause };
  const { environment } = request;
  if (!isWriteAttempted) {
    return new RouterError(
      'storeUnavailable',
      `nothing was changed in ${environment}: the store could not be read or the objects could not be written`,
      options,
    );
  }
  return new RouterError(
    'storeUnavailable',
    `whether the document is in force in ${environment} is unknown: the response to the write was lost and the store could not be read afterwards`,
    { ...options, ran: 'unknown' },
  );
}

function toWriteCondition(stored: StoredObject | undefined) {
  if (stored === undefined) return { kind: 'absent' } as const;
  return { kind: 'version', version: stored.version } as const;
}
