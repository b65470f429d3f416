import type { UpstreamRecord } from '../../types.js';

/**
 * Whether a record describes a different run of the upstream than the known record. Ids normally
 * identify a single run, but some upstreams restart under the same id, with no cache and no state
 * from before.
 *
 * @example
 * isDifferentRun(known, { ...known, startedAtMs: 2_000 });
 */
export function isDifferentRun(known: UpstreamRecord, record: UpstreamRecord): boolean {
  const isElsewhere = known.ip !== record.ip || known.port !== record.port;
  if (isElsewhere || known.service !== record.service) return true;
  return !isSameStart(known, record) || !isSameSoftware(known, record);
}

/**
 * Whether two records can have the same start time. A missing time matches any; an earlier time
 * than the known one does not match, since the clock may have been set back before a restart.
 */
function isSameStart(known: UpstreamRecord, record: UpstreamRecord): boolean {
  const { startedAtMs } = record;
  if (known.startedAtMs === undefined || startedAtMs === undefined) return true;
  return known.startedAtMs === startedAtMs;
}

/** Whether two records can be of the same software. A missing version matches any. */
function isSameSoftware(known: UpstreamRecord, { softwareVersion }: UpstreamRecord): boolean {
  if (known.softwareVersion === undefined || softwareVersion === undefined) return true;
  return known.softwareVersion === softwareVersion;
}
