/**
 * Which upstream a request goes to.
 */
import type { FailureDomainId, Random, UpstreamId } from '@acaciacrank/base';
import {
  chooseOwn,
  estimatePrefill,
  longestHarmlessPrompt,
  placePrompt,
  splitEngines,
  type ChooserPlace,
} from '@acaciacrank/routing';
import type { MovedRun, PromptPart } from '../../types.js';
import type { PartPlaces } from '../PartPlaces/index.js';
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
  /** This instance among the others. */
  readonly place: ChooserPlace;
  /** Where parts were read last. */
  readonly parts: PartPlaces;
  readonly nowMs: number;
  readonly random: Random;
}

type PromptLength = 'ordinary' | 'medium' | 'long';

/** A choice, and what decided it. */
export interface UpstreamPick {
  readonly upstream: Upstream;
  /** Where shared parts of the prompt may be copied from; undefined for nowhere. */
  readonly fetchFrom: string | undefined;
  /** How long the engine will read, in milliseconds; 0 for plain services. */
  readonly prefillMs: number;
  readonly why: PromptLength | 'leastBusy' | 'moved';
  /** Where the run's memory lies, when the request goes on at another engine. */
  readonly movedFrom?: MovedRun;
}

/** What another failure domain counts for in a plain service's load, in requests: it is 1 to 3 ms away. */
const farRequests = 0.5;
/** A report older than this says nothing of the load now, in milliseconds. */
const reportAgeLimitMs = 1_000;
/**
 * The shares of engines for ordinary, medium and long prompts, about what each has to be read where
 * few prompts hold most of the tokens.
 */
const groupShares = [0.4, 0.3, 0.3] as const;
/** Prompts up to this share of the longest harmless length are ordinary: two may be read at once. */
const ordinaryShare = 0.5;

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
): UpstreamPick | undefined {
  const { promptTokens, parts, place: chooser } = request;
  const [ordinary = [], medium = [], long = []] = splitEngines(usable, groupShares);
  const own = request.promptParts.at(-1)?.tokens ?? 0;
  const prefillMs = estimatePrefill(Math.min(own, promptTokens), promptTokens - own);
  const home = placePrompt(shared.id, ordinary);
  const length = lengthOf(request);
  const upstream =
    length === 'ordinary' ? home?.engine : chooseOwn(length === 'medium' ? medium : long, chooser);
  if (upstream === undefined) return undefined;
  // The part is copied from where this instance sent it last, or where all instances begin.
  const lastId = parts.last(shared.id);
  const last = usable.find(({ id }) => id === lastId);
  const holder = last ?? home?.home ?? home?.engine;
  const fetchFrom = holder === upstream ? undefined : holder?.address;
  parts.note(shared.id, upstream.id);
  return { upstream, fetchFrom, prefillMs, why: length };
}

/**
 * Chooses where a stream goes on whose long prompt was just read.
 *
 * @param candidates - usable engines
 * @param source - where it runs
 * @param nowMs - on the monotonic clock
 * @returns an engine that reads no long prompts; undefined where there is none
 */
export function pickMoveTarget(
  candidates: readonly Upstream[],
  source: Upstream,
  nowMs: number,
): Upstream | undefined {
  const [ordinary = []] = splitEngines(candidates, groupShares);
  const usable = ordinary.filter((one) => one !== source && !one.isLeftOut(nowMs));
  return usable.sort((a, b) => a.running - b.running)[0];
}

/** How a prompt's reading bears on the streams of its engine. */
function lengthOf({ promptTokens, gapTargetMs, tokensPerEvent }: PickRequest): PromptLength {
  if (gapTargetMs === undefined) return 'ordinary';
  const harmless = longestHarmlessPrompt({ gapTargetMs, tokensPerEvent });
  if (promptTokens <= ordinaryShare * harmless) return 'ordinary';
  return promptTokens <= harmless ? 'medium' : 'long';
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
  return best && { upstream: best.upstream, fetchFrom: undefined, prefillMs: 0, why: 'leastBusy' };
}
