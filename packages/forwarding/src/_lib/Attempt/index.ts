/**
 * One request at one upstream, from acquiring a connection to the end of the response.
 */
import {
  InactivityTimer,
  toRouterError,
  RouterError,
  type Clock,
  type InstanceId,
  type UpstreamId,
} from '@acaciacrank/base';
import { hasNoBody, rawHeaderValue } from '@acaciacrank/callers';
import {
  livedOnMs,
  ResponseProgress,
  type ResendDecision,
  type SendGate,
  type UpstreamRun,
} from '@acaciacrank/routing';
import type { ForwardCodec, RawHeaders } from '../../ForwardCodec/index.js';
import type { ReceivedStatement } from '../applyStatement/index.js';
import type { AttemptResult, SupersededResult } from '../AttemptResult/index.js';
import {
  checkSuccess,
  findForeignReason,
  ForeignResponseError,
  isEventStream,
  lengthOf,
  type ForeignReason,
} from '../checkResponse/index.js';
import { BodyCollector } from '../BodyCollector/index.js';
import { AbortedError } from '../AbortedError/index.js';
import {
  Exchange,
  ResponseReceiver,
  wasNeverSent,
  type UpstreamResponseHead,
} from '../Exchange/index.js';
import type { ForwardCall } from '../ForwardCall/index.js';
import type { ResponseHead, UpstreamStatement } from '../../types.js';
import { responseMarginMs } from '../limits/index.js';
import { NoAnswerError, noAnswerReasonOf } from '../NoAnswerError/index.js';
import {
  formatOrigin,
  parseOrigin,
  relayOriginHeader,
  relayRefusedHeader,
  relayRequestHeader,
  relayUnframedHeader,
  relayUpstreamHeader,
} from '../relayProtocol/index.js';
import { responseHeaders } from '../responseHeaders/index.js';
import { splitStatement } from '../splitStatement/index.js';
import { maxBodyBytes, type ReadBody, type ResponseMemory } from '../ResponseMemory/index.js';
import { RunProof } from '../RunProof/index.js';
import { StreamRelay } from '../StreamRelay/index.js';
import type { PrefillEstimate, InFlightRequest, Upstream } from '../Upstream/index.js';
import type { UpstreamConnection } from '../UpstreamConnection/index.js';

/** Options of {@link Attempt}. */
export interface AttemptOptions {
  clock: Clock;
  codec: ForwardCodec;
  call: ForwardCall;
  upstream: Upstream;
  /**
   * Address of an engine from which the prompt's parts can be copied; undefined if there is none.
   */
  fetchFrom: string | undefined;
  /** Estimated prefill work of the engine; undefined for plain services. */
  prefill: PrefillEstimate | undefined;
  /** Bounds the bodies of all responses that are being read. */
  responseMemory: ResponseMemory;
  /** Holds the request back while ends of callers' connections may not have been read. */
  sendGate: SendGate;
  /** Called before the first events are passed on to the caller, with the run of the upstream that sent them. */
  onStreamBegun: (run: UpstreamRun) => void;
  /** Called once, when the first event arrives. */
  onFirstEvent: (inFlightRequest: InFlightRequest) => void;
  /**
   * Called with the upstream's statement in a response to the request, and with the upstream's id if a peer
   * relayed it.
   */
  onStatement: (received: ReceivedStatement, relayedFrom?: UpstreamId) => void;
  /** Called if a response arrives that is not known to be the one to the request. */
  onForeignResponse: (reason: ForeignReason) => void;
  /** Whether upstreams of the service run several versions of their software. */
  isMixed: boolean;
  /** Whether the upstream's record may be out of date, since the store cannot be followed. */
  isRecordStale: boolean;
  /** Id of this instance if the target is a peer that is to relay the request. */
  relayedBy?: InstanceId;
  /** Number of upstreams to which that peer may send the request. */
  maxPeerSends?: number;
  /** The key that proves to that peer that an instance relays the request. */
  relayKey?: string | undefined;
  /**
   * Decides whether the request may be sent, called once the connection is known to lead to the right run; another
   * attempt may have been sent since this one began.
   */
  decideSend: () => ResendDecision;
  /** Called when the request is sent. */
  onSent?: () => void;
  /** Called before anything of a stream is passed on to the caller; other attempts of the request end then. */
  onProgress: () => void;
  /** Called once, when an event arrives {@link livedOnMs} or more after the first one. */
  onLivedOn?: () => void;
  /** Called each time that nothing has arrived from the upstream for the timeout; the attempt continues. */
  onSilent: (lateMs: number) => void;
  /** After how long without progress {@link onSilent} is called, in milliseconds; undefined for never. */
  inactivityTimeoutMs: number | undefined;
}

