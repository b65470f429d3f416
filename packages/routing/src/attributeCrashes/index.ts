import { getOrCreate, type FeatureId, type UpstreamId } from '@acaciacrank/base';

/** A request that an upstream was running when it crashed. */
export interface CrashedRequest {
  /** What it requests as a whole. */
  readonly content: FeatureId;
  /** The parts of its prompt that others may share; none if its answer had lived on for a while. */
  readonly parts: readonly FeatureId[];
}

/** A crash of an upstream; the time is on the monotonic clock, in milliseconds. */
export interface Crash {
  readonly upstreamId: UpstreamId;
  readonly atMs: number;
  readonly requests: readonly CrashedRequest[];
  /** The request that the upstream was running apart from other suspects; undefined if it ran none so. */
  readonly isolatedContent?: FeatureId | undefined;
}

/** What is known of answers to requests with a feature. */
export interface AnswerKnowledge {
  /** When a request with the feature was last answered, on the monotonic clock; undefined if not known. */
  readonly lastSoundMs: (feature: FeatureId) => number | undefined;
  /** Whether a request without the feature was answered. */
  readonly hasOthers: (feature: FeatureId) => boolean;
  /**
   * Up to when all instances have said whether a request with the feature was answered, on the monotonic clock; negative
   * infinity if they were not queried.
   */
  readonly answeredUpToMs: (feature: FeatureId) => number;
}

/** Features that end upstreams: a request that has all of them is sent to none. */
export interface Blame {
  readonly features: readonly FeatureId[];
  readonly crashCount: number;
}

/** What crashes show of features. */
export interface CrashAttribution {
  readonly blames: readonly Blame[];
  /** Those of them that consist of parts of prompts. */
  readonly partBlames: readonly Blame[];
  /** Features that may end upstreams, with the number of crashes; requests with them are sent with care. */
  readonly suspects: ReadonlyMap<FeatureId, number>;
  /** Parts that were answered before the crashes: other instances may know of later answers. */
  readonly questions: readonly FeatureId[];
}

/** Number of upstreams that may end under one request. */
export const maxEndsPerRequest = 3;
/** Number of ends from which a request is sent to an upstream that runs no other suspect. */
export const endsToIsolate = 2;

/** Crashes from which a part of prompts is a suspect, and from which it can be blamed. */
const partCrashes = { suspect: 2, blame: 3 } as const;
/** Distinct requests in which a part must have been at crashes to be blamed. */
const minContents = 2;
/** Crashes in which nothing but the same parts can be the cause, from which these are blamed. */
const minSupport = 2;
/** Crashes within this time count as one for a part, as when a failure domain goes down, in milliseconds. */
const momentMs = 50;
/**
 * For a part that was answered shortly before the first crash, more is required: many crashes over some time. Upstreams
 * that go down together leave what many requests share without an answer for a moment.
 */
const soundBefore = { withinMs: 60_000, question: 3, crashes: 5, spanMs: 2_000 } as const;

interface PartRecord {
  readonly crashes: Crash[];
  readonly contents: Set<FeatureId>;
}

/**
 * Finds out which features of requests end upstreams: group testing over the requests that were running at crashes.
 *
 * A part counts as a cause of the crashes since a request with it was last answered, provided that it was in different
 * requests and that requests without it are answered. Where several parts were at the same crashes, a request is blamed
 * only if it has all of them; one with some is a suspect, and its answer clears these.
 *
 * @example
 * attributeCrashes(crashes, knowledge).blames;
 * //=> [{ features: ['dd'], crashCount: 3 }]
 */
export function attributeCrashes(
  crashes: readonly Crash[],
  knowledge: AnswerKnowledge,
): CrashAttribution {
  const parts = collectParts(crashes, knowledge);
  const blamable = new Set<FeatureId>();
  const suspects = new Map<FeatureId, number>();
  const questions: FeatureId[] = [];
  for (const [part, record] of parts) {
    if (isQuestion(part, record, knowledge)) questions.push(part);
    if (isSuspect(part, record, knowledge)) suspects.set(part, record.crashes.length);
    if (isBlamable(part, record, knowledge)) blamable.add(part);
  }
  const partBlames = findPartBlames(crashes, blamable, parts, suspects);
  const contents = countContents(crashes, partBlames, suspects, knowledge);
  const contentBlames: Blame[] = [];
  for (const [content, { crashCount, secondMs }] of contents) {
    suspects.set(content, crashCount);
    const isConfirmed = secondMs <= knowledge.answeredUpToMs(content);
    if (crashCount >= maxEndsPerRequest && isConfirmed)
      contentBlames.push({ features: [content], crashCount });
  }
  return { blames: [...partBlames, ...contentBlames], partBlames, suspects, questions };
}

