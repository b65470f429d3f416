/**
 * Sends a request to one upstream after another until it succeeds or no retry is possible.
 */
import { RouterError, toRouterError, type UpstreamId } from '@acaciacrank/base';
import {
  combineKnowledge,
  livedOnMs,
  mayHaveRun,
  type PrefillTimeModel,
  type ResendDecision,
  type ResendRefusal,
  type SendGate,
} from '@acaciacrank/routing';
import type { ForwardCodec } from '../../ForwardCodec/index.js';
import type { ReachMonitor } from '../../ReachMonitor/index.js';
import type { RelayPeers } from '../../RelayPeers/index.js';
import type { StreamAffinity } from '../../StreamAffinity/index.js';
import type { RequestQuarantine, SuspectAttempt } from '@acaciacrank/callers';
import { Attempt, type AttemptOptions } from '../Attempt/index.js';
import {
  firstServerError,
  knowledgeOf,
  noAnswerOf,
  wasSent,
  type AttemptResult,
  type PlainResponse,
} from '../AttemptResult/index.js';
import { CallFeatures } from '../CallFeatures/index.js';
import { decideSend, isRepeatable, type ForwardCall } from '../ForwardCall/index.js';
import {
  HedgePermits,
  type HedgePermit,
  type HedgePermitsDependencies,
} from '../HedgePermits/index.js';
import { HedgedAttempts, type Contender, type EndedContender } from '../HedgedAttempts/index.js';
import { connectAttempts, upstreamInactivityMs } from '../limits/index.js';
import { createUnavailableError } from '../createUnavailableError/index.js';
import { describeResult, describeSend } from '../describeAttempt/index.js';
import { recordStreamBegin } from '../recordStreamBegin/index.js';
import type { ResponseMemory } from '../ResponseMemory/index.js';
import { Relay } from '../Relay/index.js';
import { responseHeaders, writePlainHead } from '../responseHeaders/index.js';
import { lastSharedPart, type UpstreamPick } from '../pickUpstream/index.js';
import { UpstreamChooser, type UpstreamChooserDependencies } from '../UpstreamChooser/index.js';
import type { InFlightRequest, Upstream } from '../Upstream/index.js';

/** Dependencies shared by all dispatches of an instance. */
export interface DispatchDependencies
  extends UpstreamChooserDependencies, HedgePermitsDependencies {
  readonly codec: ForwardCodec;
  readonly quarantine: RequestQuarantine;
  readonly reach: ReachMonitor;
  readonly relayPeers: RelayPeers;
  readonly affinity: StreamAffinity;
  readonly responseMemory: ResponseMemory;
  readonly sendGate: SendGate;
}

/**
 * A plain request that may run twice is sent to a second upstream after this many target
 * latencies without an answer.
 */
const slowResponseFactor = 1.5;

/** Attempts at upstreams that ended which do not count against the limit of the route. */
const maxUncountedEnds = 2;

/** Maximum number of prompt parts in a line of the log. */
const maxTracedParts = 8;

/** Why a request is sent to no further upstream: the rule of sends, no other upstream, or the retry budget. */
type RetryRefusal = ResendRefusal | 'noUpstream' | 'budget';

/** The request at one upstream, or at peers that send it on. */
interface DispatchContender extends Contender {
  /** Undefined for peers. */
  readonly upstream: Upstream | undefined;
  /** Number of upstreams at which it is under way, or may be if a peer sends it. */
  readonly sendsUnderWay: number;
  /** Whether nothing has arrived from it for a while. */
  readonly isSilent: boolean;
}

type DispatchEnd = EndedContender<DispatchContender>;

