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

/** What is to come into force. */
export interface AcceptanceRequest {
  readonly environment: string;
  /** SHA-256 of the document's text. */
  readonly digest: string;
  readonly root: ConfigurationRoot;
  /** The version that the change was made from; another one in force refuses it. */
  readonly expectedVersion?: number | undefined;
  /** The version that is rolled back to. */
  readonly rolledBackTo?: number | undefined;
}

/** What came of it. */
export interface Acceptance {
  /** `unchanged` when these bytes were in force already. */
  readonly outcome: 'accepted' | 'unchanged';
  /** The version that has these bytes. */
  readonly accepted: AcceptedVersion;
  /** What is in force now; a later version when somebody else came after. */
  readonly manifest: Manifest;
  /** Whether the answer to the write was lost, and the outcome was found out by reading. */
  readonly isFoundOut: boolean;
}

/** Options of {@link acceptRoot}. */
export interface AcceptRootOptions {
  /** Spreads the back-off and names the acceptance. */
  random?: Random;
  /** How often to read and try before giving up. */
  maxAttempts?: number;
  /** Writes the objects that the version in force lacks, before the manifest refers to them. */
  prepare?: (inForce: Manifest | undefined) => Promise<void>;
}

const firstBackOffMs = 50;
const longestBackOffMs = 2_000;

/**
 * How long the objects may have been written when the manifest comes to refer to them, in
 * milliseconds; far less than what the collection of garbage waits.
 */
const maxPreparedMs = 600_000;

/**
 * Puts compiled objects in force by one conditional update of the manifest.
 *
 * Whoever writes first wins; the other is told what the winner changed. The answer to the write can
 * be lost after it took effect, which shows as an error from the store: the manifest is then read
 * until it says whether this acceptance, which has a name of its own, is in it.
 *
 * @param store - the platform's store
 * @param clock - measures the back-off
 * @param request - what is to come into force
 * @param options - chance, bounds and what to write before
 * @returns what came of it
 * @throws RouterError `conflict` with what the winner changed, `badDocument` for a manifest that
 * this program cannot read, `storeUnavailable` whose claim `ran` is `unknown` when the manifest was
 * written without an answer and could not be read since
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
  const acceptanceId = nameAcceptance(request, clock, random);
  const maxAttempts = options.maxAttempts ?? 6;
  const key = manifestKey(request.environment);
  let expectedVersion = request.expectedVersion;
  let isWritten = false;
  let lastError: Error | undefined;
  let backOffMs = firstBackOffMs;
  for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
    try {
      const stored = await store.read(key);
      const inForce = stored === undefined ? undefined : parseManifest(stored.value);
      const found = findAcceptance(inForce, acceptanceId);
      if (found !== undefined) return { ...found, outcome: 'accepted', isFoundOut: true };
      if (inForce?.digest === request.digest) return unchanged(inForce);
      const version = inForce?.version ?? 0;
      expectedVersion ??= version;
      if (expectedVersion !== version)
        throw await conflict(store, request, inForce, expectedVersion);
      const startedMs = clock.monotonicMs();
      await options.prepare?.(inForce);
      if (clock.monotonicMs() - startedMs > maxPreparedMs) continue;
      const manifest = nextManifest(request, inForce, acceptanceId, clock);
      isWritten = true;
      const result = await store.write(key, manifest, conditionOf(stored));
      if (result.outcome === 'written') {
        const [accepted] = versionsOf(manifest) as [AcceptedVersion];
        return { outcome: 'accepted', accepted, manifest, isFoundOut: false };
      }
    } catch (error) {
      if (!(error instanceof RouterError) || error.kind !== 'storeUnavailable') throw error;
      lastError = error;
    }
    await clock.sleep(random() * backOffMs);
    backOffMs = Math.min(longestBackOffMs, backOffMs * 2);
  }
  throw gaveUp(request, isWritten, lastError);
}

/** Two acceptances never share a name, nor do two of one moment whose chance is seeded alike. */
function nameAcceptance({ digest }: AcceptanceRequest, clock: Clock, random: Random): string {
  const chance = digestText(`${digest} ${random()} ${random()}`).slice(0, 20);
  return `${clock.wallMs().toString(36)}-${chance}`;
}

function unchanged(inForce: Manifest): Acceptance {
  const [accepted] = versionsOf(inForce) as [AcceptedVersion];
  return { outcome: 'unchanged', accepted, manifest: inForce, isFoundOut: false };
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
    `version ${inForce?.version ?? 0} of ${environment} is in force; your change was made from version ${expectedVersion}. Nothing of yours was put in force.`,
    ...(await whatChanged(store, environment, inForce, expectedVersion)),
  ];
  return new RouterError('conflict', lines.join('\n'));
}

async function whatChanged(
  store: ObjectStore,
  environment: string,
  inForce: Manifest | undefined,
  since: number,
): Promise<string[]> {
  const versions = inForce === undefined ? [] : versionsOf(inForce);
  const base = versions.find(({ version }) => version === since);
  const unknown = `What changed since version ${since} is not known: only the last ${maxPreviousVersions} versions are kept.`;
  if (inForce === undefined || (base === undefined && since !== 0)) return [unknown];
  const source = new StoreConfigurationObjects(store, environment);
  try {
    const changes = await diffConfigurations(source, base?.root, inForce.root);
    return [`Changed since version ${since}:`, ...describeChanges(changes)];
  } catch (error) {
    if (error instanceof RouterError) return [`What changed is not known: ${error.message}`];
    throw error;
  }
}

function gaveUp(
  request: AcceptanceRequest,
  isWritten: boolean,
  cause: Error | undefined,
): RouterError {
  const options = cause === undefined ? {} : { cause };
  const { environment } = request;
  if (!isWritten) {
    return new RouterError(
      'storeUnavailable',
      `nothing of ${environment} was changed: the store could not be read or the objects not written`,
      options,
    );
  }
  return new RouterError(
    'storeUnavailable',
    `whether the document is in force in ${environment} is unknown: the answer was lost and the store could not be read since`,
    { ...options, ran: 'unknown' },
  );
}

function conditionOf(stored: StoredObject | undefined) {
  if (stored === undefined) return { kind: 'absent' } as const;
  return { kind: 'version', version: stored.version } as const;
}
