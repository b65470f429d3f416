/**
 * The manifest: the stored object that determines which version of an environment's document is in
 * force, that is, which one instances must use.
 */
import { RouterError } from '@acaciacrank/base';
import * as z from 'zod';

/** The manifest format that this release reads and writes. */
export const manifestFormat = 2;

/** Number of earlier versions kept in a manifest, for rollback and comparison. */
export const maxPreviousVersions = 8;

const digest = z.string().regex(/^[0-9a-f]{32,64}$/);

const acceptanceFields = {
  /** Increases with each acceptance and is never reused. */
  version: z.number().int().positive(),
  /** SHA-256 of the document's text; allows trial and production to be compared. */
  digest,
  /** Unique per acceptance; a writer whose response was lost finds its own acceptance by it. */
  acceptanceId: z.string().min(1).max(64),
  acceptedAtMs: z.number(),
  /** Digests of the root objects of the compiled document. */
  root: z.strictObject({ settings: digest, accounts: digest, keys: digest }),
  /** The version whose content a rollback restored; absent unless this version is a rollback. */
  rolledBackTo: z.number().int().positive().optional(),
};

/** Schema of a manifest. */
export const manifestSchema = z.strictObject({
  format: z.literal(manifestFormat),
  environment: z.string().min(1).max(80),
  ...acceptanceFields,
  /** Earlier versions, latest first. */
  previous: z.array(z.strictObject(acceptanceFields)).max(maxPreviousVersions),
});

/** The version in force and the earlier versions that can be restored. */
export type Manifest = z.infer<typeof manifestSchema>;

/** One accepted version. */
export type AcceptedVersion = Manifest['previous'][number];

/**
 * The key of an environment's manifest.
 *
 * @example
 * manifestKey('kapiti');
 * //=> 'config/kapiti/manifest'
 */
export function manifestKey(environment: string): string {
  return `config/${environment}/manifest`;
}

/**
 * Validates a manifest.
 *
 * @param value - the value read from the store or received from a peer
 * @returns the manifest
 * @throws RouterError `badDocument` if it is damaged or has another format; the stored manifest must
 * then not be overwritten
 *
 * @example
 * const { version } = parseManifest(stored.value);
 */
export function parseManifest(value: unknown): Manifest {
  const parsed = manifestSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  const { format } = z.object({ format: z.unknown() }).safeParse(value).data ?? {};
  const what =
    format === manifestFormat || format === undefined
      ? 'is damaged'
      : `has format ${JSON.stringify(format)} but this release reads format ${manifestFormat}`;
  throw new RouterError(
    'badDocument',
    `the manifest ${what}; nothing was changed. Use the release that wrote it, or restore the object`,
    { cause: parsed.error },
  );
}

/** The version in force and the earlier versions of a manifest, latest first. */
export function versionsOf(manifest: Manifest): AcceptedVersion[] {
  const { version, digest, acceptanceId, acceptedAtMs, root, rolledBackTo } = manifest;
  const inForce = { version, digest, acceptanceId, acceptedAtMs, root };
  const rollback = rolledBackTo === undefined ? {} : { rolledBackTo };
  return [{ ...inForce, ...rollback }, ...manifest.previous];
}