/** Serves one admitted request. */
export class Dispatch {
  readonly #dependencies: DispatchDependencies;
  readonly #call: ForwardCall;
  readonly #chooser: UpstreamChooser;
  #unsentAttempts = 0;
  /** Time that attempts have taken which were not sent, in milliseconds. */
  #unsentMs = 0;
  #wasRelayed = false;
  readonly #features: CallFeatures;
  /** The attempts that are under way beside each other. */
  readonly #attempts = new HedgedAttempts<DispatchContender>({
    onEnded: (ended) => {
      this.#handleContenderEnd(ended);
    },
    hasBegun: () => this.#call.progress.events > 0,
  });
  readonly #permits: HedgePermits;

  constructor(dependencies: DispatchDependencies, call: ForwardCall) {
    this.#dependencies = dependencies;
    this.#call = call;
    this.#features = new CallFeatures(call);
    this.#chooser = new UpstreamChooser(dependencies, call);
    this.#permits = new HedgePermits(dependencies, call, this.#chooser);
  }

  /**
   * Serves the request; the response has been written when this returns.
   *
   * @throws RouterError that states why there is no response and whether the request may have run
   */
  async run(): Promise<void> {
    using _permits = this.#permits;
    for (;;) {
      if (this.#chooser.hasAttempted && this.#mustRelay && (await this.#relay())) return;
      const suspect = this.#isSuspect ? await this.#admitSuspect() : undefined;
      const pick =
        suspect === undefined ? this.#chooser.pick() : this.#chooser.pickOnly(suspect.upstreamId);
      if (pick === undefined) {
        suspect?.finish(false);
        throw this.#createUnavailableError();
      }
      const startedMs = this.#dependencies.clock.monotonicMs();
      const end = await this.#attempt(pick, suspect);
      if (end.result.kind === 'notSent') this.#recordUnsent(startedMs);
      if (await this.#handleEnd(end)) return;
    }
  }

  /** Whether the request is to continue through a peer, since it turned out that no upstream is reached. */
  get #mustRelay(): boolean {
    const { reach, relayPeers } = this.#dependencies;
    return !this.#wasRelayed && !reach.isReached && relayPeers.canRelay(this.#call);
  }

  /** Asks peers once; where none takes the request, a doubt whether upstreams are reached refuses nothing. */
  async #relay(): Promise<boolean> {
    this.#wasRelayed = true;
    const relay = new Relay(this.#dependencies, this.#call, { sends: this.#sends });
    if (await relay.run()) return true;
    if (this.#dependencies.reach.reach.state === 'unreached') throw this.#createUnavailableError();
    return false;
  }

  /** Whether upstreams have ended under the request, as far as this instance knows. */
  get #isSuspect(): boolean {
    const { quarantine } = this.#dependencies;
    return !quarantine.suspects.isEmpty && quarantine.isSuspect(this.#features);
  }

  async #admitSuspect(): Promise<SuspectAttempt | undefined> {
    const { quarantine } = this.#dependencies;
    const { deadlineMs, progress } = this.#call;
    const candidates = () => this.#chooser.rankApart();
    const admitting = quarantine.admit({ features: this.#features, candidates, deadlineMs });
    const suspect = await admitting.catch((thrown: unknown) => {
      const { kind, message, ran } = toRouterError(thrown);
      throw mayHaveRun(progress.knowledge) && ran === 'notRun'
        ? new RouterError('upstreamFailed', message)
        : new RouterError(kind, message);
    });
    if (suspect !== undefined) this.#call.trace.add('suspect', { endCount: suspect.endCount });
    return suspect;
  }

  /** Sends the request to one upstream, and to others beside it where that one is silent. */
  async #attempt(pick: UpstreamPick, suspect?: SuspectAttempt): Promise<DispatchEnd> {
    this.#attempts.add(this.#start(pick, { suspect }));
    using _lost = this.#dependencies.reach.onLost(() => {
      this.#relayBeside();
    });
    return await this.#attempts.result();
  }

  #start(
    pick: UpstreamPick,
    { suspect, permit }: { suspect?: SuspectAttempt | undefined; permit?: HedgePermit } = {},
  ): DispatchContender {
    const attempt: Attempt = this.#createAttempt(pick, {
      onSent: () => {
        permit?.recordSent();
      },
      onProgress: () => {
        permit?.recordProgress();
        this.#attempts.recordProgress(contender);
      },
      onSilent: (lateMs) => {
        this.#handleSilence(pick.upstream, lateMs);
        // What another one has answered is not held back for one that stays silent.
        if (this.#attempts.hasHeld) this.#attempts.supersedeAll();
      },
      onLivedOn: () => {
        this.#dependencies.quarantine.recordAnswered(this.#features, false);
        suspect?.finish(true);
      },
    });
    const contender: DispatchContender = {
      upstream: pick.upstream,
      ended: this.#runAttempt(pick.upstream, attempt, suspect).then((result) => {
        permit?.end(wasSent(result));
        return result;
      }),
      get sendsUnderWay() {
        return attempt.isUnderWay ? 1 : 0;
      },
      get isSilent() {
        return attempt.isSilent;
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
      if (wasAnswered) quarantine.recordAnswered(this.#features);
      if (result.kind === 'broken' && result.isConnectionLost) {
        const checking = this.#checkEnd(upstream, attempt);
        // An answer of another attempt does not wait for it.
        if (this.#attempts.running.size < 2) await checking;
      }
      return result;
    } finally {
      if (suspect !== undefined) upstream.suspects.delete(suspect);
      suspect?.finish(wasAnswered);
    }
  }

  #createAttempt(
    pick: UpstreamPick,
    callbacks: Pick<AttemptOptions, 'onSent' | 'onProgress' | 'onSilent' | 'onLivedOn'>,
  ): Attempt {
    const { upstream, fetchFrom, prefill } = pick;
    const { clock, codec, retries, upstreams, responseMemory, sendGate } = this.#dependencies;
    const call = this.#call;
    if (!this.#chooser.hasAttempted) retries.recordRequest(call.service.name);
    this.#chooser.recordAttempt(upstream);
    call.trace.add('sent', describeSend(pick, this.#chooser.usable.length));
    this.#countAgainstStatements(upstream);
    if (upstream.statements.backoff.recordSend()) upstreams.reportBackoffEnded(upstream);
    return new Attempt({
      ...callbacks,
      decideSend: () => this.#decideSend(),
      clock,
      codec,
      call,
      upstream,
      fetchFrom,
      prefill,
      responseMemory,
      sendGate,
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
      onForeignResponse: (reason) => {
        this.#dependencies.metrics.count('foreignResponses', `${reason}/${upstream.id}`);
      },
      inactivityTimeoutMs: this.#inactivityTimeoutMs,
    });
  }

  /** Number of upstreams that the request was sent to, those included at which it is under way. */
  get #sends(): number {
    const { progress } = this.#call;
    // What was lost with upstreams that ended does not count against the request, within bounds.
    const countedSends = progress.sendCount - Math.min(progress.endedCount, maxUncountedEnds);
    return countedSends + progress.peerSendCount + this.#sendsUnderWay;
  }

  get #sendsUnderWay(): number {
    let sends = 0;
    for (const contender of this.#attempts.running) sends += contender.sendsUnderWay;
    return sends;
  }

  /** Whether the request may be sent once more, by whichever path. */
  #decideSend(): ResendDecision {
    return decideSend(this.#call, { sends: this.#sends, isUnderWay: this.#sendsUnderWay > 0 });
  }

  /** Sends the request to a further upstream, or through a peer, beside the silent one, if that is allowed. */
  #handleSilence(upstream: Upstream, lateMs: number): void {
    if (this.#mustRelay) {
      this.#relayBeside();
      return;
    }
    const permit = this.#permits.request({
      upstream,
      lateMs,
      sends: this.#sends,
      endCount: this.#dependencies.quarantine.crashCountOf(this.#features),
      onRoom: () => {
        this.#hedgeAgain();
      },
    });
    if (permit !== undefined) this.#attempts.add(this.#start(permit.pick, { permit }));
  }

  /** Asks once more for a further upstream, if one at which the request is under way is still silent. */
  #hedgeAgain(): void {
    const silent = [...this.#attempts.running].find(({ isSilent }) => isSilent);
    if (silent?.upstream !== undefined) this.#handleSilence(silent.upstream, 0);
  }

  /** Lets a peer send the request on beside attempts from which nothing arrives, since no upstream is reached. */
  #relayBeside(): void {
    if (!this.#mustRelay || this.#attempts.running.size === 0) return;
    if (this.#decideSend() !== 'send') return;
    const retry = this.#dependencies.retries.takeRetry(this.#call.service.name);
    if (retry === undefined) return;
    this.#wasRelayed = true;
    const relay = new Relay(this.#dependencies, this.#call, {
      sends: this.#sends,
      onProgress: () => {
        this.#attempts.recordProgress(contender);
      },
    });
    const contender: DispatchContender = {
      upstream: undefined,
      get sendsUnderWay() {
        return relay.sendsUnderWay;
      },
      isSilent: false,
      ended: relay.run().then((isServed) => {
        if (isServed) return { kind: 'relayed' };
        retry.giveBack();
        return { kind: 'notSent', reason: 'no peer took the request' };
      }),
      supersede: () => {
        relay.supersede();
      },
    };
    this.#attempts.add(contender);
  }

  /** Counts a request that is sent although the upstream requested none. */
  #countAgainstStatements({ statements }: Upstream): void {
    const { metrics } = this.#dependencies;
    if (statements.leavingForMs !== undefined) metrics.count('sentAgainstStatement', 'leaving');
    if (statements.backoff.remainingMs > 0) metrics.count('sentAgainstStatement', 'backoff');
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

  /** How long to wait for an upstream until its silence is reported, and another one is tried if that is allowed. */
  get #inactivityTimeoutMs(): number {
    const { route } = this.#call;
    if (route.kind === 'stream') return Math.max(upstreamInactivityMs, 2 * route.targetLatencyMs);
    return slowResponseFactor * route.targetLatencyMs;
  }

  /** Finds out whether the upstream has ended under the request. */
  async #checkEnd(upstream: Upstream, { begunForMs, sentMs }: Attempt): Promise<void> {
    const underWay = upstream.inFlight.size + 1;
    const lostMs = this.#dependencies.clock.monotonicMs();
    if (!(await upstream.confirmEnd())) return;
    const { upstreams, quarantine, reach, metrics } = this.#dependencies;
    reach.reach.recordConnectFailed(upstream.id);
    if (!(await reach.settle())) return;
    upstreams.reportEnded(upstream, underWay);
    const { id: upstreamId } = upstream;
    const features = this.#features;
    const hasLivedOn = begunForMs !== undefined && begunForMs >= livedOnMs;
    this.#call.progress.endedCount += 1;
    const { content } = features;
    const parts = features.parts.slice(0, maxTracedParts).join(' ');
    const ended = { upstreamId, underWay, begunForMs: begunForMs && Math.round(begunForMs) };
    this.#call.trace.add('upstreamEnded', { ...ended, content, parts });
    metrics.count('requestsEnded', begunForMs === undefined ? 'waiting' : 'begun');
    const crashed = { features, upstreamId, sentMs: sentMs ?? lostMs, lostMs, hasLivedOn };
    await quarantine.recordCrash(crashed);
  }

  /** Handles the end of one attempt, whether or not others continue; what fails is replaced at once beside a silent one. */
  #handleContenderEnd(ended: DispatchEnd): void {
    this.#recordEnd(ended);
    if (ended.result.kind !== 'superseded') this.#hedgeAgain();
  }

  #recordEnd({ contender, result }: DispatchEnd): void {
    const { progress, trace } = this.#call;
    const { upstream } = contender;
    trace.add(result.kind, { upstreamId: upstream?.id, ...describeResult(result) });
    progress.knowledge = combineKnowledge(progress.knowledge, knowledgeOf(result));
    if (upstream === undefined) return;
    if (result.kind === 'notSent' && result.isOtherRun !== true)
      this.#chooser.recordUnsent(upstream);
    this.#recordResult(upstream, result);
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
        call.held.addResponse(result.body.byteLength, call.response);
        await call.writer.end(result.body);
        return true;
      case 'notSent':
        if (this.#mayConnectAgain || this.#mustRelay) return false;
        throw this.#createUnavailableError();
      case 'notRun':
        if (this.#tryTakeRetry()) return false;
        throw this.#createUnavailableError();
      case 'broken':
      case 'superseded':
        if (this.#tryTakeRetry()) return false;
        throw new RouterError(
          isRepeatable(call) ? 'upstreamFailed' : 'outcomeUnknown',
          result.kind === 'broken' ? result.reason : 'all attempts were aborted',
        );
      case 'deadline':
        throw new RouterError('deadlineExceeded', 'the deadline of the request has passed', {
          ran: this.#mayHaveRun ? 'unknown' : 'notRun',
        });
      case 'callerGone':
        throw new RouterError('cancelled', 'the caller disconnected');
    }
  }

  #recordUnsent(startedMs: number): void {
    this.#unsentAttempts += 1;
    this.#unsentMs += this.#dependencies.clock.monotonicMs() - startedMs;
  }

  /** Upstreams that refuse connections cost a request little; those that do not answer use up its time. */
  get #mayConnectAgain(): boolean {
    const isQuick = this.#unsentMs < connectAttempts.quickMs;
    return this.#unsentAttempts < (isQuick ? connectAttempts.quick : connectAttempts.slow);
  }

  #writeResponseHead(result: PlainResponse, upstreamId: UpstreamId | undefined): void {
    const { codec } = this.#dependencies;
    const callerHeaders = responseHeaders(this.#call, codec, result.headers, upstreamId);
    writePlainHead(this.#call, result, callerHeaders);
  }

  get #mayHaveRun(): boolean {
    const { sendCount, knowledge } = this.#call.progress;
    return sendCount > 0 || mayHaveRun(knowledge);
  }

  /**
   * Whether the request may be sent to another upstream. Checks whether it may be sent again at all, and the available
   * upstreams, and takes one retry from the service's retry budget.
   */
  #tryTakeRetry(): boolean {
    const { service } = this.#call;
    const decision = this.#decideSend();
    if (decision !== 'send') return this.#refuseRetry(decision);
    if (this.#mustRelay) return this.#dependencies.retries.tryRetry(service.name);
    if (!this.#chooser.hasNext) return this.#refuseRetry('noUpstream');
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
    return createUnavailableError(this.#call, this.#chooser.usable, this.#dependencies.metrics);
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
