import {
  getOrCreate,
  type Clock,
  type FeatureId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import {
  attributeCrashes,
  endsToIsolate,
  maxEndsPerRequest,
  type Blame,
  type Crash,
  type CrashAttribution,
  type CrashedRequest,
} from '../attributeCrashes/index.js';
import { BlamedFeatures, keyOf, type ServiceBlame } from '../BlamedFeatures/index.js';
import { SoundFeatures } from '../SoundFeatures/index.js';

/** A crash as one instance reports it, with its own requests there. */
export interface CrashReport {
  readonly service: ServiceName;
  readonly upstreamId: UpstreamId;
  /** When the connections were lost, on the monotonic clock in milliseconds. */
  readonly atMs: number;
  readonly requests: readonly ReportedRequest[];
}

/** A request that was running at a crash, and when it was sent, on the monotonic clock in milliseconds. */
export interface ReportedRequest extends CrashedRequest {
  readonly sentMs: number;
  /** Whether it was sent apart from other suspects. */
  readonly isIsolated?: boolean;
}

/** The features of a request that is to be sent. */
export interface SuspectRequest {
  readonly service: ServiceName;
  readonly content: FeatureId;
  readonly parts: readonly FeatureId[];
}

/** An attempt to send a suspect. */
export interface SuspectAttemptRequest extends SuspectRequest {
  /** Names the attempt. */
  readonly attempt: string;
  /** Upstreams to which it may be sent, the preferred one first. */
  readonly candidates: readonly UpstreamId[];
}

/**
 * Whether a request may be sent now: `clear` as any other, `granted` to one upstream and with its result reported,
 * `busy` not before another attempt has ended, `quarantined` not at all.
 */
export type SuspectDecision =
  | { readonly verdict: 'clear' | 'busy' | 'quarantined' }
  | {
      readonly verdict: 'granted';
      readonly upstreamId: UpstreamId;
      /** Whether it is sent apart from other suspects. */
      readonly isIsolated: boolean;
    };

/** Reports within this time are about the same crash of an upstream, in milliseconds. */
const sameCrashMs = 500;
/** Time after which the replies of all instances to a question are known, in milliseconds. */
export const repliesMs = 100;

/** For how long crashes count, and what peers report of suspects, in milliseconds. */
const retentionMs = { crash: 600_000, told: 30_000 } as const;
/**
 * Time after which an attempt without a result no longer counts against its content, and against other requests with
 * its suspect parts, in milliseconds.
 */
const attemptTimeoutMs = { content: 20_000, parts: 5_000 } as const;
/** Number of times that are remembered at which all instances were queried about a feature. */
const maxQuestions = 8;
/** Maximum number of crashes of a service that count, and of requests in each. */
const maxCrashes = 64;
const maxRequestsPerCrash = 256;

interface SentRequest extends CrashedRequest {
  readonly sentMs: number;
}

interface CrashEntry extends Crash {
  readonly requests: SentRequest[];
  isolatedContent: FeatureId | undefined;
}

/** What is known of one service. */
interface ServiceEvidence {
  crashes: CrashEntry[];
  /** What peers have reported of answers. */
  readonly soundMs: Map<FeatureId, number>;
  readonly others: Set<FeatureId>;
  /** Suspects that peers have found, with the number of crashes. */
  readonly told: Map<FeatureId, { readonly crashCount: number; readonly untilMs: number }>;
  /** When all instances were queried about answers to requests with a feature, in order. */
  readonly askedMs: Map<FeatureId, number[]>;
  /** Sets of parts that were blamed here by these crashes. */
  readonly blamedParts: Map<string, readonly FeatureId[]>;
  /** Contents that were blamed here by these crashes. */
  readonly blamedContents: Set<FeatureId>;
  /** Derived from the above; undefined after a change. */
  attribution: CrashAttribution | undefined;
}

/** What changes of what is blamed. */
export interface DerivedBlame {
  readonly isNew: boolean;
  readonly lifted: readonly (readonly FeatureId[])[];
}

/** What the result of an attempt changes. */
export interface FinishedAttempt {
  readonly service: ServiceName;
  readonly lifted: readonly (readonly FeatureId[])[];
}

const nothingFound: CrashAttribution = {
  blames: [],
  partBlames: [],
  suspects: new Map(),
  questions: [],
};

interface PendingAttempt {
  readonly request: SuspectRequest;
  readonly upstreamId: UpstreamId;
  readonly isIsolated: boolean;
  readonly grantedMs: number;
}

/**
 * What requests under which upstreams have crashed have in common.
 *
 * A request that ends the upstream which runs it (a query of death) ends the next one as well, whoever sends it; so do
 * others that share what does it. Suspects are sent one at a time, apart from each other; what is blamed is sent
 * nowhere. An answer clears the features of its request.
 *
 * @example
 * suspects.recordCrash({ service, upstreamId, atMs, requests });
 * const decision = suspects.requestAttempt({ service, content, parts, attempt: 'one/1', candidates });
 */
export class SuspectFeatures {
  readonly sound: SoundFeatures;
  readonly blamed: BlamedFeatures;
  readonly #clock: Clock;
  readonly #services = new Map<ServiceName, ServiceEvidence>();
  readonly #attempts = new Map<string, PendingAttempt>();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.sound = new SoundFeatures(clock);
    this.blamed = new BlamedFeatures(clock);
  }

  /** Whether nothing is under suspicion or blamed. */
  get isEmpty(): boolean {
    return this.#services.size === 0 && this.blamed.size === 0;
  }

  /** Number of features that are under suspicion, and of sets of them that are blamed. */
  get counts(): { readonly suspected: number; readonly blamed: number } {
    this.#discardOld();
    let suspected = 0;
    for (const service of this.#services.keys()) suspected += this.suspectsOf(service).size;
    return { suspected, blamed: this.blamed.size };
  }

  /** Records a crash, or further requests that were running at a known one. */
  recordCrash(report: CrashReport): void {
    const evidence = this.#evidenceOf(report.service);
    for (const request of report.requests) {
      const known = evidence.crashes.find((crash) => isSameCrash(crash, report, request));
      const crash = known ?? createCrash(report);
      if (known === undefined) evidence.crashes.push(crash);
      const { content, parts, sentMs } = request;
      if (crash.requests.length < maxRequestsPerCrash)
        crash.requests.push({ content, parts, sentMs });
      const isIsolated = request.isIsolated === true || this.#isIsolatedAt(report, content);
      if (isIsolated) crash.isolatedContent = content;
    }
    evidence.crashes.splice(0, evidence.crashes.length - maxCrashes);
    evidence.attribution = undefined;
  }

  /** Records an answer to a request with the features; returns what is not blamed any more. */
  recordSound(
    service: ServiceName,
    features: readonly FeatureId[],
    atMs: number,
  ): readonly FeatureId[][] {
    const lifted = this.blamed.clearSound(service, features);
    const evidence = this.#services.get(service);
    if (evidence === undefined) return lifted;
    for (const feature of features) {
      const knownMs = evidence.soundMs.get(feature) ?? -Infinity;
      evidence.soundMs.set(feature, Math.max(knownMs, atMs));
      evidence.told.delete(feature);
    }
    evidence.attribution = undefined;
    return lifted;
  }

  /** Records that a peer knows of answers to requests without the features. */
  recordOthers(service: ServiceName, features: readonly FeatureId[]): void {
    const evidence = this.#services.get(service);
    if (evidence === undefined) return;
    for (const feature of features) evidence.others.add(feature);
    evidence.attribution = undefined;
  }

  /** Records that all instances are queried now about answers to requests with what is suspect or in question. */
  recordAsked(service: ServiceName): void {
    const evidence = this.#services.get(service);
    if (evidence === undefined) return;
    const { suspects, questions } = this.#attributionOf(service);
    const nowMs = this.#clock.monotonicMs();
    for (const feature of [...suspects.keys(), ...questions]) {
      const times = getOrCreate(evidence.askedMs, feature, () => []);
      times.push(nowMs);
      times.splice(0, times.length - maxQuestions);
    }
  }

  /** Records what a peer has found to be suspect, and the number of crashes. */
  recordTold(service: ServiceName, suspects: ReadonlyMap<FeatureId, number>): void {
    if (suspects.size === 0 && !this.#services.has(service)) return;
    const untilMs = this.#clock.monotonicMs() + retentionMs.told;
    const { told } = this.#evidenceOf(service);
    told.clear();
    for (const [feature, crashCount] of suspects) told.set(feature, { crashCount, untilMs });
  }

  /**
   * Blames what the crashes of a service show, and lifts what other requests explain by now.
   *
   * @returns whether anything is newly blamed, and what is lifted
   */
  deriveBlame(service: ServiceName): DerivedBlame {
    const evidence = this.#services.get(service);
    if (evidence === undefined) return { isNew: false, lifted: [] };
    evidence.attribution = undefined;
    const { blames, partBlames, suspects } = this.#attributionOf(service);
    const sinceMs = this.#clock.monotonicMs();
    let isNew = false;
    for (const blame of blames) isNew = this.blamed.add({ ...blame, service, sinceMs }) || isNew;
    const excused = [
      ...takeExcusedContents(evidence, blames, suspects),
      ...takeExcusedParts(evidence, partBlames),
    ];
    const lifted = excused.filter((features) => this.blamed.remove(service, features));
    return { isNew, lifted };
  }

  /** Lifts, by an operator's command, all that is blamed and names a feature; returns what that was. */
  lift(feature: FeatureId): ServiceBlame[] {
    const lifted = this.blamed.all().filter(({ features }) => features.includes(feature));
    for (const { service, features } of lifted) this.recordLifted(service, features);
    return lifted;
  }

  /** Records that an operator has lifted a blame; the crashes that led to it count no more. */
  recordLifted(service: ServiceName, features: readonly FeatureId[]): void {
    this.blamed.lift(service, features);
    this.#services.delete(service);
  }

  /** The features under suspicion by the crashes that were reported here, with the number of these. */
  suspectsOf(service: ServiceName): ReadonlyMap<FeatureId, number> {
    return this.#attributionOf(service).suspects;
  }

  /** Services of which crashes were reported here. */
  get services(): readonly ServiceName[] {
    return [...this.#services.keys()];
  }

  /** The crashes that count for a service, as reports for another instance. */
  reportsOf(service: ServiceName): readonly CrashReport[] {
    const crashes = this.#services.get(service)?.crashes ?? [];
    return crashes.map(({ upstreamId, atMs, requests, isolatedContent }) => {
      const isIsolated = ({ content }: SentRequest) => content === isolatedContent;
      const apart = requests.filter(isIsolated).map((one) => ({ ...one, isIsolated: true }));
      const others = requests.filter((one) => !isIsolated(one));
      return { service, upstreamId, atMs, requests: [...apart, ...others] };
    });
  }

  /** Number of crashes that count for a service. */
  crashCount(service: ServiceName): number {
    return this.#services.get(service)?.crashes.length ?? 0;
  }

  /** Parts of which other instances may know later answers than this one. */
  questionsOf(service: ServiceName): readonly FeatureId[] {
    return this.#attributionOf(service).questions;
  }

  /** Whether requests of a service have to be looked at. */
  hasSuspects(service: ServiceName): boolean {
    return this.#services.has(service) || this.blamed.size > 0;
  }

  /** The highest number of crashes for which one of the features is under suspicion; 0 if none is. */
  crashCountOf(service: ServiceName, features: readonly FeatureId[]): number {
    const evidence = this.#services.get(service);
    if (evidence === undefined) return 0;
    const own = this.#attributionOf(service).suspects;
    const nowMs = this.#clock.monotonicMs();
    let highest = 0;
    for (const feature of features) {
      const { crashCount = 0, untilMs = 0 } = evidence.told.get(feature) ?? {};
      highest = Math.max(highest, own.get(feature) ?? 0, untilMs > nowMs ? crashCount : 0);
    }
    return highest;
  }

  /** Queries, after {@link deriveBlame}, whether a request may be sent now; the result is reported by {@link finishAttempt}. */
  requestAttempt(question: SuspectAttemptRequest): SuspectDecision {
    const { service, content, parts, attempt, candidates } = question;
    if (this.blamed.find(service, [content, ...parts]) !== undefined)
      return { verdict: 'quarantined' };
    const contentCrashes = this.crashCountOf(service, [content]);
    const suspectParts = parts.filter((part) => this.crashCountOf(service, [part]) > 0);
    if (contentCrashes === 0 && suspectParts.length === 0) return { verdict: 'clear' };
    this.#discardOverdueAttempts();
    const pending = [...this.#attempts.values()].filter((one) => one.request.service === service);
    const partsSinceMs = this.#clock.monotonicMs() - attemptTimeoutMs.parts;
    const isTaken = (part: FeatureId) =>
      pending.some(
        ({ request, grantedMs }) => grantedMs > partsSinceMs && request.parts.includes(part),
      );
    if (suspectParts.some(isTaken)) return { verdict: 'busy' };
    const ownPending = pending.filter(({ request }) => request.content === content);
    if (contentCrashes + ownPending.length >= maxEndsPerRequest) return { verdict: 'busy' };
    const isIsolated = contentCrashes >= endsToIsolate || suspectParts.length > 0;
    const upstreamId = chooseApart(candidates, pending, isIsolated);
    if (upstreamId === undefined) return { verdict: 'busy' };
    const request = { service, content, parts };
    const grantedMs = this.#clock.monotonicMs();
    this.#attempts.set(attempt, { request, upstreamId, isIsolated, grantedMs });
    return { verdict: 'granted', upstreamId, isIsolated };
  }

  /**
   * Reports that an attempt has its result, and whether the upstream answered it.
   *
   * @returns the service, and what is not blamed any more; undefined if the attempt is not known
   */
  finishAttempt(attempt: string, wasAnswered: boolean): FinishedAttempt | undefined {
    const pending = this.#attempts.get(attempt);
    if (pending === undefined) return undefined;
    this.#attempts.delete(attempt);
    const { service, content, parts } = pending.request;
    if (!wasAnswered) return { service, lifted: [] };
    const lifted = this.recordSound(service, [content, ...parts], this.#clock.monotonicMs());
    return { service, lifted };
  }

  /** Whether a request was sent to the upstream that crashed apart from other suspects. */
  #isIsolatedAt({ upstreamId }: CrashReport, content: FeatureId): boolean {
    return [...this.#attempts.values()].some(
      (one) => one.isIsolated && one.upstreamId === upstreamId && one.request.content === content,
    );
  }

  #evidenceOf(service: ServiceName): ServiceEvidence {
    this.#discardOld();
    return getOrCreate(this.#services, service, () => ({
      crashes: [],
      soundMs: new Map(),
      others: new Set(),
      told: new Map(),
      askedMs: new Map(),
      blamedParts: new Map(),
      blamedContents: new Set(),
      attribution: undefined,
    }));
  }

  #attributionOf(service: ServiceName): CrashAttribution {
    const evidence = this.#services.get(service);
    if (evidence === undefined) return nothingFound;
    const { soundMs, others, crashes, askedMs } = evidence;
    const repliedMs = this.#clock.monotonicMs() - repliesMs;
    evidence.attribution ??= attributeCrashes(crashes, {
      lastSoundMs: (feature) =>
        latest(soundMs.get(feature), this.sound.lastSoundMs(service, feature)),
      hasOthers: (feature) => others.has(feature) || this.sound.hasOthers(service, feature),
      answeredUpToMs: (feature) =>
        askedMs.get(feature)?.findLast((atMs) => atMs <= repliedMs) ?? -Infinity,
    });
    return evidence.attribution;
  }

  #discardOld(): void {
    const nowMs = this.#clock.monotonicMs();
    for (const [service, evidence] of this.#services) {
      const count = evidence.crashes.length;
      evidence.crashes = evidence.crashes.filter(({ atMs }) => nowMs - atMs < retentionMs.crash);
      if (evidence.crashes.length !== count) evidence.attribution = undefined;
      const isTold = [...evidence.told.values()].some(({ untilMs }) => untilMs > nowMs);
      if (evidence.crashes.length === 0 && !isTold) this.#services.delete(service);
    }
  }

  #discardOverdueAttempts(): void {
    const nowMs = this.#clock.monotonicMs();
    for (const [attempt, { grantedMs }] of this.#attempts)
      if (nowMs - grantedMs >= attemptTimeoutMs.content) this.#attempts.delete(attempt);
  }
}

