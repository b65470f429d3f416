/**
 * Sends a request through a peer while this instance reaches no upstream.
 */
import {
  RouterError,
  type Clock,
  type InstanceId,
  type Metrics,
  type UpstreamId,
} from '@acaciacrank/base';
import { rawHeaderValue } from '@acaciacrank/callers';
import {
  mayHaveRun,
  type ResendDecision,
  type RetryShare,
  type SendGate,
} from '@acaciacrank/routing';
import type { ForwardCodec } from '../../ForwardCodec/index.js';
import type { RelayPeers } from '../../RelayPeers/index.js';
import type { StreamAffinity } from '../../StreamAffinity/index.js';
import type { UpstreamTable } from '../../UpstreamTable/index.js';
import { Attempt } from '../Attempt/index.js';
import type { ReceivedStatement } from '../applyStatement/index.js';
import {
  firstServerError,
  type AttemptResult,
  type PlainResponse,
} from '../AttemptResult/index.js';
import { decideSend, isRepeatable, type ForwardCall } from '../ForwardCall/index.js';
import { HedgedAttempts, type Contender, type EndedContender } from '../HedgedAttempts/index.js';
import { relayUpstreamHeader } from '../relayProtocol/index.js';
import { recordStreamBegin } from '../recordStreamBegin/index.js';
import type { ResponseMemory } from '../ResponseMemory/index.js';
import { writePlainHead } from '../responseHeaders/index.js';
import { emptyStatement } from '../splitStatement/index.js';
import type { Upstream } from '../Upstream/index.js';

/** Dependencies shared by all relayed requests of an instance. */
export interface RelayDependencies {
  readonly clock: Clock;
  readonly codec: ForwardCodec;
  readonly upstreams: UpstreamTable;
  readonly retries: RetryShare;
  readonly relayPeers: RelayPeers;
  readonly affinity: StreamAffinity;
  readonly responseMemory: ResponseMemory;
  readonly sendGate: SendGate;
  readonly metrics: Metrics;
}

/** Number of peers that are requested one request at most. */
const maxPeers = 3;
/** Where a peer sends nothing for this long, and some target latencies, another one is tried if the request is repeatable. */
const peerInactivity = { baseMs: 500, targetLatencies: 3 } as const;

/** Options of {@link Relay}. */
export interface RelayOptions {
  /** Number of upstreams that this instance has sent the request to, by itself or through peers; 0 by default. */
  sends?: number;
  /**
   * Called before anything that a peer gives is passed on to the caller. If it is there, the relay runs beside attempts
   * of this instance, and only an upstream's own answer counts against them.
   */
  onProgress?: () => void;
}

/** The request at one peer. */
interface PeerContender extends Contender {
  readonly peer: Upstream;
  /** Number of upstreams to which the peer may send it. */
  readonly maxSends: number;
}

/**
 * Relays one request. The peer authenticates it, debits the account, chooses the upstream and heeds what that
 * states, as for a request of its own callers; it relays no request that was relayed to it.
 */
