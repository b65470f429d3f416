import {
  RouterError,
  type Clock,
  type FeatureId,
  type InstanceId,
  type Log,
  type Metrics,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import type {
  CrashReportMessage,
  FleetLinks,
  FleetMessageOf,
  FleetRpc,
  RegisteredBlame,
  RegisteredQuarantine,
} from '@acaciacrank/fleet';
import {
  rankByKey,
  SuspectFeatures,
  type ServiceBlame,
  type SuspectAttemptRequest,
  type SuspectDecision,
  type SuspectRequest,
} from '@acaciacrank/routing';
import { CrashReporter } from '../_lib/CrashReporter/index.js';
import { SuspectAnnouncer } from '../_lib/SuspectAnnouncer/index.js';

/** Options of {@link RequestQuarantine}. */
export interface RequestQuarantineOptions {
  rpc: FleetRpc;
  links: FleetLinks;
  clock: Clock;
  instanceId: InstanceId;
  /** The instances that currently live, including this one. */
  live: () => readonly InstanceId[];
  /** All other instances that may serve callers, leaving and suspected ones included. */
  peers: () => readonly InstanceId[];
  /** Called when this instance blames features that were not blamed before. */
  onBlame?: () => void;
  /** Writes what this instance registers in the store, and reads what others have; by default nothing is registered. */
  exchange?: () => Promise<void>;
  log: Log;
  metrics: Metrics;
}

/** What a request has in common with others. */
export interface RequestFeatures {
  readonly service: ServiceName;
  /** The parts of its prompt that others may share. */
  readonly parts: readonly FeatureId[];
  /** All that it is for; a digest of it is computed once, when it is needed. */
  readonly content: FeatureId;
  /** Those of its features that are known without computing a digest. */
  readonly known: readonly FeatureId[];
}

/** A request whose upstream crashed. */
export interface CrashedAttempt {
  readonly features: RequestFeatures;
  readonly upstreamId: UpstreamId;
  /** When it was sent and when its connection was lost, on the monotonic clock in milliseconds. */
  readonly sentMs: number;
  readonly lostMs: number;
  /** Whether its answer had lived on for a while, so that no part of its prompt is suspect. */
  readonly hasLivedOn: boolean;
}

/** An attempt to send a request under suspicion. */
export interface SuspectAttempt {
  /** The upstream to send it to. */
  readonly upstreamId: UpstreamId;
  /** Number of crashes for which the request is under suspicion. */
  readonly endCount: number;
  /** Reports the result: whether the upstream answered, so that the request did not end it. */
  finish(wasAnswered: boolean): void;
}

/** A question whether a request may be sent. */
export interface SuspectQuestion {
  readonly features: RequestFeatures;
  /** Returns the upstreams to which it may be sent now, the preferred one first. */
  readonly candidates: () => readonly UpstreamId[];
  /** Until when the question may be repeated, on the monotonic clock in milliseconds. */
  readonly deadlineMs: number;
}

interface IsolatedAttempt {
  readonly upstreamId: UpstreamId;
  readonly content: FeatureId;
}

/** Number of instances that know of the crashes at a service: its home and one that can take its place. */
const homeCount = 2;
/** Limits on the items of one message. */
const maxInMessage = { parts: 64, candidates: 32, blames: 64 } as const;
/** Maximum number of registered crashes that are remembered. */
const maxKnownCrashes = 4_096;
/** Timeout of a home's reply, in milliseconds. */
const replyTimeoutMs = 200;
/** Time between two questions while another attempt is under way, and for how long they are queried, in ms. */
const busyPoll = { intervalMs: 100, limitMs: 1_000 } as const;

/**
 * Keeps requests that end upstreams (queries of death), and others that share the cause, from ending more, whichever
 * instance receives them.
 *
 * An instance whose requests were at an upstream when it crashed reports them to the home of the service, the first of
 * the live instances in the rendezvous order of the service's name. The home informs all instances of suspects and of
 * what it blames; an instance that is about to send a suspect requests the home's permission. No other request causes
 * a message, or a digest of its content.
 */
export class RequestQuarantine implements Disposable {
  readonly suspects: SuspectFeatures;
  readonly #options: RequestQuarantineOptions;
  readonly #subscriptions: readonly Disposable[];
  readonly #reporter: CrashReporter;
  readonly #announcer: SuspectAnnouncer;
  /** Crashes that other instances have registered in the store, by instance, run and upstream. */
  readonly #knownCrashes = new Set<string>();
  /** Attempts of this instance that run apart from other suspects. */
  readonly #isolated = new Map<string, IsolatedAttempt>();
  #attemptCount = 0;

  constructor(options: RequestQuarantineOptions) {
    this.#options = options;
    const { clock, links, rpc } = options;
    this.suspects = new SuspectFeatures(clock);
    this.#announcer = new SuspectAnnouncer({
      suspects: this.suspects,
      clock,
      sendToAll: (message) => {
        for (const peer of options.peers()) this.#send(peer, message);
      },
      onDue: (service) => {
        this.#announce(service);
      },
    });
    this.#reporter = new CrashReporter({
      ...options,
      homesOf: (service) => this.homesOf(service),
      hasPeers: () => options.peers().length > 0,
      onReply: (service, home, { blames, suspects, questions }) => {
        const found = { blames, suspects, questions };
        this.#receiveSuspects({ kind: 'crashSuspects', service, ...found }, home);
      },
      exchange: options.exchange,
    });
    this.#subscriptions = [
      rpc.answer('crashReport', ({ report }) => {
        this.#addReport(report);
        const { blames, suspects, questions } = this.#announcer.describe(report.service);
        return { kind: 'crashReport', blames, suspects, questions };
      }),
      links.subscribe((message, from) => {
        this.#receive(message, from);
      }),
      rpc.answer('suspectAttempt', ({ service, content, parts, attempt, candidates }) => {
        const question = { service, content, parts, attempt, candidates };
        const decision = this.#decide(question);
        this.#announceDerived(service);
        return {
          kind: 'suspectAttempt',
          ...decision,
          blames: this.#announcer.describeBlames(service),
        };
      }),
    ];
  }

  /** Whether this instance knows of a reason not to send the request like any other. */
  isSuspect({ service, parts, content }: RequestFeatures): boolean {
    const features = [content, ...parts];
    if (this.suspects.blamed.find(service, features) !== undefined) return true;
    return this.suspects.crashCountOf(service, features) > 0;
  }

  /** Number of crashes for which the request is under suspicion. */
  crashCountOf(features: RequestFeatures): number {
    const { suspects } = this;
    if (suspects.isEmpty) return 0;
    return suspects.crashCountOf(features.service, [features.content, ...features.parts]);
  }

  /**
   * Records that an upstream answers a request.
   *
   * @param isComplete - whether the answer is complete; otherwise it has lived on for a while
   */
  recordAnswered(features: RequestFeatures, isComplete = true): void {
    const { service } = features;
    const { suspects } = this;
    const answered = suspects.hasSuspects(service)
      ? [...(isComplete ? [features.content] : []), ...features.parts]
      : features.known;
    suspects.sound.record(service, answered);
    if (suspects.isEmpty) return;
    const cleared = answered.filter((feature) => suspects.crashCountOf(service, [feature]) > 0);
    const blame = suspects.blamed.find(service, answered);
    const sound = [...new Set([...cleared, ...(blame?.features ?? [])])];
    if (sound.length === 0) return;
    const lifted = suspects.recordSound(service, sound, this.#options.clock.monotonicMs());
    this.#sendLifted(service, lifted);
    this.#announce(service);
    const message = { sound: sound.map((feature) => ({ feature, ageMs: 0 })), others: [] };
    for (const home of this.homesOf(service))
      this.#send(home, { kind: 'soundFeatures', service, ...message });
  }

  /**
   * Records that an upstream crashed under a request of this instance, and reports it to the homes of its service.
   *
   * @returns resolves when this instance knows what the crashes show by now, or after a short time
   */
  recordCrash({ features, upstreamId, sentMs, lostMs, hasLivedOn }: CrashedAttempt): Promise<void> {
    const { service, content } = features;
    const parts = hasLivedOn ? [] : features.parts.slice(0, maxInMessage.parts);
    const isIsolated = [...this.#isolated.values()].some(
      (one) => one.upstreamId === upstreamId && one.content === content,
    );
    const request = { content, parts, sentMs, isIsolated };
    const crash = { service, upstreamId, atMs: lostMs };
    this.suspects.recordCrash({ ...crash, requests: [request] });
    this.#announce(service);
    return this.#reporter.report(crash, request);
  }

  /**
   * Requests permission to send a request that may be under suspicion.
   *
   * @returns the attempt, whose result is to be reported; undefined if the request is clear
   * @throws RouterError `requestQuarantined`, or `upstreamUnavailable` if other attempts are under way
   */
  async admit(question: SuspectQuestion): Promise<SuspectAttempt | undefined> {
    const { clock, metrics } = this.#options;
    const untilMs = Math.min(question.deadlineMs, clock.monotonicMs() + busyPoll.limitMs);
    for (;;) {
      this.#attemptCount += 1;
      const attempt = `${this.#options.instanceId}/${this.#attemptCount}`;
      const endCount = this.crashCountOf(question.features);
      const { decision, home } = await this.#ask(question, attempt);
      metrics.count('suspectAttempts', decision.verdict);
      if (decision.verdict === 'clear') return undefined;
      if (decision.verdict === 'granted') {
        const { upstreamId, isIsolated } = decision;
        if (isIsolated)
          this.#isolated.set(attempt, { upstreamId, content: question.features.content });
        const finish = (wasAnswered: boolean) => {
          this.#isolated.delete(attempt);
          this.#finish(home, attempt, wasAnswered);
        };
        return { upstreamId, endCount, finish };
      }
      if (decision.verdict === 'quarantined') throw createQuarantinedError();
      if (clock.monotonicMs() + busyPoll.intervalMs >= untilMs) {
        throw new RouterError('upstreamUnavailable', 'a request like this one is being tried');
      }
      await clock.sleep(busyPoll.intervalMs);
    }
  }

  /** Informs a peer of all that is blamed, as when it becomes live, and of the crashes of services whose home it is. */
  sendAllTo(peer: InstanceId): void {
    for (const service of this.suspects.services)
      if (this.homesOf(service).includes(peer))
        this.#reporter.forward(peer, this.suspects.reportsOf(service));
    for (const service of new Set(this.suspects.blamed.all().map((blame) => blame.service)))
      if (this.#isHomeOf(service)) this.#send(peer, this.#announcer.describe(service));
  }

  /** What this instance registers in the store, for instances that no peer reaches or that start. */
  get registered(): RegisteredQuarantine | undefined {
    const blames = this.suspects.blamed.witnessed().slice(0, maxInMessage.blames);
    const crashes = this.#reporter.registered;
    if (blames.length === 0 && crashes.length === 0) return undefined;
    return { blames: blames.map(toRegisteredBlame), crashes };
  }

  /** Adds what another instance has registered in the store. */
  addRegistered(run: string, { blames, crashes }: RegisteredQuarantine): void {
    const sinceMs = this.#options.clock.monotonicMs();
    for (const blame of blames) this.suspects.blamed.addTold({ ...blame, sinceMs });
    for (const crash of crashes) {
      const key = `${run}/${crash.service}/${crash.upstreamId}`;
      if (this.#knownCrashes.has(key)) continue;
      this.#knownCrashes.add(key);
      if (this.#knownCrashes.size > maxKnownCrashes) this.#knownCrashes.clear();
      this.#addReport(crash);
    }
  }

  /**
   * Lifts what is blamed and names a feature, at all instances.
   *
   * @returns number of blames that are lifted
   */
  lift(feature: FeatureId): number {
    const lifted = this.suspects.lift(feature);
    for (const { service, features } of lifted) {
      this.#options.log.warn({ service, features }, 'blame lifted by an operator');
      this.#sendLifted(service, [features], true);
    }
    return lifted.length;
  }

  /** The home of a service, and the instance that takes its place. */
  homesOf(service: ServiceName): readonly InstanceId[] {
    const candidates = this.#options.live().map((id) => ({ id }));
    return rankByKey(service, candidates)
      .slice(0, homeCount)
      .map(({ id }) => id);
  }

  [Symbol.dispose](): void {
    for (const subscription of this.#subscriptions) subscription[Symbol.dispose]();
  }

  /** Asks the homes in turn; where none replies, what this instance knows decides. */
  async #ask(
    { features, candidates }: SuspectQuestion,
    attempt: string,
  ): Promise<{ readonly decision: SuspectDecision; readonly home: InstanceId }> {
    const { instanceId } = this.#options;
    const { service, content } = features;
    const parts = features.parts.slice(0, maxInMessage.parts);
    const request = { service, content, parts };
    const choice = candidates().slice(0, maxInMessage.candidates);
    const isBlamed = this.suspects.blamed.find(service, [content, ...parts]) !== undefined;
    if (isBlamed) return { decision: { verdict: 'quarantined' }, home: instanceId };
    for (const home of this.homesOf(service)) {
      if (home === instanceId) break;
      const decision = await this.#askHome(home, request, { attempt, candidates: choice });
      if (decision !== undefined) return { decision, home };
    }
    const decision = this.#decide({ ...request, attempt, candidates: choice });
    this.suspects.recordAsked(service);
    this.#announceDerived(service);
    return { decision, home: instanceId };
  }

  /** Decides by what this instance knows, after it has blamed what that shows. */
  #decide(question: SuspectAttemptRequest): SuspectDecision {
    this.#derive(question.service);
    return this.suspects.requestAttempt(question);
  }

  async #askHome(
    home: InstanceId,
    request: SuspectRequest,
    { attempt, candidates }: { readonly attempt: string; readonly candidates: UpstreamId[] },
  ): Promise<SuspectDecision | undefined> {
    const { rpc } = this.#options;
    const { service, content } = request;
    const parts = [...request.parts];
    try {
      const { verdict, upstreamId, isIsolated, blames } = await rpc.ask(
        home,
        { kind: 'suspectAttempt', service, content, parts, attempt, candidates },
        { timeoutMs: replyTimeoutMs },
      );
      this.#addBlames(service, blames);
      if (verdict !== 'granted') return { verdict };
      if (upstreamId === undefined) return undefined;
      return { verdict, upstreamId, isIsolated: isIsolated === true };
    } catch {
      // The next one in the order takes its place.
      return undefined;
    }
  }

  #finish(home: InstanceId, attempt: string, wasAnswered: boolean): void {
    // A crash under the attempt has to be known before its end.
    void this.#reporter.flush();
    if (home === this.#options.instanceId) this.#finishOwn(attempt, wasAnswered);
    else this.#send(home, { kind: 'suspectAttemptEnded', attempt, wasAnswered });
  }

  #finishOwn(attempt: string, wasAnswered: boolean): void {
    const finished = this.suspects.finishAttempt(attempt, wasAnswered);
    if (finished === undefined) return;
    this.#sendLifted(finished.service, finished.lifted);
    this.#announce(finished.service);
  }

  #receive(message: Parameters<Parameters<FleetLinks['subscribe']>[0]>[0], from: InstanceId): void {
    if (message.kind === 'crashSuspects') this.#receiveSuspects(message, from);
    if (message.kind === 'blameLifted') this.#receiveLifted(message);
    if (message.kind === 'soundFeatures') this.#receiveSound(message);
    if (message.kind === 'suspectAttemptEnded')
      this.#finishOwn(message.attempt, message.wasAnswered);
  }

  #addReport({ service, upstreamId, ageMs, requests }: CrashReportMessage): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.suspects.recordCrash({
      service,
      upstreamId,
      atMs: nowMs - ageMs,
      requests: requests.map(({ content, parts, sentAgeMs, isIsolated = false }) => {
        return { content, parts, sentMs: nowMs - sentAgeMs, isIsolated };
      }),
    });
    this.#announce(service);
  }

  #receiveSuspects(message: FleetMessageOf<'crashSuspects'>, from: InstanceId): void {
    const { service, blames, suspects, questions } = message;
    this.#addBlames(service, blames);
    const found = new Map(suspects.map(({ feature, crashCount }) => [feature, crashCount]));
    this.suspects.recordTold(service, found);
    this.#reportSound(from, service, [...found.keys(), ...questions]);
  }

  /** Reports to the home of a service what this instance knows of answers with and without its suspects. */
  #reportSound(home: InstanceId, service: ServiceName, features: readonly FeatureId[]): void {
    const { clock } = this.#options;
    const { sound: memory } = this.suspects;
    const nowMs = clock.monotonicMs();
    const sound = features.flatMap((feature) => {
      const soundMs = memory.lastSoundMs(service, feature);
      return soundMs === undefined ? [] : [{ feature, ageMs: Math.max(0, nowMs - soundMs) }];
    });
    const others = features.filter((feature) => memory.hasOthers(service, feature));
    if (sound.length === 0 && others.length === 0) return;
    this.#send(home, { kind: 'soundFeatures', service, sound, others });
  }

  #receiveSound({ service, sound, others }: FleetMessageOf<'soundFeatures'>): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const { feature, ageMs } of sound)
      this.suspects.recordSound(service, [feature], nowMs - ageMs);
    this.suspects.recordOthers(service, others);
    this.#announce(service);
  }

  /** Adds what a peer blames. */
  #addBlames(service: ServiceName, blames: FleetMessageOf<'crashSuspects'>['blames']): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const { features, crashCount, ageMs } of blames) {
      this.suspects.blamed.addTold({ service, features, crashCount, sinceMs: nowMs - ageMs });
    }
  }

  /** Blames what the crashes of a service show, and lifts what they do not show any more. */
  #derive(service: ServiceName): void {
    const { log, onBlame } = this.#options;
    const { isNew, lifted } = this.suspects.deriveBlame(service);
    if (isNew) log.warn({ ...this.#announcer.describe(service) }, 'requests end upstreams');
    if (isNew) onBlame?.();
    this.#sendLifted(service, lifted);
  }

  /** As the home of a service, blames what its crashes show, and informs all instances of any change. */
  #announce(service: ServiceName): void {
    if (!this.#isHomeOf(service)) return;
    this.#derive(service);
    this.#announcer.announce(service);
  }

  /** As the home of a service, informs all instances of any change, after {@link RequestQuarantine.#derive}. */
  #announceDerived(service: ServiceName): void {
    if (this.#isHomeOf(service)) this.#announcer.announce(service);
  }

  #isHomeOf(service: ServiceName): boolean {
    return this.homesOf(service).includes(this.#options.instanceId);
  }

  #sendLifted(
    service: ServiceName,
    lifted: readonly (readonly FeatureId[])[],
    isByOperator = false,
  ): void {
    if (lifted.length === 0) return;
    if (!isByOperator) this.#options.log.info({ service, lifted }, 'blame lifted');
    const blames = lifted.slice(0, maxInMessage.blames).map((features) => [...features]);
    for (const peer of this.#options.peers())
      this.#send(peer, { kind: 'blameLifted', service, blames, isByOperator });
  }

  #receiveLifted({ service, blames, isByOperator }: FleetMessageOf<'blameLifted'>): void {
    this.#options.log.info({ service, lifted: blames, isByOperator }, 'blame lifted by a peer');
    for (const features of blames) {
      if (isByOperator) this.suspects.recordLifted(service, features);
      else this.suspects.blamed.remove(service, features);
    }
  }

  #send(to: InstanceId, message: Parameters<FleetLinks['send']>[1]): void {
    const { instanceId, links } = this.#options;
    if (to !== instanceId) links.send(to, message);
  }
}

function toRegisteredBlame({ service, features, crashCount }: ServiceBlame): RegisteredBlame {
  return { service, features, crashCount };
}

function createQuarantinedError(): RouterError {
  return new RouterError('requestQuarantined', 'upstreams ended under requests like this one');
}
