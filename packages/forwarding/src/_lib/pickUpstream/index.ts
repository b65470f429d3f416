/**
 * Which upstream a request goes to.
 */
import type { FailureDomainId, Random, UpstreamId } from '@acaciacrank/base';
import { rankByKey } from '@acaciacrank/routing';
import type { PromptPart } from '../../types.js';
import type { Upstream } from '../Upstream/index.js';

/** What a choice goes by. */
export interface PickRequest {
  readonly candidates: readonly Upstream[];
  /** Upstreams that had the request already. */
  readonly tried: ReadonlySet<UpstreamId>;
  readonly promptParts: readonly PromptPart[];
  readonly ownDomain: FailureDomainId;
  readonly nowMs: number;
  readonly random: Random;
}

/** A hot part's first engine may have this many requests more than the least busy one. */
const spillRequests = 6;
/** What another failure domain counts for in a plain service's load, in requests: it is 1 to 3 ms away. */
const farRequests = 0.5;
/** A report older than this says nothing of the load now, in milliseconds. */
const reportAgeLimitMs = 1_000;

/**
 * Chooses an upstream.
 *
 * @param request - the candidates and what is known of the request
 * @returns the choice; undefined where no candidate is left
 *
 * @example
 * pickUpstream({ candidates, tried: new Set(), promptParts: [], ownDomain, nowMs, random })?.id;
 */
export function pickUpstream(request: PickRequest): Upstream | undefined {
  const fresh = request.candidates.filter(({ id }) => !request.tried.has(id));
  const sound = fresh.filter((upstream) => !upstream.isLeftOut(request.nowMs));
  // With all of them left out the fault may be the instance's own, so any is better than none.
  const usable = sound.length > 0 ? sound : fresh;
  if (usable.length < 2) return usable[0];
  const shared = lastSharedPart(request.promptParts);
  return shared === undefined ? leastBusy(usable, request) : firstWithRoom(usable, shared);
}

/** The last part that other requests may share; the last part of all belongs to the request. */
function lastSharedPart(parts: readonly PromptPart[]): PromptPart | undefined {
  return parts.length > 1 ? parts[parts.length - 2] : parts[0];
}

function firstWithRoom(usable: readonly Upstream[], part: PromptPart): Upstream | undefined {
  const least = Math.min(...usable.map(({ sends }) => sends.size));
  const ranked = rankByKey(part.id, usable);
  return ranked.find(({ sends }) => sends.size <= least + spillRequests);
}

function leastBusy(usable: readonly Upstream[], request: PickRequest): Upstream | undefined {
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
  return costed[0]?.upstream;
}