function createCrash({ upstreamId, atMs }: CrashReport): CrashEntry {
  return { upstreamId, atMs, requests: [], isolatedContent: undefined };
}

/** Records which contents are blamed now; returns, once, those that were and whose crashes do not show it any more. */
function takeExcusedContents(
  { crashes, blamedContents }: ServiceEvidence,
  blames: readonly Blame[],
  suspects: ReadonlyMap<FeatureId, number>,
): readonly (readonly FeatureId[])[] {
  const contents = new Set(
    crashes.flatMap(({ requests }) => requests.map(({ content }) => content)),
  );
  for (const { features } of blames)
    for (const feature of features) if (contents.has(feature)) blamedContents.add(feature);
  const excused = [...blamedContents].filter(
    (content) => contents.has(content) && (suspects.get(content) ?? 0) < maxEndsPerRequest,
  );
  for (const content of excused) blamedContents.delete(content);
  return excused.map((content) => [content]);
}

/** Records what is blamed now; returns, once, the sets of parts that were blamed and whose crashes others explain. */
function takeExcusedParts(
  { crashes, blamedParts }: ServiceEvidence,
  blames: readonly Blame[],
): readonly (readonly FeatureId[])[] {
  for (const { features } of blames) blamedParts.set(keyOf(features), features);
  const current = new Set(blames.map(({ features }) => keyOf(features)));
  const excused = [...blamedParts]
    .filter(([key]) => !current.has(key))
    .filter(([, features]) => isExplained(crashes, features, blames));
  for (const [key] of excused) blamedParts.delete(key);
  return excused.map(([, features]) => features);
}

