/**
 * The form in which instances tell each other which runs of upstreams began streams.
 */
import { getOrCreate, type StreamKey } from '@acaciacrank/base';
import type { FleetMessageOf } from '@acaciacrank/fleet';
import type { UpstreamRun } from '@acaciacrank/routing';

/** A stream and the run that began it. */
export interface StreamOrigin {
  readonly stream: StreamKey;
  readonly run: UpstreamRun;
}

/** The streams that one run began. */
export type ToldOrigin = FleetMessageOf<'streamOrigins'>['origins'][number];

/** Maximum number of streams in one message. */
export const maxStreamsInMessage = 512;

/** Groups streams by the runs that began them, which a message names once each. */
export function groupByRun(origins: readonly StreamOrigin[]): ToldOrigin[] {
  const groups = new Map<string, ToldOrigin>();
  for (const { stream, run } of origins) {
    const key = JSON.stringify([run.upstreamId, run.startedAtMs, run.softwareVersion]);
    getOrCreate(groups, key, () => ({ ...run, streams: [] })).streams.push(stream);
  }
  return [...groups.values()];
}

/** Returns each stream that a message names, with the run that began it. */
export function listOrigins(told: readonly ToldOrigin[]): StreamOrigin[] {
  return told.flatMap(({ streams, service, upstreamId, startedAtMs, softwareVersion }) => {
    const run = { service, upstreamId, startedAtMs, softwareVersion };
    return streams.map((stream) => ({ stream, run }));
  });
}
