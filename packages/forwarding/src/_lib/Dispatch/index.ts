/**
 * Sends a request to one upstream after the other until it is answered or has to be given up.
 */
import {
  RouterError,
  type Clock,
  type FailureDomainId,
  type Metrics,
  type Random,
  type UpstreamId,
} from '@acaciacrank/base';
import type { EngineModel, RetryShare } from '@acaciacrank/routing';
import type { ForwardCodec } from '../../ForwardCodec/index.js';
import type { UpstreamTable } from '../../UpstreamTable/index.js';
import { Attempt, endWithConnection, type AttemptResult } from '../Attempt/index.js';
import { isRepeatable, type ForwardCall } from '../ForwardCall/index.js';
import type { EngineModels } from '../EngineModels/index.js';
import { maxUnsentAttempts, silenceMs } from '../limits/index.js';
import type { PartPlaces } from '../PartPlaces/index.js';
import { pickUpstream, type UpstreamPick } from '../pickUpstream/index.js';
import type { Send, Upstream } from '../Upstream/index.js';
import type { LimitChange } from '../UpstreamLimit/index.js';

/** What all dispatches of an instance share. */
export interface DispatchParts {
  readonly clock: Clock;
  readonly codec: ForwardCodec;
  readonly upstreams: UpstreamTable;
  readonly retries: RetryShare;
  readonly ownDomain: FailureDomainId;
  readonly parts: PartPlaces;
  readonly models: EngineModels;
  readonly random: Random;
  readonly metrics: Metrics;
}

/** A plain answer that takes longer than this many target latencies is asked for elsewhere as well. */
const slowAnswerFactor = 1.5;
type PlainAnswer = Extract<AttemptResult, { kind: 'answer' }>;

/**
 * Bounds of the retry delay that a caller is given when upstreams are at their limits, in
 * milliseconds. Another instance may have room sooner than this one.
 */
const minRetryAfterMs = 100;
const maxRetryAfterMs = 1_000;

/** A server error may be the upstream's alone, so that another one answers. */
const firstServerError = 500;

/** Serves one request that was admitted. */
export class Dispatch {
  readonly #parts: DispatchParts;
  readonly #call: ForwardCall;
  readonly #tried = new Set<UpstreamId>();
  #unsent = 0;

  constructor(parts: DispatchParts, call: ForwardCall) {
    this.#parts = parts;
    this.#call = call;
  }

  /**
   * Serves the request; its answer has been written when this returns.
   *
   * @throws RouterError that says why there is no answer and whether the request may have run
   */
  async run(): Promise<void> {
    for (;;) {
      const pick = this.#pick();
      if (pick === undefined) throw this.#noUpstream();
      const result = await this.#attempt(pick);
      if (await this.#finish(pick.upstream, result)) return;
    }
  }

  #pick(): UpstreamPick | undefined {
    const { upstreams, ownDomain, parts, clock, random } = this.#parts;
    const { head, service } = this.#call;
    return pickUpstream({
      candidates: upstreams.usable(service.name),
      tried: this.#tried,
      promptParts: head.promptParts,
      promptTokens: head.tokens?.promptTokens ?? 0,
      engine: service.engine,
      model: this.#model,
      ownDomain,
      parts,
      nowMs: clock.monotonicMs(),
      random,
    });
  }

  async #attempt(pick: UpstreamPick): Promise<AttemptResult> {
    const { upstream, fetchFrom, reading, why } = pick;
    const { clock, codec, retries } = this.#parts;
    const call = this.#call;
    if (this.#tried.size === 0) retries.recordRequest(call.service.name);
    this.#tried.add(upstream.id);
    call.story.add('sent', {
      upstreamId: upstream.id,
      why,
      fetchFrom,
      backlogMs: Math.round(upstream.backlogMs),
      readMs: reading === undefined ? undefined : Math.round(reading.expectedMs),
      ownInFlight: upstream.sends.size,
      reportedRunning: upstream.load?.report.running,
      reportAgeMs:
        upstream.load === undefined
          ? undefined
          : Math.round(clock.monotonicMs() - upstream.load.atMs),
      limitPerS:
        upstream.limit.requestsPerSecond === Infinity
          ? undefined
          : upstream.limit.requestsPerSecond,
      outOf: this.#parts.upstreams.usable(call.service.name).length,
    });
    const silenceLimitMs = this.#silenceLimitMs();
    const onBegun = (send: Send) => {
      this.#learnFrom(send);
    };
    const onLimitChange = (change: LimitChange) => {
      this.#parts.upstreams.tellLimitChange(upstream, change);
    };
    const attempt = new Attempt({
      clock,
      codec,
      call,
      upstream,
      fetchFrom,
      reading,
      onBegun,
      onLimitChange,
      silenceLimitMs,
    });
    const result = await attempt.run();
    if (wasSent(result)) call.progress.sends += 1;
    return result;
  }