/** Whether at each of the crashes of a set of parts there was a request with all of another set that is blamed. */
function isExplained(
  crashes: readonly Crash[],
  features: readonly FeatureId[],
  blames: readonly Blame[],
): boolean {
  const own = crashes.filter((crash) => hasCarrier(crash, features));
  return (
    own.length > 0 && own.every((crash) => blames.some((one) => hasCarrier(crash, one.features)))
  );
}

function hasCarrier({ requests }: Crash, features: readonly FeatureId[]): boolean {
  return requests.some(({ parts }) => features.every((feature) => parts.includes(feature)));
}

/** A request that was sent after a crash was at another run, also if that started soon after it. */
function isSameCrash(crash: Crash, report: CrashReport, request: ReportedRequest): boolean {
  if (crash.upstreamId !== report.upstreamId || request.sentMs > crash.atMs) return false;
  return Math.abs(crash.atMs - report.atMs) < sameCrashMs;
}

function latest(one: number | undefined, other: number | undefined): number | undefined {
  if (one === undefined || other === undefined) return one ?? other;
  return Math.max(one, other);
}

/**
 * Chooses an upstream for a suspect: one that runs no other suspect, or else, unless it has to be isolated, the one
 * with the fewest; none that runs an isolated one.
 */
function chooseApart(
  candidates: readonly UpstreamId[],
  pending: readonly PendingAttempt[],
  isIsolated: boolean,
): UpstreamId | undefined {
  const free = candidates.map((upstreamId) => {
    const there = pending.filter((one) => one.upstreamId === upstreamId);
    return { upstreamId, count: there.length, isTaken: there.some((one) => one.isIsolated) };
  });
  const usable = free.filter(({ count, isTaken }) => !isTaken && (!isIsolated || count === 0));
  const [first, ...others] = usable;
  if (first === undefined) return undefined;
  return others.reduce((best, one) => (one.count < best.count ? one : best), first).upstreamId;
}
