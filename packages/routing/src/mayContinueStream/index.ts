import type { ServiceName, UpstreamId } from '@acaciacrank/base';

/** One run of an upstream, from its start to its end, and the software that it runs. */
export interface UpstreamRun {
  readonly service: ServiceName;
  readonly upstreamId: UpstreamId;
  /** When the run started, in milliseconds since 1970; undefined if not known. */
  readonly startedAtMs: number | undefined;
  /** Version of the upstream's software; undefined if not known. */
  readonly softwareVersion: string | undefined;
}

/**
 * Whether an upstream may send the next events of a stream.
 *
 * What two versions of a software write does not fit together. Only the same version may continue, and where the
 * version of either is not known, only the same run.
 *
 * @param origin - the run that sent the first event
 * @param run - the run that is to send the next ones
 *
 * @example
 * mayContinueStream({ ...run, softwareVersion: 'v1' }, { ...run, softwareVersion: 'v2' });
 * //=> false
 */
export function mayContinueStream(origin: UpstreamRun, run: UpstreamRun): boolean {
  if (origin.service !== run.service) return false;
  if (origin.softwareVersion !== run.softwareVersion) return false;
  return origin.softwareVersion !== undefined || isSameRun(origin, run);
}

function isSameRun(one: UpstreamRun, other: UpstreamRun): boolean {
  if (one.startedAtMs === undefined || one.startedAtMs !== other.startedAtMs) return false;
  return one.upstreamId === other.upstreamId;
}