  /** Learns from a prompt that was read alone, as far as this instance sees. */
  #learnFrom({ reading, sentMs, aheadMs }: Send): void {
    if (reading === undefined || aheadMs > 0 || !reading.isHeld) return;
    const { promptTokens, newTokens } = reading;
    const elapsedMs = this.#parts.clock.monotonicMs() - sentMs;
    this.#model.observeRead({ newTokens, cachedTokens: promptTokens - newTokens, elapsedMs });
  }

  get #model(): EngineModel {
    return this.#parts.models.of(this.#call.service.name);
  }

  /** How long to wait for a silent upstream, where another one may be asked instead. */
  #silenceLimitMs(): number | undefined {
    const { route, progress } = this.#call;
    const isLast = progress.sends + 1 >= route.maxUpstreams;
    if (isLast || !isRepeatable(this.#call)) return undefined;
    if (route.kind === 'stream') return Math.max(silenceMs, 2 * route.targetLatencyMs);
    return slowAnswerFactor * route.targetLatencyMs;
  }

  /** Takes the result in; returns whether the request has its answer. */
  async #finish(upstream: Upstream, result: AttemptResult): Promise<boolean> {
    const call = this.#call;
    call.story.add(result.kind, describe(result));
    this.#judge(upstream, result);
    switch (result.kind) {
      case 'streamed':
        await call.writer.end();
        return true;
      case 'answer':
        call.progress.mayHaveRun = true;
        if (result.status >= firstServerError && this.#mayRepeat()) return false;
        this.#writeAnswerHead(result);
        await call.writer.end(result.body);
        return true;
      case 'notSent':
        this.#unsent += 1;
        if (this.#unsent < maxUnsentAttempts) return false;
        throw this.#noUpstream();
      case 'notRun':
        if (this.#mayRepeat()) return false;
        throw this.#noUpstream();
      case 'broken':
      case 'silent':
        call.progress.mayHaveRun = true;
        if (isRepeatable(call) && this.#mayRepeat()) return false;
        throw new RouterError(
          isRepeatable(call) ? 'upstreamFailed' : 'outcomeUnknown',
          result.kind === 'broken' ? result.reason : 'the upstream went silent',
        );
      case 'deadline':
        call.progress.mayHaveRun ||= result.wasSent;
        throw new RouterError('deadlineExceeded', 'the time for this request is over', {
          ran: call.progress.sends > 0 ? 'unknown' : 'notRun',
        });
      case 'callerGone':
        call.progress.mayHaveRun ||= result.wasSent;
        throw new RouterError('cancelled', 'the caller has left');
    }
  }

  #writeAnswerHead({ status, headers, body, isFramed }: PlainAnswer): void {
    const { response } = this.#call;
    const passed = this.#parts.codec.callerHeaders(headers);
    if (isFramed) passed.push('content-length', String(body.byteLength));
    else endWithConnection(response);
    response.writeHead(status, passed);
  }

  /** Whether another upstream may be tried, by the route, the service's retries and the choice. */
  #mayRepeat(): boolean {
    const { route, progress, service } = this.#call;
    if (progress.sends >= route.maxUpstreams) return false;
    const others = this.#parts.upstreams.usable(service.name);
    if (!others.some(({ id, hasRoom }) => hasRoom && !this.#tried.has(id))) return false;
    const isAllowed = this.#parts.retries.tryRepeat(service.name);
    this.#call.story.add(isAllowed ? 'repeat' : 'noRepeatLeft');
    return isAllowed;
  }

  #noUpstream(): RouterError {
    const { progress, service } = this.#call;
    const reason = `no upstream of ${service.name} could take the request`;
    if (progress.mayHaveRun) return new RouterError('upstreamFailed', reason);
    return new RouterError('upstreamUnavailable', reason, this.#retryAfter());
  }

  /** The retry delay if any upstream is at its limit of requests or connections; empty otherwise. */
  #retryAfter(): { retryAfterMs?: number } {
    const { upstreams, metrics } = this.#parts;
    const limited = upstreams.usable(this.#call.service.name).filter(({ hasRoom }) => !hasRoom);
    if (limited.length === 0) return {};
    metrics.count('refusedAtLimit');
    this.#call.story.add('atLimit', { upstreams: limited.length });
    const waitMs = Math.min(...limited.map(({ limit }) => limit.waitMs));
    return { retryAfterMs: Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)) };
  }

  /** Learns from a result what it says of the upstream. */
  #judge(upstream: Upstream, result: AttemptResult): void {
    const { upstreams, metrics } = this.#parts;
    metrics.count('attempts', result.kind);
    if (result.kind === 'streamed') upstream.succeed();
    if (result.kind === 'answer' && result.status < firstServerError) upstream.succeed();
    if (result.kind === 'notRun' && result.isWrongUpstream) upstreams.forgetWrong(upstream);
    const isFault = result.kind === 'broken' || result.kind === 'silent';
    if (result.kind === 'notSent') upstream.leaveOut();
    if (result.kind === 'notSent' || (isFault && upstream.fail())) upstreams.tellLeftOut(upstream);
  }
}

/** Whether the request may have reached the upstream. */
function wasSent(result: AttemptResult): boolean {
  if (result.kind === 'deadline' || result.kind === 'callerGone') return result.wasSent;
  return result.kind !== 'notSent';
}

function describe(result: AttemptResult): Record<string, string | number | boolean> {
  if (result.kind === 'answer') return { status: result.status, bytes: result.body.byteLength };
  if (result.kind === 'streamed') return { longestGapMs: result.longestGapMs };
  if (result.kind === 'notRun') return { status: result.status };
  if (result.kind === 'notSent' || result.kind === 'broken') return { reason: result.reason };
  return {};
}
