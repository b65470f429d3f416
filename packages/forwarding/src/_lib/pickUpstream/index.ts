/**
 * Which upstream a request goes to.
 */
import type { FailureDomainId, InstanceId, Random, UpstreamId } from '@acaciacrank/base';
import {
  estimatePrefill,
  longestHarmlessPrompt,
  placePrompt,
  rankByKey,
  splitEngines,
} from '@acaciacrank/routing';
import type { PromptPart } from '../../types.js';
import type { Upstream } from '../Upstream/index.js';

/** What a choice goes by. */
export interface PickRequest {
  readonly candidates: readonly Upstream[];
  /** Upstreams that had the request already. */
  readonly tried: ReadonlySet<UpstreamId>;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  /** The longest pause that the route's streams may have; undefined for plain answers. */
  readonly gapTargetMs: number | undefined;
  readonly tokensPerEvent: number;
  readonly ownDomain: FailureDomainId;
  readonly instanceId: InstanceId;
  readonly nowMs: number;
  readonly random: Random;
}

/** A choice, and what decided it. */
export interface Pick {
  readonly upstream: Upstream;
  /** Where shared parts of the prompt may be copied from; undefined for nowhere. */
  readonly fetchFrom: string | undefined;
  /** How long the engine will read, in milliseconds; 0 for plain services. */
  readonly prefillMs: number;
  readonly why: 'only' | 'home' | 'spill' | 'long' | 'leastBusy';
}

/** What another failure domain counts for in a plain service's load, in requests: it is 1 to 3 ms away. */
const farRequests = 0.5;
/** A report older than this says nothing of the load now, in milliseconds. */
const reportAgeLimitMs = 1_000;
/** The share of engines set apart for long prompts. */
const longShare = 0.45;

/**
 * Chooses an upstream.
 *
 * @param request - the candidates and what is known of the request
 * @returns the choice; undefined where no candidate is left
 *
 * @example
 * pickUpstream(request)?.upstream.id;
 */
export function pickUpstream(request: PickRequest): Pick | undefined {
  const fresh = request.candidates.filter(({ id }) => !request.tried.has(id));
  const sound = fresh.filter((upstream) => !upstream.isLeftOut(request.nowMs));
  // With all of them left out the fault may be the instance's own, so any is better than none.
  const usable = sound.length > 0 ? sound : fresh;
  const [first] = usable;
  if (first === undefined) return undefined;
  const shared = lastSharedPart(request.promptParts);
  if (shared === undefined) return pickLeastBusy(usable, request);
  return pickEngine(usable, shared, request);
}

/** The last part that other requests may share; the last part of all belongs to the request. */
function lastSharedPart(parts: readonly PromptPart[]): PromptPart | undefined {
  return parts.length > 1 ? parts[parts.length - 2] : parts[0];
}

function pickEngine(
  usable: readonly Upstream[],
  shared: PromptPart,
  request: PickRequest,
): Pick | undefined {
  const { promptTokens, gapTargetMs, tokensPerEvent } = request;
  const { ordinary, long } = splitEngines(usable, longShare);
  const own = request.promptParts.at(-1)?.tokens ?? 0;
  const prefillMs = estimatePrefill(Math.min(own, promptTokens), promptTokens - own);
  const place = placePrompt(shared.id, ordinary);
  const isLong =
    gapTargetMs !== undefined &&
    promptTokens > longestHarmlessPrompt({ gapTargetMs, tokensPerEvent });
  if (isLong) {
    const upstream = leastRunning(long, request.instanceId);
    const home = place?.home ?? place?.engine;
    const fetchFrom = home === upstream ? undefined : home?.address;
    return upstream && { upstream, fetchFrom, prefillMs, why: 'long' };
  }
  if (place === undefined) return undefined;
  const why = place.home === undefined ? 'home' : 'spill';
  return { upstream: place.engine, fetchFrom: place.home?.address, prefillMs, why };
}

/** Each instance begins with other engines, so that two do not meet at one without knowing. */
function leastRunning(engines: readonly Upstream[], instanceId: InstanceId): Upstream | undefined {
  const ranked = rankByKey(instanceId, engines);
  const least = Math.min(...ranked.map(({ running }) => running));
  return ranked.find(({ running }) => running === least);
}

function pickLeastBusy(usable: readonly Upstream[], request: PickRequest): Pick | undefined {
  const { ownDomain, nowMs, random } = request;
  const costed = usable.map((upstream) => {
    const reported =
      upstream.load !== undefined && nowMs - upstream.load.atMs < reportAgeLimitMs
        ? upstream.load.report.waiting + upstream.load.report.running / 2
        : 0;
    const distance = upstream.record.failureDomain === ownDomain ? 0 : farRequests;
    return { upstream, cost: upstream.sends.size + reported + distance + random() / 4 };
  });
  costed.sort((a, b) => a.cost - b.cost);
  const [best] = costed;
  return best && { upstream: best.upstream, fetchFrom: undefined, prefillMs: 0, why: 'leastBusy' };
}
