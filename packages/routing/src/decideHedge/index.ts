import { endsToIsolate } from '../attributeCrashes/index.js';
import { decideResend } from '../decideResend/index.js';
import type { ServiceSilence } from '../measureSilence/index.js';

/** What is known when a request has waited for its upstream in vain. */
export interface HedgeEvidence {
  /** Whether the request may run twice. */
  readonly isRepeatable: boolean;
  /** Number of upstreams that have ended under it. */
  readonly endCount: number;
  /** Number of upstreams that it was sent to, and how many there may be. */
  readonly sends: number;
  readonly maxSends: number;
  /** Returns whether another upstream that is not silent itself could take it. */
  readonly hasCandidate: () => boolean;
  /** Returns how many upstreams of the service are heard of. */
  readonly silence: () => ServiceSilence;
  /** Number of hedged requests under way that were sent while most upstreams of the service were silent. */
  readonly probes: number;
}

/** Why a request is sent to no second upstream while it waits for the first. */
export type HedgeRefusal =
  /** It may not run twice. */
  | 'notRepeatable'
  /** Upstreams have ended under it, so that it is sent to one at a time. */
  | 'suspect'
  /** Its route allows no further upstream. */
  | 'routeLimit'
  /** No other upstream could take it that is not silent as well. */
  | 'noUpstream'
  /** Most of the service are silent, which says nothing of one of them. */
  | 'serviceSilent'
  /** The retry budget is used up. */
  | 'budget';

/** `probe`: most upstreams of the service are silent, and this is one of a few requests sent to the others. */
export type HedgeDecision = 'hedge' | 'probe' | Exclude<HedgeRefusal, 'budget'>;

/** Number of silent upstreams from which the cause is sought in what they share, if they are most of the service. */
const minSilent = 2;
/** Number of silent upstreams for each one that is heard of from which they are most of the service (panic threshold). */
const panicRatio = 2;
/** Number of requests that are hedged at the same time then, for each upstream that is heard of; one if none is. */
const maxProbesPerSpeaking = 4;

/**
 * Decides whether a request is sent to a second upstream while the first is silent (a hedged request). The first one
 * is kept: whichever gives something first continues, and the other is aborted.
 *
 * A silence of most upstreams at once, as in a pause of their machines or of the network, says nothing of any one of
 * them. Second requests would overload the few others, so only some find out whether these can do it.
 *
 * @example
 * decideHedge({ ...evidence, silence: () => ({ speaking: 0, silent: 12 }), probes: 1 });
 * //=> 'serviceSilent'
 */
export function decideHedge(evidence: HedgeEvidence): HedgeDecision {
  const { isRepeatable, endCount, sends, maxSends, hasCandidate, silence, probes } = evidence;
  // Nothing is known of the request that is under way.
  const resend = decideResend({ isRepeatable, knowledge: 'unknown', sends, maxSends });
  if (resend === 'mayHaveRun') return 'notRepeatable';
  if (endCount >= endsToIsolate) return 'suspect';
  if (resend === 'routeLimit') return 'routeLimit';
  const known = silence();
  const isPanic = isServiceSilent(known);
  const maxProbes = Math.max(1, maxProbesPerSpeaking * known.speaking);
  if (isPanic && probes >= maxProbes) return 'serviceSilent';
  if (!hasCandidate()) return 'noUpstream';
  return isPanic ? 'probe' : 'hedge';
}

/** Whether most upstreams of a service are silent, as far as is known. */
export function isServiceSilent({ speaking, silent }: ServiceSilence): boolean {
  return silent >= minSilent && silent > panicRatio * speaking;
}
