/**
 * Binds a request that takes a stream up to the software version that began it.
 */
import type { Clock, Metrics, UpstreamId } from '@acaciacrank/base';
import type { UpstreamRun } from '@acaciacrank/routing';
import type { RouteTable } from '../../RouteTable/index.js';
import type { StreamAffinity } from '../../StreamAffinity/index.js';
import type { UpstreamTable } from '../../UpstreamTable/index.js';
import type { ForwardCall } from '../ForwardCall/index.js';
import { parseOrigin, relayOriginHeader } from '../relayProtocol/index.js';
import { streamKeyOf } from '../streamKeyOf/index.js';
import { createVersionGoneError, createVersionUnknownError } from '../versionErrors/index.js';

/** Options of {@link bindResumption}. */
export interface BindResumptionOptions {
  readonly clock: Clock;
  readonly affinity: StreamAffinity;
  readonly upstreams: Pick<UpstreamTable, 'soleVersion'>;
  readonly metrics: Metrics;
  readonly routes: RouteTable | undefined;
}

/**
 * The run that began a stream, and how this instance knows it: its own record, a peer's, the relaying peer, or since
 * the service has had one version only.
 */
interface FoundOrigin {
  readonly run: UpstreamRun;
  readonly source: 'own' | 'peer' | 'relay' | 'soleVersion';
}

/** Names no upstream. */
const unknownUpstream = '' as UpstreamId;
/** How much later than it began a stream may be taken up, beyond the timeout of its route, in milliseconds. */
const takeUpSlackMs = 5_000;

/**
 * Finds out what began the stream that a request takes up, so that only the same version continues with it.
 *
 * @param call - a request of any kind; one that begins a stream, or none, is returned as it is
 * @param options - where origins are known, and the routes in force
 * @returns the call, bound to the stream's service and origin
 * @throws RouterError `streamVersionUnknown` if nobody knows the origin, never a guess; `streamVersionGone` if the
 *   route no longer leads to its service
 */
export async function bindResumption(
  call: ForwardCall,
  options: BindResumptionOptions,
): Promise<ForwardCall> {
  const { affinity, metrics, routes } = options;
  if (!isResumption(call)) return call;
  const found = (await findOrigin(call, affinity)) ?? findSoleOrigin(call, options);
  metrics.count('resumptions', found?.source ?? 'unknown');
  const softwareVersion = found?.run.softwareVersion;
  call.trace.add('resumption', { knownFrom: found?.source, softwareVersion });
  if (found === undefined) throw createVersionUnknownError();
  call.progress.origin = found.run;
  call.progress.lastEventId = call.head.resumeAfter;
  const { service: name } = found.run;
  const service = routes?.service(name);
  const isRouted = call.route.targets.some((target) => target.service === name);
  if (service === undefined || !isRouted) throw createVersionGoneError(found.run);
  return { ...call, service };
}

function isResumption({ route, head }: ForwardCall): boolean {
  return route.kind === 'stream' && (head.resumeAfter ?? head.resumedAttempt) !== undefined;
}

async function findOrigin(
  { head, account, request, relayedBy }: ForwardCall,
  affinity: StreamAffinity,
): Promise<FoundOrigin | undefined> {
  const told = request.headers[relayOriginHeader];
  const relayed =
    relayedBy === undefined || typeof told !== 'string' ? undefined : parseOrigin(told);
  if (relayed !== undefined) return { run: relayed, source: 'relay' };
  if (head.resumedAttempt === undefined) return undefined;
  return affinity.find(streamKeyOf(account?.accountId, head.resumedAttempt));
}

/** For a caller that names no attempt: the one version that has served the route for as long as a stream lasts. */
function findSoleOrigin(
  { head, route }: ForwardCall,
  { clock, upstreams, routes }: BindResumptionOptions,
): FoundOrigin | undefined {
  const [target, ...others] = route.targets;
  if (head.resumedAttempt !== undefined || target === undefined || others.length > 0)
    return undefined;
  const durationMs = route.timeoutMs + takeUpSlackMs;
  const ledSinceMs = routes?.ledSinceMs(route) ?? Infinity;
  if (clock.monotonicMs() - ledSinceMs < durationMs) return undefined;
  const { service } = target;
  const softwareVersion = upstreams.soleVersion(service, durationMs);
  if (softwareVersion === undefined) return undefined;
  const run = { service, upstreamId: unknownUpstream, startedAtMs: undefined, softwareVersion };
  return { run, source: 'soleVersion' };
}