/** The crashes of each part that no later answer has cleared. */
function collectParts(
  crashes: readonly Crash[],
  { lastSoundMs }: AnswerKnowledge,
): Map<FeatureId, PartRecord> {
  const records = new Map<FeatureId, PartRecord>();
  for (const crash of crashes) {
    for (const { content, parts } of crash.requests) {
      for (const part of parts) {
        if (isCleared(crash, lastSoundMs(part))) continue;
        const record = getOrCreate<FeatureId, PartRecord>(records, part, () => ({
          crashes: [],
          contents: new Set(),
        }));
        if (record.crashes.at(-1) !== crash) record.crashes.push(crash);
        record.contents.add(content);
      }
    }
  }
  return records;
}

function isCleared({ atMs }: Crash, lastSoundMs: number | undefined): boolean {
  return lastSoundMs !== undefined && lastSoundMs >= atMs;
}

function isSuspect(part: FeatureId, record: PartRecord, knowledge: AnswerKnowledge): boolean {
  if (wasSoundBefore(part, record, knowledge)) return false;
  return countMoments(record.crashes) >= partCrashes.suspect;
}

function isBlamable(part: FeatureId, record: PartRecord, knowledge: AnswerKnowledge): boolean {
  const { crashes, contents } = record;
  if (contents.size < minContents || !knowledge.hasOthers(part)) return false;
  const upToMs = knowledge.answeredUpToMs(part);
  const confirmed = crashes.filter(({ atMs }) => atMs <= upToMs);
  const confirmedMoments = countMoments(confirmed);
  if (wasSoundBefore(part, record, knowledge))
    return confirmedMoments >= soundBefore.crashes && spanOf(confirmed) >= soundBefore.spanMs;
  return confirmedMoments >= partCrashes.suspect && countMoments(crashes) >= partCrashes.blame;
}

function isQuestion(part: FeatureId, record: PartRecord, knowledge: AnswerKnowledge): boolean {
  if (!wasSoundBefore(part, record, knowledge)) return false;
  return countMoments(record.crashes) >= soundBefore.question;
}

/** Whether a request with the part was answered shortly before the first of its crashes. */
function wasSoundBefore(
  part: FeatureId,
  { crashes }: PartRecord,
  { lastSoundMs }: AnswerKnowledge,
): boolean {
  const soundMs = lastSoundMs(part);
  if (soundMs === undefined) return false;
  return Math.min(...crashes.map(({ atMs }) => atMs)) - soundMs < soundBefore.withinMs;
}

function spanOf(crashes: readonly Crash[]): number {
  const times = crashes.map(({ atMs }) => atMs);
  return Math.max(...times) - Math.min(...times);
}

function countMoments(crashes: readonly Crash[]): number {
  const times = crashes.map(({ atMs }) => atMs).sort((a, b) => a - b);
  let count = 0;
  let startedMs = -Infinity;
  for (const atMs of times) {
    if (atMs - startedMs < momentMs) continue;
    count += 1;
    startedMs = atMs;
  }
  return count;
}

/**
 * The parts that explain crashes: greedy set cover. The part that was at the most crashes is blamed for these, together
 * with those that no request there had it without, then the one that was at the most of the others.
 */
function findPartBlames(
  crashes: readonly Crash[],
  blamable: ReadonlySet<FeatureId>,
  parts: ReadonlyMap<FeatureId, PartRecord>,
  suspects: ReadonlyMap<FeatureId, number>,
): Blame[] {
  if (blamable.size === 0) return [];
  const isOpen = (crash: Crash, part: FeatureId) =>
    (blamable.has(part) || suspects.has(part)) && parts.get(part)?.crashes.includes(crash) === true;
  let unexplained = crashes.map((crash) =>
    crash.requests.map((request) => request.parts.filter((part) => isOpen(crash, part))),
  );
  const blames: Blame[] = [];
  for (;;) {
    const cause = findBestPart(unexplained, blamable);
    if (cause === undefined) return blames;
    const explained = unexplained.filter((requests) => hasPart(requests, cause));
    if (explained.length < minSupport) return blames;
    const carriers = explained.flat().filter((request) => request.includes(cause));
    blames.push({ features: intersect(carriers), crashCount: explained.length });
    unexplained = unexplained.filter((requests) => !hasPart(requests, cause));
  }
}

