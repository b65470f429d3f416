/**
 * Versions of objects: the epoch of the store and its revision, in one number.
 *
 * A store that returns from an older copy gives out revisions again, for other changes. Its epoch
 * rises each time, so a version with a higher epoch is newer whatever its revision is, and versions of
 * different epochs are never equal.
 */

/** Number of revisions in an epoch: the epoch takes the remaining bits of an exact integer. */
const revisionsPerEpoch = 2 ** 40;
/** The highest epoch that fits into a version. */
export const maxEpoch = Math.floor(Number.MAX_SAFE_INTEGER / revisionsPerEpoch) - 1;

/**
 * Composes the version of an object.
 *
 * @param epoch - epoch of the store, from 0 to {@link maxEpoch}
 * @param revision - revision of the store within that epoch
 *
 * @example
 * composeVersion(2, 7) > composeVersion(1, 9);
 * //=> true
 */
export function composeVersion(epoch: number, revision: number): number {
  return epoch * revisionsPerEpoch + revision;
}

/**
 * The epoch of the store in which a version was given out.
 *
 * @example
 * epochOf(composeVersion(2, 7));
 * //=> 2
 */
export function epochOf(version: number): number {
  return Math.floor(version / revisionsPerEpoch);
}

/**
 * The revision of the store within its epoch.
 *
 * @example
 * revisionOf(composeVersion(2, 7));
 * //=> 7
 */
export function revisionOf(version: number): number {
  return version % revisionsPerEpoch;
}
