import type { ServiceSilence } from '../measureSilence/index.js';

/** What is known when a request has waited for its upstream in vain. */
export interface HedgeEvidence {
  /** Whether the request may run twice. */
  readonly isRepeatable: boolean;
  /** Number of upstreams that it was sent to, and how many there may be. */
  readonly sends: number;
  readonly maxSends: number;
  /** Whether another upstream that is not silent itself could take it. */
  readonly hasCandidate: boolean;
  /** How many upstreams of the service are heard of. */
  readonly silence: ServiceSilence;
  /** Number of hedged requests under way that were sent while no upstream of the service was heard of. */
  readonly probes: number;
}

/** Why a request is sent to no second upstream while it waits for the first. */
export type HedgeRefusal =
  /** It may not run twice. */
  | 'notRepeatable'
  /** Its route allows no further upstream. */
  | 'routeLimit'
  /** No other upstream could take it that is not silent as well. */
  | 'noUpstream'
  /** All of the service are silent, which says nothing of one of them. */
  | 'serviceSilent'
  /** The retry budget is used up. */
  | 'budget';

/** `probe`: no upstream of the service is heard of, and this is the one request that finds out about another. */
export type HedgeDecision = 'hedge' | 'probe' | Exclude<HedgeRefusal, 'budget'>;

/** Number of silent upstreams from which the cause is sought in all of them, if none is heard of. */
const minSilentForAll = 2;
/** Number of requests that are hedged at the same time while all upstreams of a service are silent. */
const maxProbes = 1;

/**
 * Decides whether a request is sent to a second upstream while the first is silent (a hedged request). The first one
 * is kept: whichever gives something first goes on, and the other is aborted.
 *
 * A silence of all upstreams at once, as in a pause of their machines or of the network, says nothing of any one of
 * them. Second requests would add load just when all of them go on, so a single one finds out about the others.
 *
 * @example
 * decideHedge({ ...evidence, silence: { speaking: 0, silent: 12 }, probes: 1 });
 * //=> 'serviceSilent'
 */
export function decideHedge(evidence: HedgeEvidence): HedgeDecision {
  const { isRepeatable, sends, maxSends, hasCandidate, silence, probes } = evidence;
  if (!isRepeatable) return 'notRepeatable';
  if (sends >= maxSends) return 'routeLimit';
  if (!hasCandidate) return 'noUpstream';
  if (!isServiceSilent(silence)) return 'hedge';
  return probes < maxProbes ? 'probe' : 'serviceSilent';
}

/** Whether all upstreams of a service are silent, as far as is known. */
export function isServiceSilent({ speaking, silent }: ServiceSilence): boolean {
  return speaking === 0 && silent >= minSilentForAll;
}