/** The part that was at the most crashes, given as the open parts of each of their requests. */
function findBestPart(
  crashes: readonly (readonly (readonly FeatureId[])[])[],
  blamable: ReadonlySet<FeatureId>,
): FeatureId | undefined {
  let best: { readonly part: FeatureId; readonly crashCount: number } | undefined;
  for (const part of blamable) {
    const crashCount = crashes.filter((requests) => hasPart(requests, part)).length;
    if (crashCount > (best?.crashCount ?? 0)) best = { part, crashCount };
  }
  return best?.part;
}

function hasPart(requests: readonly (readonly FeatureId[])[], part: FeatureId): boolean {
  return requests.some((request) => request.includes(part));
}

/** What all of the sets have in common. */
function intersect(sets: readonly (readonly FeatureId[])[]): readonly FeatureId[] {
  const [first = [], ...others] = sets;
  return first.filter((part) => others.every((set) => set.includes(part)));
}

interface ContentRecord {
  readonly crashes: Crash[];
  isIsolated: boolean;
}

/** Number of crashes under a whole request, and when the second of them was. */
interface ContentCount {
  readonly crashCount: number;
  readonly secondMs: number;
}

/**
 * Counts the crashes under each whole request that no later answer clears. What another request may explain, since it
 * has all of what is blamed or a suspect part, or ended an upstream while it ran apart, does not convict.
 */
function countContents(
  crashes: readonly Crash[],
  blames: readonly Blame[],
  suspects: ReadonlyMap<FeatureId, number>,
  { lastSoundMs }: AnswerKnowledge,
): Map<FeatureId, ContentCount> {
  const records = new Map<FeatureId, ContentRecord>();
  for (const crash of crashes) {
    for (const content of new Set(crash.requests.map((request) => request.content))) {
      if (wasSound(crash, lastSoundMs(content))) continue;
      const record = getOrCreate(records, content, () => ({ crashes: [], isIsolated: false }));
      record.crashes.push(crash);
      record.isIsolated ||= crash.isolatedContent === content;
    }
  }
  const convicted = new Set(
    [...records.values()].filter(
      ({ isIsolated, crashes: own }) => isIsolated && own.length >= maxEndsPerRequest,
    ),
  );
  const counts = new Map<FeatureId, ContentCount>();
  for (const [content, record] of records) {
    const isConvicted = convicted.has(record);
    const isExplained = (crash: Crash) =>
      hasGuiltyBeside(crash, content, blames) ||
      (!isConvicted && hasSuspectBeside(crash, content, suspects)) ||
      (!isConvicted && [...convicted].some(({ crashes: theirs }) => theirs.includes(crash)));
    const unexplained = record.crashes.filter((crash) => !isExplained(crash)).length;
    const crashCount = Math.max(unexplained, Math.min(record.crashes.length, endsToIsolate));
    counts.set(content, { crashCount, secondMs: record.crashes[1]?.atMs ?? Infinity });
  }
  return counts;
}

/** Whether another request at a crash has a suspect part that this one does not have. */
function hasSuspectBeside(
  { requests }: Crash,
  content: FeatureId,
  suspects: ReadonlyMap<FeatureId, number>,
): boolean {
  const own = new Set(
    requests.filter((one) => one.content === content).flatMap(({ parts }) => parts),
  );
  return requests.some(({ parts }) => parts.some((part) => suspects.has(part) && !own.has(part)));
}

/** Whether another request at a crash has all of what is blamed. */
function hasGuiltyBeside(
  { requests }: Crash,
  content: FeatureId,
  blames: readonly Blame[],
): boolean {
  return requests.some(
    (request) =>
      request.content !== content &&
      blames.some(({ features }) => features.every((part) => request.parts.includes(part))),
  );
}

/** Whether a request was answered after a crash, or shortly before it. */
function wasSound({ atMs }: Crash, lastSoundMs: number | undefined): boolean {
  return lastSoundMs !== undefined && lastSoundMs >= atMs - soundBefore.withinMs;
}
