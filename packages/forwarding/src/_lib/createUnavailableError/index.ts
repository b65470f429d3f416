import { RouterError, type Metrics } from '@acaciacrank/base';
import { mayHaveRun } from '@acaciacrank/routing';
import type { ForwardCall } from '../ForwardCall/index.js';
import type { Upstream } from '../Upstream/index.js';
import { createVersionGoneError } from '../versionErrors/index.js';

/**
 * Bounds of the retry delay sent to a caller when upstreams are at their limits, in milliseconds.
 * The upper bound is low because another instance may have capacity sooner than this one.
 */
const retryAfterMs = { min: 100, max: 1_000 } as const;

/**
 * Creates the error for a request that no upstream could take, with a retry delay if one will have room.
 *
 * @param call - the request
 * @param usable - the upstreams that it may be sent to
 * @param metrics - counts requests refused since upstreams are at their limits
 */
export function createUnavailableError(
  { progress, service, trace }: ForwardCall,
  usable: readonly Upstream[],
  metrics: Metrics,
): RouterError {
  const reason = `no upstream of ${service.name} could take the request`;
  if (mayHaveRun(progress.knowledge)) return new RouterError('upstreamFailed', reason);
  if (progress.origin !== undefined && usable.length === 0) {
    return createVersionGoneError(progress.origin);
  }
  const limited = usable
    .map(({ availability }) => availability)
    .filter(({ bound }) => bound !== undefined);
  if (limited.length === 0) return new RouterError('upstreamUnavailable', reason);
  metrics.count('refusedAtLimit');
  const { bound, waitMs } = limited.reduce((soonest, other) =>
    other.waitMs < soonest.waitMs ? other : soonest,
  );
  trace.add('atLimit', { upstreams: limited.length, bound, waitMs: Math.round(waitMs) });
  return new RouterError('upstreamUnavailable', reason, {
    retryAfterMs: Math.min(retryAfterMs.max, Math.max(retryAfterMs.min, waitMs)),
  });
}