export class Relay {
  readonly #dependencies: RelayDependencies;
  readonly #call: ForwardCall;
  readonly #onProgress: (() => void) | undefined;
  readonly #sends: number;
  readonly #asked = new Set<InstanceId>();
  readonly #attempts = new HedgedAttempts<PeerContender>({
    onEnded: (ended) => {
      this.#recordEnd(ended);
    },
    hasBegun: () => this.#call.progress.events > 0,
  });
  #hasSent = false;
  /** Number of upstreams to which peers that have failed may have sent it. */
  #peerSends = 0;
  #isSuperseded = false;

  constructor(
    dependencies: RelayDependencies,
    call: ForwardCall,
    { sends = 0, onProgress }: RelayOptions = {},
  ) {
    this.#dependencies = dependencies;
    this.#call = call;
    this.#onProgress = onProgress;
    this.#sends = sends;
  }

  /** Number of upstreams to which peers may be sending the request. */
  get sendsUnderWay(): number {
    let sends = 0;
    for (const { maxSends } of this.#attempts.running) sends += maxSends;
    return sends;
  }

  /**
   * Serves the request.
   *
   * @returns whether the response has been written; false if no peer took the request, which was then sent nowhere
   * @throws RouterError that states why there is no response and whether the request may have run
   */
  async run(): Promise<boolean> {
    for (;;) {
      const first = this.#startNext();
      if (first === undefined) break;
      this.#attempts.add(first);
      const { result } = await this.#attempts.result();
      if (this.#isSuperseded) return false;
      if (await this.#handleResult(result)) return true;
    }
    if (this.#hasSent) throw new RouterError('upstreamFailed', 'no other peer took the request');
    return false;
  }

  /** Ends the relay, since the request is answered otherwise. */
  supersede(): void {
    this.#isSuperseded = true;
    this.#attempts.supersedeAll();
  }

  /** Sends the request to another peer; undefined if there is none left. */
  #startNext(): PeerContender | undefined {
    if (this.#isSuperseded || this.#asked.size >= maxPeers) return undefined;
    const maxSends = this.#nextMaxSends;
    if (maxSends === 0) return undefined;
    const peer = this.#dependencies.relayPeers.choose(this.#asked);
    if (peer === undefined) return undefined;
    const attempt: Attempt = this.#createAttempt(peer, maxSends, () => {
      this.#recordProgress(contender);
    });
    const contender: PeerContender = {
      peer,
      maxSends,
      ended: attempt.run(),
      supersede: () => {
        attempt.supersede();
      },
    };
    return contender;
  }

  /** Number of upstreams that the request was or may have been sent to. */
  get #allSends(): number {
    return this.#sends + this.#peerSends + this.sendsUnderWay;
  }

  #decideSend(): ResendDecision {
    const isUnderWay = this.#attempts.running.size > 0;
    return decideSend(this.#call, { sends: this.#allSends, isUnderWay });
  }

  /** Number of upstreams to which the next peer may send the request; a part is kept for a further peer. */
  get #nextMaxSends(): number {
    if (this.#decideSend() !== 'send') return 0;
    const left = this.#call.route.maxUpstreams - this.#allSends;
    return isRepeatable(this.#call) ? Math.ceil(left / 2) : left;
  }

  /** Asks another peer beside the silent one, if that is allowed. */
  #hedge(): void {
    if (this.#asked.size >= maxPeers || this.#decideSend() !== 'send') return;
    const retry = this.#dependencies.retries.takeRetry(this.#call.service.name);
    if (retry === undefined) return;
    const next = this.#startNext();
    if (next === undefined) retry.giveBack();
    else this.#attempts.add(next);
  }

  #recordProgress(contender: PeerContender): void {
    this.#attempts.recordProgress(contender);
    this.#onProgress?.();
  }

  #createAttempt(peer: Upstream, maxSends: number, onProgress: () => void): Attempt {
    const { clock, codec, relayPeers, responseMemory, sendGate } = this.#dependencies;
    const { route, trace } = this.#call;
    this.#asked.add(instanceIdOf(peer));
    trace.add('relayed', { peer: peer.id, ownInFlight: peer.inFlight.size });
    const { baseMs, targetLatencies } = peerInactivity;
    const inactivityTimeoutMs = isRepeatable(this.#call)
      ? baseMs + targetLatencies * route.targetLatencyMs
      : undefined;
    return new Attempt({
      clock,
      codec,
      call: this.#call,
      upstream: peer,
      responseMemory,
      sendGate,
      isMixed: false,
      isRecordStale: false,
      relayedBy: relayPeers.instanceId,
      maxPeerSends: maxSends,
      relayKey: relayPeers.keyOf(instanceIdOf(peer)),
      // Decided when the peer was chosen.
      decideSend: () => 'send',
      fetchFrom: undefined,
      prefill: undefined,
      onProgress,
      onSilent: () => {
        this.#hedge();
      },
      onStreamBegun: (run) => {
        recordStreamBegin(this.#call, run, this.#dependencies);
      },
      onFirstEvent: () => undefined,
      onStatement: (received, relayedFrom) => {
        this.#applyStatement(received, relayedFrom);
      },
      onForeignResponse: (reason) => {
        this.#dependencies.metrics.count('foreignResponses', `${reason}/${peer.id}`);
      },
      inactivityTimeoutMs,
    });
  }

  /** Records the end of one attempt, whether or not others continue. */
  #recordEnd({ contender, result }: EndedContender<PeerContender>): void {
    const { peer, maxSends } = contender;
    const { relayPeers, metrics } = this.#dependencies;
    const { trace, progress } = this.#call;
    trace.add(result.kind, { peer: peer.id, ...('reason' in result && { reason: result.reason }) });
    metrics.count('relayed', result.kind);
    const isOutrun = result.kind === 'superseded' && result.wasSilent;
    if (result.kind === 'broken' || (result.kind === 'superseded' && result.wasSent)) {
      progress.knowledge = 'unknown';
      progress.peerSendCount += maxSends;
      this.#peerSends += maxSends;
      this.#hasSent = true;
    }
    if (result.kind === 'notRun') relayPeers.passOver(instanceIdOf(peer), 'refused');
    if (result.kind === 'notSent' || result.kind === 'broken' || isOutrun)
      relayPeers.passOver(instanceIdOf(peer), 'unreachable');
  }

  /** Handles the result of the attempts; returns whether the caller's request is complete. */
  async #handleResult(result: AttemptResult): Promise<boolean> {
    const { codec } = this.#dependencies;
    const { writer, progress, response, held } = this.#call;
    switch (result.kind) {
      case 'streamed':
        await writer.end();
        return true;
      case 'relayed':
        return true;
      case 'answer':
        // A stream that has begun cannot end with another response.
        if (response.headersSent)
          throw new RouterError('upstreamFailed', 'the peer did not resume the stream');
        if (this.#onProgress !== undefined && !isUpstreamAnswer(result))
          throw new RouterError('upstreamFailed', `the peer answered ${result.status}`);
        this.#onProgress?.();
        writePlainHead(this.#call, result, codec.callerHeaders(result.headers));
        held.addResponse(result.body.byteLength, response);
        await writer.end(result.body);
        return true;
      case 'notSent':
      case 'notRun':
        return false;
      case 'broken':
      case 'superseded':
        if (this.#tryTakeRetry()) return false;
        throw new RouterError(
          isRepeatable(this.#call) ? 'upstreamFailed' : 'outcomeUnknown',
          'the connection to the peer that relayed the request failed',
        );
      case 'deadline':
        throw new RouterError('deadlineExceeded', 'the deadline of the request has passed', {
          ran: result.wasSent || mayHaveRun(progress.knowledge) ? 'unknown' : 'notRun',
        });
      case 'callerGone':
        throw new RouterError('cancelled', 'the caller disconnected');
    }
  }

  #tryTakeRetry(): boolean {
    if (this.#decideSend() !== 'send') return false;
    return this.#dependencies.retries.tryRetry(this.#call.service.name);
  }

  /** Of what the upstream states to the peer, only that it leaves binds this instance as well. */
  #applyStatement(received: ReceivedStatement, relayedFrom: UpstreamId | undefined): void {
    const { upstreams } = this.#dependencies;
    const upstream = relayedFrom === undefined ? undefined : upstreams.get(relayedFrom);
    if (upstream === undefined || !received.statement.isLeaving) return;
    const statement = { ...emptyStatement, isLeaving: true };
    upstreams.applyStatement(upstream, { ...received, statement });
  }
}

function instanceIdOf(peer: Upstream): InstanceId {
  return peer.id as string as InstanceId;
}

/** Whether an upstream has served the request, rather than it or the peer having failed or refused. */
function isUpstreamAnswer({ status, headers }: PlainResponse): boolean {
  return status < firstServerError && rawHeaderValue(headers, relayUpstreamHeader) !== undefined;
}
