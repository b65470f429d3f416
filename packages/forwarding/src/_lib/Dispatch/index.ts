/**
 * Sends a request to one upstream after another until it succeeds or no retry is possible.
 */
import {
  RouterError,
  toRouterError,
  type Clock,
  type FailureDomainId,
  type Metrics,
  type Random,
  type UpstreamId,
} from '@acaciacrank/base';
import {
  decideHedge,
  isSilent,
  mayContinueStream,
  type HedgeDecision,
  type HedgeRefusal,
  type PrefillTimeModel,
  type RetryShare,
} from '@acaciacrank/routing';
import type { ForwardCodec } from '../../ForwardCodec/index.js';
import type { ReachMonitor } from '../../ReachMonitor/index.js';
import type { RelayPeers } from '../../RelayPeers/index.js';
import type { StreamAffinity } from '../../StreamAffinity/index.js';
import type { RequestQuarantine, SuspectAttempt } from '@acaciacrank/callers';
import type { UpstreamTable } from '../../UpstreamTable/index.js';
import { Attempt, type AttemptOptions } from '../Attempt/index.js';
import { noAnswerOf, type AttemptResult, type PlainResponse } from '../AttemptResult/index.js';
import { isRepeatable, type ForwardCall } from '../ForwardCall/index.js';
import { HedgedAttempts, type Contender, type EndedContender } from '../HedgedAttempts/index.js';
import type { PrefillTimeModels } from '../PrefillTimeModels/index.js';
import { maxConnectAttempts, silenceLimitMs, upstreamInactivityMs } from '../limits/index.js';
import type { TraceStep } from '../RequestTrace/index.js';
import type { PromptPartLocations } from '../PromptPartLocations/index.js';
import { digestContent } from '../digestContent/index.js';
import { recordStreamBegin } from '../recordStreamBegin/index.js';
import type { ResponseMemory } from '../ResponseMemory/index.js';
import { Relay } from '../Relay/index.js';
import type { SilenceProbes } from '../SilenceProbes/index.js';
import { createVersionGoneError } from '../versionErrors/index.js';
import { responseHeaders, writePlainHead } from '../responseHeaders/index.js';
import { lastSharedPart, pickUpstream, type UpstreamPick } from '../pickUpstream/index.js';
import type { InFlightRequest, Upstream } from '../Upstream/index.js';

/** Dependencies shared by all dispatches of an instance. */
export interface DispatchDependencies {
  readonly clock: Clock;
  readonly codec: ForwardCodec;
  readonly upstreams: UpstreamTable;
  readonly retries: RetryShare;
  readonly quarantine: RequestQuarantine;
  readonly reach: ReachMonitor;
  readonly relayPeers: RelayPeers;
  readonly affinity: StreamAffinity;
  readonly ownDomain: FailureDomainId;
  readonly promptPartLocations: PromptPartLocations;
  readonly models: PrefillTimeModels;
  readonly silenceProbes: SilenceProbes;
  readonly responseMemory: ResponseMemory;
  readonly random: Random;
  readonly metrics: Metrics;
}

/**
 * A plain request that may run twice is sent to a second upstream after this many target
 * latencies without an answer.
 */
const slowResponseFactor = 1.5;

/**
 * Bounds of the retry delay sent to a caller when upstreams are at their limits, in milliseconds.
 * The upper bound is low because another instance may have capacity sooner than this one.
 */
const minRetryAfterMs = 100;
const maxRetryAfterMs = 1_000;

/** Attempts at upstreams that ended which do not count against the limit of the route. */
const maxUncountedEnds = 2;

/** Responses with this status or above are retried: the error may be specific to one upstream. */
const firstServerError = 500;

/** Why a request is sent to no further upstream: its route, no other upstream, or the retry budget. */
type RetryRefusal = 'routeLimit' | 'noUpstream' | 'budget';

/** The request at one upstream, or at peers that send it on. */
interface DispatchContender extends Contender {
  /** Undefined for peers. */
  readonly upstream: Upstream | undefined;
  /** Whether it counts against the upstreams that the route allows, and has not ended. */
  readonly isUnderWay: boolean;
}

