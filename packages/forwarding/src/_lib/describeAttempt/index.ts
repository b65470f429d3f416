/**
 * Describes the attempts to send a request, for its log line.
 */
import type { ServiceSilence } from '@acaciacrank/routing';
import type { AttemptResult } from '../AttemptResult/index.js';
import type { UpstreamPick } from '../pickUpstream/index.js';
import type { TraceStep } from '../RequestTrace/index.js';
import type { Upstream } from '../Upstream/index.js';

/** Describes the choice of an upstream out of a number of usable ones. */
export function describeSend(
  { upstream, fetchFrom, prefill, why }: UpstreamPick,
  usableCount: number,
): TraceStep {
  const { requestsPerSecond } = upstream.limit;
  const { reportAgeMs, statements } = upstream;
  const { leavingForMs, backoff } = statements;
  return {
    upstreamId: upstream.id,
    softwareVersion: upstream.record.softwareVersion,
    startedAtMs: upstream.record.startedAtMs,
    why,
    fetchFrom,
    backlogMs: Math.round(upstream.backlogMs),
    slotWaitMs: Math.round(upstream.slotWaitMs) || undefined,
    readMs: prefill && Math.round(prefill.expectedMs),
    ownInFlight: upstream.inFlight.size,
    reportedRunning: upstream.reportedLoad?.running,
    reportAgeMs: reportAgeMs && Math.round(reportAgeMs),
    limitPerS: requestsPerSecond === Infinity ? undefined : requestsPerSecond,
    warmUpMs: Math.round(upstream.warmUp.remainingMs) || undefined,
    backoffMs: Math.round(backoff.remainingMs) || undefined,
    leavingForMs: leavingForMs && Math.round(leavingForMs),
    outOf: usableCount,
  };
}

/**
 * Describes a silence: whether one upstream is silent, its service, or this process itself stood still.
 *
 * @param upstream - the silent one
 * @param silence - how many of its service are heard of
 * @param lateMs - how late the timer of this process ran that found it out, in milliseconds
 */
export function describeSilence(
  { id: upstreamId, activity }: Upstream,
  silence: ServiceSilence,
  lateMs: number,
): TraceStep {
  const { sinceReceivedMs, longestWaitMs } = activity;
  return {
    upstreamId,
    sinceReceivedMs: Number.isFinite(sinceReceivedMs) ? Math.round(sinceReceivedMs) : undefined,
    longestWaitMs: Math.round(longestWaitMs),
    timerLateMs: Math.round(lateMs),
    ...silence,
  };
}

/** Describes how an attempt ended. */
export function describeResult(result: AttemptResult): TraceStep {
  switch (result.kind) {
    case 'answer':
      return { status: result.status, bytes: result.body.byteLength };
    case 'streamed':
      return { longestGapMs: result.longestGapMs };
    case 'notRun':
      return { status: result.status, backoffMs: result.backoffMs };
    case 'notSent':
      return { reason: result.reason };
    case 'broken':
      return { reason: result.reason, noAnswer: result.noAnswer };
    case 'superseded':
      return { wasSilent: result.wasSilent, noAnswer: result.noAnswer };
    default:
      return {};
  }
}
