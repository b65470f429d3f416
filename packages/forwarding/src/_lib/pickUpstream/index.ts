/**
 * Which upstream a request goes to.
 */
import type { FailureDomainId, Random, UpstreamId } from '@acaciacrank/base';
import { placePrompt, type EngineModel } from '@acaciacrank/routing';
import type { EngineTraits, PromptPart } from '../../types.js';
import type { PartPlaces } from '../PartPlaces/index.js';
import type { Reading, Upstream } from '../Upstream/index.js';

/** What a choice goes by. */
export interface PickRequest {
  readonly candidates: readonly Upstream[];
  /** Upstreams that had the request already. */
  readonly tried: ReadonlySet<UpstreamId>;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  /** What the service says of its engines. */
  readonly engine: EngineTraits | undefined;
  /** What was learnt of them. */
  readonly model: EngineModel;
  readonly ownDomain: FailureDomainId;
  /** Where parts were read. */
  readonly parts: PartPlaces;
  readonly nowMs: number;
  readonly random: Random;
}

/** A choice, and what decided it. */
export interface UpstreamPick {
  readonly upstream: Upstream;
  /** Where shared parts of the prompt may be copied from; undefined for nowhere. */
  readonly fetchFrom: string | undefined;
  /** What the engine will read; undefined for plain services. */
  readonly reading: Reading | undefined;
  readonly why: 'held' | 'spilled' | 'leastBusy';
}

/** What another failure domain counts for in a plain service's load, in requests: it is 1 to 3 ms away. */
const farRequests = 0.5;
/** A report older than this says nothing of the load now, in milliseconds. */
const reportAgeLimitMs = 1_000;
/** Shared parts are copied where that takes less than this share of reading them. */
const worthwhileCopyShare = 0.5;
const bitsInByte = 8;
const bitsInMegabitPerMs = 1_000;

/**
 * Chooses an upstream.
 *
 * @param request - the candidates and what is known of the request
 * @returns the choice; undefined where no candidate is left
 *
 * @example
 * pickUpstream(request)?.upstream.id;
 */
export function pickUpstream(request: PickRequest): UpstreamPick | undefined {
  const withRoom = request.candidates.filter(
    ({ id, hasRoom }) => hasRoom && !request.tried.has(id),
  );
  const sound = withRoom.filter((upstream) => !upstream.isLeftOut(request.nowMs));
  // With all of them left out the fault may be the instance's own, so any is better than none.
  const usable = sound.length > 0 ? sound : withRoom;
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
): UpstreamPick | undefined {
  const { promptTokens, parts, model, nowMs } = request;
  const ownTokens = Math.min(request.promptParts.at(-1)?.tokens ?? 0, promptTokens);
  const sharedTokens = promptTokens - ownTokens;
  const ownMs = model.readMs(ownTokens, sharedTokens);
  const sharedMs = Math.max(0, model.readMs(promptTokens, 0) - ownMs);
  const holders = parts.holders(shared.id, nowMs);
  const place = placePrompt({ key: shared.id, sharedMs, holders }, usable);
  if (place === undefined) return undefined;
  const { engine: upstream, holder } = place;
  parts.note(shared.id, upstream.id, nowMs);
  const copySharedMs = copyMs(sharedTokens, request.engine);
  const isCopied = holder !== undefined && copySharedMs < worthwhileCopyShare * sharedMs;
  const isHeld = holders.has(upstream.id);
  const extraMs = isCopied ? copySharedMs : sharedMs;
  return {
    upstream,
    fetchFrom: isCopied ? holder.address : undefined,
    reading: {
      expectedMs: ownMs + (isHeld ? 0 : extraMs),
      promptTokens,
      newTokens: ownTokens,
      isHeld,
    },
    why: holder === undefined ? 'held' : 'spilled',
  };
}

/** How long it takes to copy tokens from one engine to another, in milliseconds. */
function copyMs(tokens: number, engine: EngineTraits | undefined): number {
  const { cacheBytesPerToken, copyMbps } = engine ?? {};
  if (cacheBytesPerToken === undefined || copyMbps === undefined) return Infinity;
  return (tokens * cacheBytesPerToken * bitsInByte) / (copyMbps * bitsInMegabitPerMs);
}

function pickLeastBusy(
  usable: readonly Upstream[],
  request: PickRequest,
): UpstreamPick | undefined {
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
  return (
    best && { upstream: best.upstream, fetchFrom: undefined, reading: undefined, why: 'leastBusy' }
  );
}
