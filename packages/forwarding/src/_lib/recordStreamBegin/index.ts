import type { Metrics } from '@acaciacrank/base';
import type { UpstreamRun } from '@acaciacrank/routing';
import type { StreamAffinity } from '../../StreamAffinity/index.js';
import type { ForwardCall } from '../ForwardCall/index.js';
import { streamKeyOf } from '../streamKeyOf/index.js';

/** Where the begin of a stream is recorded. */
export interface RecordStreamBeginOptions {
  readonly affinity: StreamAffinity;
  readonly metrics: Metrics;
}

/**
 * Records the run that sends a part of a stream, before its first event is passed on. The first one is the origin,
 * which decides who may continue.
 */
export function recordStreamBegin(
  call: ForwardCall,
  run: UpstreamRun,
  { affinity, metrics }: RecordStreamBeginOptions,
): void {
  const { progress, head, account } = call;
  if (progress.origin !== undefined) {
    const isKept = progress.origin.softwareVersion === run.softwareVersion;
    metrics.count('resumedStreams', isKept ? 'sameVersion' : 'otherVersion');
  }
  progress.origin ??= run;
  if (progress.events > 0 || head.requestId === undefined) return;
  affinity.begin(streamKeyOf(account?.accountId, head.requestId), progress.origin);
}