const unprovenEnd = 'the response of the peer ended with its connection';
const anotherRun = 'the upstream is another run than that of its record';

/** From this size on an event that is not complete counts with the bodies that are being read, in bytes. */
const minHeldEventBytes = 65_536;

/** Why this instance aborted an attempt. */
type AbortReason = 'superseded' | 'deadline' | 'callerGone';

/** What becomes of a response's body. */
type BodyHandling =
  | { readonly kind: 'relay'; readonly relay: StreamRelay }
  | {
      readonly kind: 'collect';
      readonly collector: BodyCollector;
      readonly result: (body: Buffer) => AttemptResult;
    };

/** Sends one request to one upstream, and relays or buffers the response. */
export class Attempt extends ResponseReceiver {
  readonly #options: AttemptOptions;
  #exchange: Exchange | undefined;
  #connection: UpstreamConnection | undefined;
  #inFlightRequest: InFlightRequest | undefined;
  #bodyHandling: BodyHandling | undefined;
  #abortReason: AbortReason | undefined;
  #hasEnded = false;
  #inactivityTimer: InactivityTimer | undefined;
  /** Ends what precedes the request: the run check, and opening the connection. */
  readonly #preparation = new AbortController();
  /** Whether it was decided that the request is sent. */
  #isDecided = false;
  /** Applies what a success states of its upstream, once an event or the whole body has shown that it is one. */
  #applyHeldStatement: () => void = () => undefined;
  /** Whether nothing has arrived from the upstream for the timeout. */
  #isSilent = false;
  /** When the first event arrived, by the time in which this process ran; undefined before. */
  #begunActiveMs: number | undefined;
  #hasLivedOn = false;
  /** Whether the caller has not yet taken what the upstream sent last. */
  #isCallerBehind = false;
  #wasNoAnswer = false;
  /**
   * Whether the end of the connection is the end of the response. By the protocol it is that of an upstream; a peer
   * frames all that it sends, and closes its connections in good order also when it is killed.
   */
  #isProvenWhole = true;
  readonly #runProof: RunProof;
  readonly #responseProgress: ResponseProgress;
  readonly #heldBytes: ReadBody;

