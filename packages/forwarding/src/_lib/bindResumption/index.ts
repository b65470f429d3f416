/**
 * Binds a request that takes a stream up to the software version that began it.
 */
import type { Metrics } from '@acaciacrank/base';
import type { UpstreamRun } from '@acaciacrank/routing';
import type { RouteTable } from '../../RouteTable/index.js';
import type { StreamAffinity } from '../../StreamAffinity/index.js';
import type { ForwardCall } from '../ForwardCall/index.js';
import { parseOrigin, relayOriginHeader } from '../relayProtocol/index.js';
import { streamKeyOf } from '../streamKeyOf/index.js';
import { createVersionGoneError, createVersionUnknownError } from '../versionErrors/index.js';

/** Options of {@link bindResumption}. */
export interface BindResumptionOptions {
  readonly affinity: StreamAffinity;
  readonly metrics: Metrics;
  readonly routes: RouteTable | undefined;
}

/** The run that began a stream, and how this instance knows it: its own record, a peer's, or the relaying peer. */
interface FoundOrigin {
  readonly run: UpstreamRun;
  readonly source: 'own' | 'peer' | 'relay';
}

/**
 * Finds out what began the stream that a request takes up, so that only the same version goes on with it.
 *
 * @param call - a request of any kind; one that begins a stream, or none, is returned as it is
 * @param options - where origins are known, and the routes in force
 * @returns the call, bound to the stream's service and origin
 * @throws RouterError `streamVersionUnknown` if nobody knows the origin, never a guess; `streamVersionGone` if the
 *   route no longer leads to its service
 */
export async function bindResumption(
  call: ForwardCall,
  { affinity, metrics, routes }: BindResumptionOptions,
): Promise<ForwardCall> {
  if (!isResumption(call)) return call;
  const found = await findOrigin(call, affinity);
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