type DispatchEnd = EndedContender<DispatchContender>;

/** Serves one admitted request. */
export class Dispatch {
  readonly #dependencies: DispatchDependencies;
  readonly #call: ForwardCall;
  readonly #attemptedIds = new Set<UpstreamId>();
  #unsentAttempts = 0;
  #wasRelayed = false;
  #contentDigest: string | undefined;
  /** The attempts that are under way beside each other. */
  #attempts: HedgedAttempts<DispatchContender>;
  #lastHedgeDecision: HedgeDecision | HedgeRefusal | undefined;

  constructor(dependencies: DispatchDependencies, call: ForwardCall) {
    this.#dependencies = dependencies;
    this.#call = call;
    this.#attempts = this.#createAttempts();
  }

  #createAttempts(): HedgedAttempts<DispatchContender> {
    return new HedgedAttempts((ended) => {
      this.#recordEnd(ended);
    });
  }

  /**
   * Serves the request; the response has been written when this returns.
   *
   * @throws RouterError that states why there is no response and whether the request may have run
   */
  async run(): Promise<void> {
    for (;;) {
      if (this.#attemptedIds.size > 0 && this.#mustRelay && (await this.#relay())) return;
      const suspect = this.#isSuspect ? await this.#admitSuspect() : undefined;
      const pick = suspect === undefined ? this.#pick() : this.#pickGranted(suspect);
      if (pick === undefined) {
        suspect?.finish(false);
        throw this.#createUnavailableError();
      }
      if (await this.#handleEnd(await this.#attempt(pick, suspect))) return;
    }
  }

  /** Whether the request is to go on through a peer, since it turned out that no upstream is reached. */
  get #mustRelay(): boolean {
    const { reach, relayPeers } = this.#dependencies;
    return !this.#wasRelayed && !reach.isReached && relayPeers.canRelay(this.#call);
  }

  /** Asks peers once; where none takes the request, a doubt whether upstreams are reached refuses nothing. */
  async #relay(): Promise<boolean> {
    this.#wasRelayed = true;
    if (await new Relay(this.#dependencies, this.#call).run()) return true;
    if (this.#dependencies.reach.reach.state === 'unreached') throw this.#createUnavailableError();
    return false;
  }

  /** Whether upstreams have ended under the request, as far as this instance knows. */
  get #isSuspect(): boolean {
    const { quarantine } = this.#dependencies;
    return !quarantine.suspects.isEmpty && quarantine.isSuspect(this.#content);
  }

  async #admitSuspect(): Promise<SuspectAttempt | undefined> {
    const { quarantine } = this.#dependencies;
    const { deadlineMs, progress, service } = this.#call;
    const request = { digest: this.#content, service: service.name };
    const candidates = () => this.#rankApart();
    const admitting = quarantine.admit({ ...request, candidates, deadlineMs });
    const suspect = await admitting.catch((thrown: unknown) => {
      const { kind, message, ran } = toRouterError(thrown);
      throw progress.mayHaveRun && ran === 'notRun'
        ? new RouterError('upstreamFailed', message)
        : new RouterError(kind, message);
    });
    if (suspect !== undefined) this.#call.trace.add('suspect', { endCount: suspect.endCount });
    return suspect;
  }

  /**
   * The upstreams for a request that may end them, those with the fewest requests first, so that the least is lost
   * with one; what ran beside such a request parts from it.
   */
  #rankApart(): readonly UpstreamId[] {
    const nowMs = this.#dependencies.clock.monotonicMs();
    return this.#usable
      .filter(({ id, hasRoom }) => hasRoom && !this.#attemptedIds.has(id))
      .sort((a, b) => costApart(a, nowMs) - costApart(b, nowMs))
      .map(({ id }) => id);
  }

  #pickGranted({ upstreamId }: SuspectAttempt): UpstreamPick | undefined {
    const upstream = this.#dependencies.upstreams.get(upstreamId);
    return upstream && this.#pickFrom([upstream]);
  }

  /** Chooses among the candidates, or among all upstreams if none of the candidates has room. */
  #pick(isEligible: (upstream: Upstream) => boolean = () => true): UpstreamPick | undefined {
    const { upstreams, random } = this.#dependencies;
    const { head, service } = this.#call;
    const key = lastSharedPart(head.promptParts)?.id ?? String(random());
    const near = this.#filterSuitable(upstreams.candidates(service.name, key));
    const candidates = near.filter(isEligible);
    const all = this.#usable.filter(isEligible);
    const pick = this.#pickProven(candidates);
    return pick ?? (candidates.length < all.length ? this.#pickProven(all) : undefined);
  }

  /** For a stream that has begun, prefers upstreams of which it is known which run they are. */
  #pickProven(candidates: readonly Upstream[]): UpstreamPick | undefined {
    if (this.#call.progress.origin === undefined) return this.#pickFrom(candidates);
    const proven = candidates.filter(({ isRunDoubted }) => !isRunDoubted);
    return this.#pickFrom(proven) ?? this.#pickFrom(candidates);
  }

  /** The upstreams of the service that the request may be sent to. */
  get #usable(): readonly Upstream[] {
    const { upstreams } = this.#dependencies;
    return this.#filterSuitable(upstreams.usable(this.#call.service.name));
  }

  /** Leaves out what may not go on with the stream. */
  #filterSuitable(upstreams: readonly Upstream[]): readonly Upstream[] {
    const { origin } = this.#call.progress;
    if (origin === undefined) return upstreams;
    return upstreams.filter(({ run }) => mayContinueStream(origin, run));
  }

  #pickFrom(candidates: readonly Upstream[]): UpstreamPick | undefined {
    const { ownDomain, promptPartLocations, clock, random } = this.#dependencies;
    const { head, service } = this.#call;
    return pickUpstream({
      candidates,
      attemptedIds: this.#attemptedIds,
      promptParts: head.promptParts,
      promptTokens: head.tokens?.promptTokens ?? 0,
      engine: service.engine,
      model: this.#model,
      ownDomain,
      promptPartLocations,
      nowMs: clock.monotonicMs(),
      random,
    });
  }

  /** Sends the request to one upstream, and to others beside it where that one is silent. */
  async #attempt(pick: UpstreamPick, suspect?: SuspectAttempt): Promise<DispatchEnd> {
    const attempts = this.#createAttempts();
    this.#attempts = attempts;
    attempts.add(this.#start(pick, suspect));
    using _lost = this.#dependencies.reach.onLost(() => {
      this.#relayBeside();
    });
    return await attempts.result();
  }

  #start(pick: UpstreamPick, suspect?: SuspectAttempt): DispatchContender {
    const attempt: Attempt = this.#createAttempt(pick, {
      mayBeSent: () => this.#sendsUnderWay < this.#maxSends,
      onProgress: () => {
        this.#attempts.recordProgress(contender);
      },
      onSilent: (lateMs) => {
        this.#handleSilence(pick.upstream, lateMs);
      },
    });
    const contender: DispatchContender = {
      upstream: pick.upstream,
      ended: this.#runAttempt(pick.upstream, attempt, suspect),
      get isUnderWay() {
        return attempt.isUnderWay;
      },
      supersede: () => {
        attempt.supersede();
      },
    };
    return contender;
  }

  /** Runs one attempt; the result for a suspect is reported also if the caller is gone. */
  async #runAttempt(
    upstream: Upstream,
    attempt: Attempt,
    suspect?: SuspectAttempt,
  ): Promise<AttemptResult> {
    const { quarantine } = this.#dependencies;
    if (suspect !== undefined) upstream.suspects.add(suspect);
    let wasAnswered = false;
    try {
      const result = await attempt.run();
      if (wasSent(result)) this.#call.progress.sendCount += 1;
      wasAnswered = result.kind === 'answer' || result.kind === 'streamed';
      if (wasAnswered) quarantine.recordAnswered(this.#content);
      if (result.kind === 'broken' && result.isConnectionLost) await this.#checkEnd(upstream);
      return result;
    } finally {
      if (suspect !== undefined) upstream.suspects.delete(suspect);
      suspect?.finish(wasAnswered);
    }
  }

  #createAttempt(
    pick: UpstreamPick,
    callbacks: Pick<AttemptOptions, 'mayBeSent' | 'onProgress' | 'onSilent'>,
  ): Attempt {
    const { upstream, fetchFrom, prefill } = pick;
    const { clock, codec, retries, upstreams, responseMemory } = this.#dependencies;
    const call = this.#call;
    if (this.#attemptedIds.size === 0) retries.recordRequest(call.service.name);
    this.#attemptedIds.add(upstream.id);
    call.trace.add('sent', this.#describeSend(pick));
    this.#countAgainstStatements(upstream);
    if (upstream.statements.backoff.recordSend()) upstreams.reportBackoffEnded(upstream);
    return new Attempt({
      ...callbacks,
      clock,
      codec,
      call,
      upstream,
      fetchFrom,
      prefill,
      responseMemory,
      isMixed: upstreams.isMixed(call.service.name),
      isRecordStale: upstreams.isStoreUnavailable,
      onStreamBegun: (run) => {
        recordStreamBegin(call, run, this.#dependencies);
      },
      onFirstEvent: (inFlightRequest) => {
        this.#observePrefill(inFlightRequest);
      },
      onStatement: (received) => {
        upstreams.applyStatement(upstream, received);
      },
      inactivityTimeoutMs: this.#inactivityTimeoutMs,
    });
  }

  /** Number of upstreams that the request was sent to, those included at which it is under way. */
  get #sendsUnderWay(): number {
    const { progress } = this.#call;
    // What was lost with upstreams that ended does not count against the request, within bounds.
    const countedSends = progress.sendCount - Math.min(progress.endedCount, maxUncountedEnds);
    return countedSends + [...this.#attempts.running].filter((one) => one.isUnderWay).length;
  }

  get #maxSends(): number {
    return this.#call.route.maxUpstreams;
  }

  /** Sends the request to a second upstream, or through a peer, beside the one that is silent, if that is allowed. */
  #handleSilence(silent: Upstream, lateMs: number): void {
    if (this.#mustRelay) {
      this.#relayBeside();
      return;
    }
    const { upstreams, silenceProbes, retries } = this.#dependencies;
    const { name: service } = this.#call.service;
    const isEligible = (upstream: Upstream) => this.#mayHedgeAt(upstream);
    const decision = decideHedge({
      isRepeatable: isRepeatable(this.#call),
      isSuspect: this.#isSuspect,
      sends: this.#sendsUnderWay,
      maxSends: this.#maxSends,
      hasCandidate: this.#usable.some(isEligible),
      silence: upstreams.silenceOf(service),
      probes: silenceProbes.countOf(service),
    });
    const isAllowed = decision === 'hedge' || decision === 'probe';
    const hasRetry = isAllowed && retries.tryRetry(service);
    this.#reportSilence(silent, isAllowed && !hasRetry ? 'budget' : decision, lateMs);
    const pick = hasRetry ? this.#pick(isEligible) : undefined;
    if (pick === undefined) return;
    const contender = this.#start(pick);
    this.#attempts.add(contender);
    const probe = decision === 'probe' ? silenceProbes.begin(service) : undefined;
    void contender.ended.then((result) => {
      probe?.[Symbol.dispose]();
      if (!wasSent(result)) retries.returnRetry(service);
    });
  }

  #mayHedgeAt({ id, hasRoom, activity }: Upstream): boolean {
    return hasRoom && !this.#attemptedIds.has(id) && !isSilent(activity, silenceLimitMs);
  }

  /** Lets a peer send the request on beside attempts from which nothing comes, since no upstream is reached. */
  #relayBeside(): void {
    const { retries } = this.#dependencies;
    const { service } = this.#call;
    if (!this.#mustRelay || !isRepeatable(this.#call) || !retries.tryRetry(service.name)) return;
    this.#wasRelayed = true;
    const relay = new Relay(this.#dependencies, this.#call, {
      onProgress: () => {
        this.#attempts.recordProgress(contender);
      },
    });
    const contender: DispatchContender = {
      upstream: undefined,
      isUnderWay: false,
      ended: relay.run().then(
        (isServed) =>
          isServed ? { kind: 'relayed' } : { kind: 'notSent', reason: 'no peer took the request' },
        (thrown: unknown) => {
          const reason = toRouterError(thrown).message;
          return { kind: 'broken', reason, isConnectionLost: false };
        },
      ),
      supersede: () => {
        relay.supersede();
      },
    };
    this.#attempts.add(contender);
  }

  /** Counts a request that is sent although the upstream asked for none. */
  #countAgainstStatements({ statements }: Upstream): void {
    const { metrics } = this.#dependencies;
    if (statements.leavingForMs !== undefined) metrics.count('sentAgainstStatement', 'leaving');
    if (statements.backoff.remainingMs > 0) metrics.count('sentAgainstStatement', 'backoff');
  }

  /** Describes the choice of an upstream for the log. */
  #describeSend({ upstream, fetchFrom, prefill, why }: UpstreamPick): TraceStep {
    const { requestsPerSecond } = upstream.limit;
    const { reportAgeMs, statements } = upstream;
    const { leavingForMs, backoff } = statements;
    return {
      upstreamId: upstream.id,
      softwareVersion: upstream.record.softwareVersion,
      startedAtMs: upstream.record.startedAtMs,
      why,
      fetchFrom,
      backlogMs: Math.round(upstream.backlogMs),
      slotWaitMs: Math.round(upstream.slotWaitMs) || undefined,
      readMs: prefill && Math.round(prefill.expectedMs),
      ownInFlight: upstream.inFlight.size,
      reportedRunning: upstream.reportedLoad?.running,
      reportAgeMs: reportAgeMs && Math.round(reportAgeMs),
      limitPerS: requestsPerSecond === Infinity ? undefined : requestsPerSecond,
      warmUpMs: Math.round(upstream.warmUp.remainingMs) || undefined,
      backoffMs: Math.round(backoff.remainingMs) || undefined,
      leavingForMs: leavingForMs && Math.round(leavingForMs),
      outOf: this.#usable.length,
    };
  }

  /**
   * Adds a sample to the engine model if, as far as this instance can tell, nothing was queued
   * ahead of the prompt.
   */
  #observePrefill({ prefill, sentMs, queuedAheadMs }: InFlightRequest): void {
    if (prefill === undefined || queuedAheadMs > 0 || !prefill.isSharedCached) return;
    const { promptTokens, newTokens } = prefill;
    const elapsedMs = this.#dependencies.clock.monotonicMs() - sentMs;
    this.#model.observePrefill({ newTokens, cachedTokens: promptTokens - newTokens, elapsedMs });
  }

  get #model(): PrefillTimeModel {
    return this.#dependencies.models.get(this.#call.service.name);
  }

  /** How long to wait for an upstream until another one may be asked; undefined if none may. */
  get #inactivityTimeoutMs(): number | undefined {
    const { route } = this.#call;
    if (!isRepeatable(this.#call)) return undefined;
    if (route.kind === 'stream') return Math.max(upstreamInactivityMs, 2 * route.targetLatencyMs);
    return slowResponseFactor * route.targetLatencyMs;
  }

  /** Finds out whether the upstream has ended under the request. */
  async #checkEnd(upstream: Upstream): Promise<void> {
    const underWay = upstream.inFlight.size + 1;
    if (!(await upstream.confirmEnd())) return;
    const { upstreams, quarantine, reach } = this.#dependencies;
    reach.reach.recordConnectFailed(upstream.id);
    if (!(await reach.settle())) return;
    upstreams.reportEnded(upstream, underWay);
    const { id: upstreamId } = upstream;
    const { name: service } = this.#call.service;
    quarantine.recordEnd({ digest: this.#content, service }, upstreamId);
    this.#call.progress.endedCount += 1;
    this.#call.trace.add('upstreamEnded', { upstreamId, underWay, content: this.#content });
  }

  /** The digest of what the request asks for, the same for all attempts to send it. */
  get #content(): string {
    return (this.#contentDigest ??= digestContent(this.#call));
  }

  /** Records the end of one attempt, whether or not others go on. */
  #recordEnd({ contender, result }: DispatchEnd): void {
    const { progress, trace } = this.#call;
    const { upstream } = contender;
    trace.add(result.kind, { upstreamId: upstream?.id, ...describeResult(result) });
    progress.mayHaveRun ||= mayHaveRun(result);
    if (upstream !== undefined) this.#recordResult(upstream, result);
  }

  /** Handles the result of the attempts; returns whether the caller's request is complete. */
  async #handleEnd({ contender, result }: DispatchEnd): Promise<boolean> {
    const call = this.#call;
    switch (result.kind) {
      case 'streamed':
        await call.writer.end();
        return true;
      case 'relayed':
        return true;
      case 'answer':
        if (result.status >= firstServerError && this.#tryTakeRetry()) return false;
        // A stream that has begun cannot end with another response.
        if (call.response.headersSent)
          throw new RouterError('upstreamFailed', 'the upstream did not resume the stream');
        this.#writeResponseHead(result, contender.upstream?.id);
        await call.writer.end(result.body);
        return true;
      case 'notSent':
        this.#unsentAttempts += 1;
        if (this.#unsentAttempts < maxConnectAttempts || this.#mustRelay) return false;
        throw this.#createUnavailableError();
      case 'notRun':
        if (this.#tryTakeRetry()) return false;
        throw this.#createUnavailableError();
      case 'broken':
      case 'superseded':
        if (isRepeatable(call) && this.#tryTakeRetry()) return false;
        throw new RouterError(
          isRepeatable(call) ? 'upstreamFailed' : 'outcomeUnknown',
          result.kind === 'broken' ? result.reason : 'all attempts were aborted',
        );
      case 'deadline':
        throw new RouterError('deadlineExceeded', 'the deadline of the request has passed', {
          ran: call.progress.sendCount > 0 ? 'unknown' : 'notRun',
        });
      case 'callerGone':
        throw new RouterError('cancelled', 'the caller disconnected');
    }
  }

  #writeResponseHead(result: PlainResponse, upstreamId: UpstreamId | undefined): void {
    const { codec } = this.#dependencies;
    const callerHeaders = responseHeaders(this.#call, codec, result.headers, upstreamId);
    writePlainHead(this.#call, result, callerHeaders);
  }

  /**
   * Whether the request may be sent to another upstream. Checks the route's limit and the available
   * upstreams, and takes one retry from the service's retry budget.
   */
  #tryTakeRetry(): boolean {
    const { service } = this.#call;
    if (this.#mustRelay) return this.#dependencies.retries.tryRetry(service.name);
    if (this.#sendsUnderWay >= this.#maxSends) return this.#refuseRetry('routeLimit');
    if (!this.#usable.some(({ id, hasRoom }) => hasRoom && !this.#attemptedIds.has(id)))
      return this.#refuseRetry('noUpstream');
    if (!this.#dependencies.retries.tryRetry(service.name)) return this.#refuseRetry('budget');
    this.#call.trace.add('repeat');
    return true;
  }

  #refuseRetry(why: RetryRefusal): false {
    this.#call.trace.add('noRepeatLeft', { why });
    this.#dependencies.metrics.count('retriesRefused', why);
    return false;
  }

  #createUnavailableError(): RouterError {
    const { progress, service } = this.#call;
    const reason = `no upstream of ${service.name} could take the request`;
    if (progress.mayHaveRun) return new RouterError('upstreamFailed', reason);
    if (progress.origin !== undefined && this.#usable.length === 0) {
      return createVersionGoneError(progress.origin);
    }
    return new RouterError('upstreamUnavailable', reason, this.#retryDelay());
  }

  /** Returns a retry delay if an upstream will have room, otherwise an empty object. */
  #retryDelay(): { retryAfterMs?: number } {
    const { metrics } = this.#dependencies;
    const limited = this.#usable
      .map(({ availability }) => availability)
      .filter(({ bound }) => bound !== undefined);
    if (limited.length === 0) return {};
    metrics.count('refusedAtLimit');
    const { bound, waitMs } = limited.reduce((soonest, other) =>
      other.waitMs < soonest.waitMs ? other : soonest,
    );
    this.#call.trace.add('atLimit', {
      upstreams: limited.length,
      bound,
      waitMs: Math.round(waitMs),
    });
    return { retryAfterMs: Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)) };
  }

  /**
   * Reports whether one upstream is silent, its service, or this process itself stood still, and what is done; the
   * log line of the request shows it once for each decision.
   */
  #reportSilence(
    { id: upstreamId, activity }: Upstream,
    decision: HedgeDecision | HedgeRefusal,
    lateMs: number,
  ): void {
    const { upstreams, metrics } = this.#dependencies;
    const { service, progress, trace } = this.#call;
    metrics.count('hedges', decision);
    if (this.#lastHedgeDecision === decision) return;
    this.#lastHedgeDecision = decision;
    const { sinceReceivedMs, longestWaitMs } = activity;
    trace.add('silent', {
      upstreamId,
      decision,
      sinceReceivedMs: Number.isFinite(sinceReceivedMs) ? Math.round(sinceReceivedMs) : undefined,
      longestWaitMs: Math.round(longestWaitMs),
      timerLateMs: Math.round(lateMs),
      events: progress.events,
      ...upstreams.silenceOf(service.name),
    });
  }

  /** What an upstream was sent and gave no answer to is not assumed to be in its cache. */
  #forgetPart({ id }: Upstream): void {
    const part = lastSharedPart(this.#call.head.promptParts);
    if (part !== undefined) this.#dependencies.promptPartLocations.forget(part.id, id);
  }

  /** Updates metrics and the upstream's health from the result of an attempt. */
  #recordResult(upstream: Upstream, result: AttemptResult): void {
    const { upstreams, metrics } = this.#dependencies;
    metrics.count('attempts', result.kind);
    if (result.kind === 'streamed') upstream.recordSuccess();
    if (result.kind === 'answer' && result.status < firstServerError) upstream.recordSuccess();
    if (result.kind === 'notRun' && result.isWrongUpstream) upstreams.removeMismatched(upstream);
    if (result.kind === 'notSent' && result.isOtherRun) upstreams.removeMismatched(upstream);
    // While no upstream is reached, failures show nothing of the upstream.
    if (!this.#dependencies.reach.isReached) return;
    const isOutrun = result.kind === 'superseded' && result.wasSilent;
    const isFault = result.kind === 'broken' || isOutrun;
    const noAnswer = noAnswerOf(result);
    if (noAnswer !== undefined) this.#forgetPart(upstream);
    if (noAnswer !== undefined) metrics.count('noAnswers', noAnswer);
    if (noAnswer !== undefined) upstream.recordNoAnswer();
    else if (result.kind === 'notSent') upstream.eject();
    else if (!isFault || !upstream.recordFailure()) return;
    upstreams.reportEjected(upstream);
  }
}

/** Orders upstreams for a suspect: those in use first, and among these by their requests. */
function costApart(upstream: Upstream, nowMs: number): number {
  const requests = upstream.inFlight.size + (upstream.reportedLoad?.running ?? 0);
  const ejectedCost = upstream.isEjected(nowMs) ? 1_000_000 : 0;
  return ejectedCost + requests;
}

/** Whether the request may have reached the upstream. */
function wasSent(result: AttemptResult): boolean {
  if ('wasSent' in result) return result.wasSent;
  return result.kind !== 'notSent';
}

/** Whether an upstream may have run the request, as far as the result of one attempt tells. */
function mayHaveRun(result: AttemptResult): boolean {
  if (result.kind === 'answer' || result.kind === 'broken') return true;
  return 'wasSent' in result && result.wasSent;
}

function describeResult(result: AttemptResult): TraceStep {
  if (result.kind === 'answer') return { status: result.status, bytes: result.body.byteLength };
  if (result.kind === 'streamed') return { longestGapMs: result.longestGapMs };
  if (result.kind === 'notRun') return { status: result.status, backoffMs: result.backoffMs };
  if (result.kind === 'notSent') return { reason: result.reason };
  if (result.kind === 'broken') return { reason: result.reason, noAnswer: result.noAnswer };
  if (result.kind === 'superseded')
    return { wasSilent: result.wasSilent, noAnswer: result.noAnswer };
  return {};
}
