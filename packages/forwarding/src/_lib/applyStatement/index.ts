import { maxBackoffMs } from '@acaciacrank/routing';
import type { UpstreamStatement } from '../../types.js';
import type { ChangeDetails, UpstreamChangeKind } from '../UpstreamChange/index.js';
import type { Upstream } from '../Upstream/index.js';

/** A statement in a response that belongs to a request of this instance, with the times that bound its age. */
export interface ReceivedStatement {
  readonly statement: UpstreamStatement;
  /** Whether the response carries the upstream's signature. */
  readonly isSigned: boolean;
  /** When the request was sent and when the response arrived, on the monotonic clock. */
  readonly sentMs: number;
  readonly receivedMs: number;
}

/** Called for each change that a statement brings. */
export type ReportChange = (what: UpstreamChangeKind, details: ChangeDetails) => void;

/**
 * Applies the statement of an upstream in a response.
 *
 * @example
 * applyStatement(upstream, received, (what, details) => log.info({ what, ...details }));
 */
export function applyStatement(
  upstream: Upstream,
  received: ReceivedStatement,
  report: ReportChange,
): void {
  const { load, warmUpMs } = received.statement;
  if (load !== undefined) upstream.recordLoad(load);
  if (warmUpMs !== undefined) upstream.warmUp.assume(warmUpMs);
  applyLimit(upstream, received, report);
  applyLeaving(upstream, received, report);
  applyBackoff(upstream, received, report);
  applyBrittleness(upstream, received, report);
}

/** A response without a limit clears the known one only if it is signed. */
function applyLimit(upstream: Upstream, received: ReceivedStatement, report: ReportChange): void {
  const { statement, isSigned, sentMs, receivedMs } = received;
  const requestsPerSecond = statement.limitPerS;
  if (requestsPerSecond === undefined || (requestsPerSecond === Infinity && !isSigned)) return;
  const change = upstream.limit.update({ requestsPerSecond, sentMs, receivedMs });
  if (change === undefined) return;
  const limitPerS = requestsPerSecond === Infinity ? undefined : requestsPerSecond;
  report(change, { limitPerS });
}

function applyLeaving(
  upstream: Upstream,
  { statement, sentMs, receivedMs }: ReceivedStatement,
  report: ReportChange,
): void {
  if (!statement.isLeaving) return;
  const wasLeaving = upstream.isLeaving;
  upstream.statements.recordLeaving();
  if (wasLeaving) return;
  report('leaving', { source: 'response', maxAgeMs: Math.round(receivedMs - sentMs) });
}

function applyBrittleness(
  { brittleness }: Upstream,
  { statement }: ReceivedStatement,
  report: ReportChange,
): void {
  const { maxRefusalsPerS } = statement;
  if (maxRefusalsPerS !== undefined && brittleness.record()) report('brittle', { maxRefusalsPerS });
}

function applyBackoff(
  { statements }: Upstream,
  { statement }: ReceivedStatement,
  report: ReportChange,
): void {
  const { backoffMs = 0 } = statement;
  if (statements.backoff.extend(backoffMs)) report('backoffBegan', { backoffMs });
  if (backoffMs > maxBackoffMs) report('backoffImplausible', { backoffMs });
}