  constructor(options: AttemptOptions) {
    super();
    this.#options = options;
    this.#responseProgress = new ResponseProgress(options.call.route);
    this.#runProof = new RunProof(options, {
      signal: this.#preparation.signal,
      onAsked: (patienceMs) => {
        this.#startInactivityTimer(patienceMs);
      },
      onContact: () => {
        this.#recordContact();
      },
    });
    this.#heldBytes = options.responseMemory.open({
      isSuspect: () => options.upstream.isSuspect,
      onGiveWay: (error) => this.#exchange?.fail(error),
    });
  }

  /** Sends the request, then relays or buffers the response. Never throws. */
  async run(): Promise<AttemptResult> {
    const { call, upstream, clock } = this.#options;
    const remainingMs = call.deadlineMs - clock.monotonicMs();
    if (call.disconnect.isGone) return { kind: 'callerGone', wasSent: false };
    if (remainingMs <= responseMarginMs) return { kind: 'deadline', wasSent: false };
    const connection = upstream.acquireConnection();
    this.#connection = connection;
    const inFlightRequest = upstream.begin(this.#options.prefill);
    this.#inFlightRequest = inFlightRequest;
    const deadline = clock.schedule(remainingMs, () => {
      this.#abort('deadline');
    });
    using _disconnect = call.disconnect.onGone(() => {
      this.#abort('callerGone');
    });
    let isReusable = false;
    try {
      const check = await this.#runProof.check(connection);
      if (this.#abortReason !== undefined) return this.#classifyError(new AbortedError(false));
      if (check === 'other') return { kind: 'notSent', reason: anotherRun, isOtherRun: true };
      if (check === 'unproven' && this.#runProof.isResumption)
        return { kind: 'notSent', reason: 'it is not known which run the upstream is' };
      const decision = this.#options.decideSend();
      // Whoever starts an attempt has asked before; this is the last place to keep a request from running twice.
      if (decision === 'mayHaveRun')
        throw new RouterError('internal', 'the request may have run, and must not run twice');
      if (decision === 'routeLimit')
        return { kind: 'superseded', wasSent: false, wasSilent: false };
      this.#options.onSent?.();
      this.#isDecided = true;
      if (check !== undefined) upstream.recordSent(inFlightRequest);
      this.#startInactivityTimer(this.#options.inactivityTimeoutMs);
      if (!connection.isOpen || this.#options.sendGate.isLate) await this.#prepare(connection);
      this.#abortIfUseless();
      if (this.#abortReason !== undefined) return this.#classifyError(new AbortedError(false));
      const exchange = new Exchange(connection.client, this.#createRequest(), this);
      this.#exchange = exchange;
      using _watch = connection.watch((bytes) => {
        this.#recordRead(bytes);
      });
      await exchange.run();
      if (connection.wasReset)
        return this.#classifyError(new Error('the connection was reset during the response'));
      const result = this.#finish(inFlightRequest);
      if (result.kind === 'broken' && connection.isEndExpected) upstream.doubtRun();
      if (result.kind !== 'broken') this.#applyHeldStatement();
      isReusable =
        result.kind === 'answer' || result.kind === 'streamed' || result.kind === 'notRun';
      return result;
    } catch (thrown) {
      return this.#classifyError(thrown);
    } finally {
      this.#hasEnded = true;
      deadline[Symbol.dispose]();
      this.#inactivityTimer?.[Symbol.dispose]();
      this.#heldBytes[Symbol.dispose]();
      upstream.end(inFlightRequest, { isLearnt: !this.#wasNoAnswer });
      upstream.releaseConnection(connection, isReusable);
    }
  }

  /**
   * Opens the connection, and waits for what has not been read from others: until then the caller may have left, or the
   * upstream closed the connection.
   */
  async #prepare(connection: UpstreamConnection): Promise<void> {
    const { signal } = this.#preparation;
    if (!connection.isOpen) await connection.open(signal);
    const reading = this.#options.sendGate.enter();
    if (reading === undefined) return;
    await reading;
    if (!connection.isOpen && !signal.aborted) await connection.open(signal);
  }

  /** The last moment at which a request costs its upstream nothing. */
  #abortIfUseless(): void {
    const { call, clock } = this.#options;
    if (call.disconnect.isGone) this.#abort('callerGone');
    else if (call.deadlineMs - clock.monotonicMs() <= responseMarginMs) this.#abort('deadline');
  }

  /** Guards against bytes without end that are no answer, before a head, in a body or between its chunks. */
  #recordRead(bytes: number): void {
    const reason = this.#responseProgress.recordRead(bytes, this.#options.clock.monotonicMs());
    if (reason !== undefined) this.#exchange?.fail(new NoAnswerError(reason));
  }

  override onInterim(): void {
    const reason = this.#responseProgress.recordInterim();
    if (reason !== undefined) throw new NoAnswerError(reason);
  }

  override onHead(response: UpstreamResponseHead): void {
    const { call, codec, upstream } = this.#options;
    const { status, headers, isFramed } = response;
    if (this.#connection !== undefined) this.#connection.isEndExpected = !isFramed;
    this.#isProvenWhole =
      isFramed || this.#options.relayedBy === undefined || hasNoBody(status, call.request.method);
    const head = codec.readResponseHead(status, headers);
    // Whose response it is comes before all that it states.
    this.#checkOwner(head, response);
    const isBounded = call.route.kind !== 'stream' && lengthOf(headers) > 0;
    this.#responseProgress.recordHead({ isBounded });
    this.#runProof.recheckConnection();
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && call.route.kind === 'stream' && !isEventStream(headers))
      throw new NoAnswerError('noEventStream');
    this.#recordReceived(false);
    this.#receiveStatement(head, headers, isSuccess);
    if (this.#options.relayedBy !== undefined && rawHeaderValue(headers, relayRefusedHeader)) {
      this.#collect(() => notRunByPeer(status));
      return;
    }
    if (head.isNotRun) {
      const { isWrongUpstream, statement } = head;
      const { backoffMs } = statement;
      this.#collect(() => ({ kind: 'notRun', status, isWrongUpstream, backoffMs }));
      return;
    }
    if (isSuccess) checkSuccess(head);
    if (isSuccess && call.route.kind === 'stream') {
      const onBegin = () => {
        this.#beginStream(headers);
      };
      const callerHeaders = () => responseHeaders(call, codec, headers, upstream.id);
      const onEvents = () => {
        this.#recordEvents();
      };
      const isRelayed = this.#options.relayedBy !== undefined;
      const callbacks = { callerHeaders, onBegin, onEvents };
      const relay = new StreamRelay({ call, head: response, isRelayed, ...callbacks });
      this.#bodyHandling = { kind: 'relay', relay };
    } else {
      if (lengthOf(headers) > maxBodyBytes) throw new NoAnswerError('bodyBytes');
      const isUnframed = rawHeaderValue(headers, relayUnframedHeader) !== undefined;
      const isOwnFramed = isFramed && !(isUnframed && this.#options.relayedBy !== undefined);
      this.#collect((body) => ({ kind: 'answer', status, headers, body, isFramed: isOwnFramed }));
    }
  }

  /**
   * Guards against acting on a response to another request; this one has an unknown outcome then.
   *
   * @throws ForeignResponseError if the response is not known to be the one to this request
   */
  #checkOwner(head: ResponseHead, { status, headers }: UpstreamResponseHead): void {
    const { requestId } = this.#options.call.head;
    const isFirstOnConnection = this.#connection?.isFirstRequest === true;
    const isRelayed = this.#options.relayedBy !== undefined;
    const relayedId = isRelayed ? rawHeaderValue(headers, relayRequestHeader) : undefined;
    const named = { requestId: relayedId ?? head.requestId };
    const reason = findForeignReason(named, { requestId, isFirstOnConnection });
    if (reason === undefined) return;
    const { isNotRun } = head;
    this.#options.call.trace.add('foreignResponse', { reason, status, isNotRun });
    this.#options.onForeignResponse(reason);
    throw new ForeignResponseError(reason);
  }

  override onData(chunk: Buffer): Promise<void> | undefined {
    this.#responseProgress.recordPayload(chunk.byteLength);
    const handling = this.#bodyHandling;
    if (handling === undefined) return undefined;
    if (handling.kind === 'collect') {
      handling.collector.add(chunk);
      return this.#heldBytes.setBytes(handling.collector.bytes);
    }
    const isTaken = handling.relay.relay(chunk);
    if (isTaken !== undefined) void this.#waitForCaller(isTaken);
    return isTaken ?? this.#holdEvent(handling.relay.heldBytes);
  }

  /** Only large events count with the bodies that wait for each other: sound ones are never held up. */
  #holdEvent(heldBytes: number): Promise<void> | undefined {
    const bytes = heldBytes <= minHeldEventBytes ? 0 : heldBytes;
    return bytes === this.#heldBytes.bytes ? undefined : this.#heldBytes.setBytes(bytes);
  }

  /** A caller that is behind keeps the upstream from sending, which says nothing of the upstream. */
  async #waitForCaller(isTaken: Promise<void>): Promise<void> {
    this.#isCallerBehind = true;
    await isTaken;
    this.#isCallerBehind = false;
    this.#inactivityTimer?.recordActivity();
  }

  #recordEvents(): void {
    const inFlightRequest = this.#inFlightRequest;
    if (inFlightRequest !== undefined && !inFlightRequest.hasFirstEvent)
      this.#options.onFirstEvent(inFlightRequest);
    this.#recordLife();
    this.#responseProgress.recordEvent();
    this.#applyHeldStatement();
    this.#recordReceived(true);
    this.#options.onProgress();
  }

  #recordLife(): void {
    this.#begunActiveMs ??= this.#options.clock.activeMs();
    if (this.#hasLivedOn || (this.begunForMs ?? 0) < livedOnMs) return;
    this.#hasLivedOn = true;
    this.#options.onLivedOn?.();
  }

  #beginStream(headers: RawHeaders): void {
    const { call, upstream, relayedBy, onStreamBegun } = this.#options;
    // A peer that names no run, as earlier releases do, leaves the version unknown.
    const run =
      relayedBy === undefined
        ? this.#runProof.run
        : (parseOrigin(rawHeaderValue(headers, relayOriginHeader)) ?? upstream.run);
    const { softwareVersion } = run;
    call.trace.add('firstEvent', { upstreamId: upstream.id, softwareVersion });
    onStreamBegun(run);
  }

  #finish({ longestGapMs }: InFlightRequest): AttemptResult {
    const handling = this.#bodyHandling;
    if (handling === undefined)
      return { kind: 'broken', reason: 'the response has no head', isConnectionLost: false };
    if (!this.#isProvenWhole)
      return { kind: 'broken', reason: unprovenEnd, isConnectionLost: true };
    if (handling.kind === 'collect') return handling.result(handling.collector.body);
    const reason = handling.relay.finish();
    if (reason !== undefined) return { kind: 'broken', reason, isConnectionLost: true };
    const { isEmpty } = handling.relay;
    return { kind: 'streamed', longestGapMs: Math.round(longestGapMs), isEmpty };
  }

  #collect(result: (body: Buffer) => AttemptResult): void {
    this.#bodyHandling = { kind: 'collect', collector: new BodyCollector(maxBodyBytes), result };
  }

  /** Whether nothing has arrived from the upstream for the timeout. */
  get isSilent(): boolean {
    return this.#isSilent && !this.#hasEnded;
  }

  /** Whether the request has been sent, and the attempt has not ended. */
  get isUnderWay(): boolean {
    return this.#isDecided && !this.#hasEnded;
  }

  /** When the request was sent, on the monotonic clock; undefined before. */
  get sentMs(): number | undefined {
    return this.#inFlightRequest?.sentMs;
  }

  /** Time since the first event arrived, in milliseconds; undefined if none has. */
  get begunForMs(): number | undefined {
    if (this.#begunActiveMs === undefined) return undefined;
    return this.#options.clock.activeMs() - this.#begunActiveMs;
  }

  /** Ends the attempt, since another one has given something. */
  supersede(): void {
    this.#abort('superseded');
  }

  #abort(reason: AbortReason): void {
    this.#abortReason ??= reason;
    this.#preparation.abort();
    this.#exchange?.abort();
  }

  #createRequest() {
    const { call, clock, upstream, codec, fetchFrom, relayedBy } = this.#options;
    const { maxPeerSends: maxSends = call.route.maxUpstreams, relayKey } = this.#options;
    const { request } = call;
    const remainingMs = call.deadlineMs - clock.monotonicMs();
    const common = {
      budgetMs: Math.max(1, Math.floor(remainingMs - responseMarginMs)),
      resumeAfter: call.progress.lastEventId ?? call.head.resumeAfter,
    };
    const origin = call.progress.origin && formatOrigin(call.progress.origin);
    const headers =
      relayedBy === undefined
        ? codec.upstreamHeaders(request.rawHeaders, {
            ...common,
            upstreamId: upstream.id,
            accountId: call.account?.accountId,
            priority: undefined,
            fetchFrom,
          })
        : codec.relayHeaders(request.rawHeaders, {
            ...common,
            origin,
            relayedBy,
            maxSends,
            relayKey,
          });
    const { method = 'GET', url: path = '/' } = request;
    return { method, path, headers, body: call.body };
  }

  /** Guards against the statement of another upstream at a reused address. */
  #receiveStatement(head: ResponseHead, headers: RawHeaders, isSuccess: boolean): void {
    const { isSigned, isWrongUpstream, statement } = head;
    const { clock, onStatement, relayedBy } = this.#options;
    if (isWrongUpstream) return;
    const receivedMs = clock.monotonicMs();
    const sentMs = this.#inFlightRequest?.sentMs ?? receivedMs;
    const relayedFrom = rawHeaderValue(headers, relayUpstreamHeader) as UpstreamId;
    const apply = (part: UpstreamStatement) => {
      const received = { statement: part, isSigned, sentMs, receivedMs };
      if (relayedBy === undefined) onStatement(received);
      else onStatement(received, relayedFrom);
    };
    if (!isSuccess) {
      apply(statement);
      return;
    }
    const { refusing, other } = splitStatement(statement);
    apply(refusing);
    this.#applyHeldStatement = () => {
      this.#applyHeldStatement = () => undefined;
      apply(other);
    };
  }

  #recordReceived(hasFirstEvent: boolean): void {
    if (this.#inFlightRequest !== undefined)
      this.#options.upstream.recordReceived(this.#inFlightRequest, hasFirstEvent);
    this.#isSilent = false;
    this.#inactivityTimer?.recordActivity();
  }

  /** The answer to a run check is a sign of life. */
  #recordContact(): void {
    this.#isSilent = false;
    this.#options.upstream.recordContact();
  }

  #startInactivityTimer(timeoutMs: number | undefined): void {
    const { clock, inactivityTimeoutMs } = this.#options;
    this.#inactivityTimer?.[Symbol.dispose]();
    if (inactivityTimeoutMs === undefined || timeoutMs === undefined) return;
    this.#inactivityTimer = new InactivityTimer(clock, timeoutMs, (lateMs) => {
      this.#startInactivityTimer(timeoutMs);
      if (this.#isCallerBehind || this.#abortReason !== undefined) return;
      this.#isSilent = true;
      this.#options.onSilent(lateMs);
    });
  }

  #classifyError(thrown: unknown): AttemptResult {
    const abortReason = this.#abortReason;
    const wasStarted = !wasNeverSent(thrown);
    if (abortReason === 'superseded') return this.#createSuperseded(wasStarted);
    if (abortReason !== undefined) return { kind: abortReason, wasSent: wasStarted };
    if (!wasStarted) return { kind: 'notSent', reason: toRouterError(thrown).message };
    const noAnswer = noAnswerReasonOf(thrown);
    this.#wasNoAnswer = noAnswer !== undefined;
    const isConnectionLost = !(thrown instanceof RouterError) && noAnswer === undefined;
    return { kind: 'broken', reason: toRouterError(thrown).message, isConnectionLost, noAnswer };
  }

  #createSuperseded(wasSent: boolean): SupersededResult {
    const wasSilent = wasSent && this.#isSilent;
    const noAnswer = wasSilent && this.#responseProgress.isTrickling ? 'trickle' : undefined;
    this.#wasNoAnswer = noAnswer !== undefined;
    return { kind: 'superseded', wasSent, wasSilent, noAnswer };
  }
}

function notRunByPeer(status: number): AttemptResult {
  return { kind: 'notRun', status, isWrongUpstream: false, backoffMs: undefined };
}
