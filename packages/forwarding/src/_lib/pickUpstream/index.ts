/**
 * Selects the upstream for a request.
 */
import type { FailureDomainId, Random, UpstreamId } from '@acaciacrank/base';
import { placePrompt, type PrefillTimeModel } from '@acaciacrank/routing';
import type { EngineTraits, PromptPart } from '../../types.js';
import type { PromptPartLocations } from '../PromptPartLocations/index.js';
import type { PrefillEstimate, Upstream } from '../Upstream/index.js';

/** Inputs of a selection. */
export interface PickRequest {
  readonly candidates: readonly Upstream[];
  /** Upstreams that the request was already sent to. */
  readonly attemptedIds: ReadonlySet<UpstreamId>;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Properties of the service's engines from the configuration. */
  readonly engine: EngineTraits | undefined;
  /** Prefill times learned from observed requests. */
  readonly model: PrefillTimeModel;
  readonly ownDomain: FailureDomainId;
  /** Engines that parts of prompts were sent to. */
  readonly promptPartLocations: PromptPartLocations;
  readonly nowMs: number;
  readonly random: Random;
}

/** The selected upstream and the reason for it. */
export interface UpstreamPick {
  readonly upstream: Upstream;
  /**
   * Address of an engine from which the shared prompt parts can be copied; undefined if there is
   * none.
   */
  readonly fetchFrom: string | undefined;
  /** Estimated prefill work of the engine; undefined for plain services. */
  readonly prefill: PrefillEstimate | undefined;
  /**
   * For the log: the engine probably has the shared parts (`held`), it was preferred to a busier one
   * that has them (`spilled`), or it has the lowest load (`leastBusy`).
   */
  readonly why: 'held' | 'spilled' | 'leastBusy';
}

/**
 * Load, in requests, that is added for a plain-service upstream in another failure domain: it is 1
 * to 3 ms away.
 */
const remoteDomainPenalty = 0.5;
/** Load reports older than this are ignored, in milliseconds. */
const maxReportAgeMs = 1_000;
/** Shared prompt parts are copied if that takes less than this fraction of their prefill time. */
const maxCopyTimeShare = 0.5;
const bitsPerByte = 8;
const bitsPerMsPerMbps = 1_000;

/**
 * Selects an upstream for a request.
 *
 * @param request - the candidates and the known properties of the request
 * @returns the selection; undefined if no candidate is left
 *
 * @example
 * pickUpstream(request)?.upstream.id;
 */
export function pickUpstream(request: PickRequest): UpstreamPick | undefined {
  const withCapacity = request.candidates.filter(
    ({ id, hasRoom }) => hasRoom && !request.attemptedIds.has(id),
  );
  const healthy = withCapacity.filter((upstream) => !upstream.isEjected(request.nowMs));
  // If all upstreams are ejected, the cause may be this instance itself, so ejected ones are used
  // as well.
  const usable = preferShared(healthy.length > 0 ? healthy : withCapacity);
  const [first] = usable;
  if (first === undefined) return undefined;
  const shared = lastSharedPart(request.promptParts);
  if (shared === undefined) return pickLeastBusy(usable, request);
  return pickEngine(usable, shared, request);
}

/** Leaves out upstreams that run a request alone which may end them, unless there are no others. */
function preferShared(upstreams: readonly Upstream[]): readonly Upstream[] {
  if (!upstreams.some(({ isIsolated }) => isIsolated)) return upstreams;
  const shared = upstreams.filter(({ isIsolated }) => !isIsolated);
  return shared.length > 0 ? shared : upstreams;
}

/**
 * Returns the last part that other requests may share. The final part of a prompt belongs to the
 * request alone.
 */
export function lastSharedPart(parts: readonly PromptPart[]): PromptPart | undefined {
  return parts.length > 1 ? parts[parts.length - 2] : parts[0];
}

function pickEngine(
  usable: readonly Upstream[],
  shared: PromptPart,
  request: PickRequest,
): UpstreamPick | undefined {
  const { promptTokens, promptPartLocations, model, nowMs } = request;
  const ownTokens = Math.min(request.promptParts.at(-1)?.tokens ?? 0, promptTokens);
  const sharedTokens = promptTokens - ownTokens;
  const ownMs = model.estimatePrefillMs(ownTokens, sharedTokens);
  const sharedPartsMs = Math.max(0, model.estimatePrefillMs(promptTokens, 0) - ownMs);
  const holders = promptPartLocations.enginesWith(shared.id, nowMs);
  const placement = placePrompt({ key: shared.id, sharedPartsMs, holders }, usable);
  if (placement === undefined) return undefined;
  const { engine: upstream, holder } = placement;
  promptPartLocations.recordSent(shared.id, upstream.id, nowMs);
  const sharedCopyMs = copyMs(sharedTokens, request.engine);
  const isSource = holder !== undefined && isSameSoftware(holder, upstream);
  const isCopied = isSource && sharedCopyMs < maxCopyTimeShare * sharedPartsMs;
  const isSharedCached = holders.has(upstream.id);
  const obtainSharedMs = isCopied ? sharedCopyMs : sharedPartsMs;
  return {
    upstream,
    fetchFrom: isCopied ? holder.address : undefined,
    prefill: {
      expectedMs: ownMs + (isSharedCached ? 0 : obtainSharedMs),
      promptTokens,
      newTokens: ownTokens,
      isSharedCached,
    },
    why: holder === undefined ? 'held' : 'spilled',
  };
}

/** Whether two engines run the same software: what one version has cached is not known to fit another. */
function isSameSoftware(one: Upstream, other: Upstream): boolean {
  return one.record.softwareVersion === other.record.softwareVersion;
}

/** Returns the time needed to copy tokens from one engine to another, in milliseconds. */
function copyMs(tokens: number, engine: EngineTraits | undefined): number {
  const { cacheBytesPerToken, copyMbps } = engine ?? {};
  if (cacheBytesPerToken === undefined || copyMbps === undefined) return Infinity;
  return (tokens * cacheBytesPerToken * bitsPerByte) / (copyMbps * bitsPerMsPerMbps);
}

function pickLeastBusy(
  usable: readonly Upstream[],
  request: PickRequest,
): UpstreamPick | undefined {
  const { ownDomain, random } = request;
  let best: Upstream | undefined;
  let bestCost = Infinity;
  for (const upstream of usable) {
    const domainPenalty = upstream.record.failureDomain === ownDomain ? 0 : remoteDomainPenalty;
    const cost = estimateRequests(upstream) + domainPenalty + random() / 4;
    if (cost >= bestCost) continue;
    best = upstream;
    bestCost = cost;
  }
  return best && { upstream: best, fetchFrom: undefined, prefill: undefined, why: 'leastBusy' };
}

/** Estimates the requests at an upstream of a plain service; those that wait count twice. */
function estimateRequests({ inFlight, reportedLoad, reportAgeMs = Infinity }: Upstream): number {
  if (reportedLoad === undefined || reportAgeMs >= maxReportAgeMs) return inFlight.size;
  return inFlight.size + reportedLoad.waiting + reportedLoad.running / 2;
}
