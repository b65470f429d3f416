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
import type { RetryShare } from '@acaciacrank/routing';
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
import { isRepeatable, type ForwardCall } from '../ForwardCall/index.js';
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
  readonly metrics: Metrics;
}

/** Number of peers that are requested one request at most. */
const maxPeers = 3;
/** Where a peer sends nothing for this long, and some target latencies, another one is asked if the request is repeatable. */
const peerInactivity = { baseMs: 500, targetLatencies: 3 } as const;

/** Options of {@link Relay}. */
export interface RelayOptions {
  /**
   * Called before anything that a peer gives is passed on to the caller. If it is there, the relay runs beside attempts
   * of this instance, and only an upstream's own answer counts against them.
   */
  onProgress?: () => void;
}

/** The request at one peer. */
interface PeerContender extends Contender {
  readonly peer: Upstream;
}

/**
 * Relays one request. The peer authenticates it, debits the account, chooses the upstream and heeds what that
 * states, as for a request of its own callers; it relays no request that was relayed to it.
 */
export class Relay {
  readonly #dependencies: RelayDependencies;
  readonly #call: ForwardCall;
  readonly #onProgress: (() => void) | undefined;
  readonly #asked = new Set<InstanceId>();
  readonly #attempts = new HedgedAttempts<PeerContender>({
    onEnded: (ended) => {
      this.#recordEnd(ended);
    },
    hasBegun: () => this.#call.progress.events > 0,
  });
  #hasSent = false;
  #isSuperseded = false;

  constructor(
    dependencies: RelayDependencies,
    call: ForwardCall,
    { onProgress }: RelayOptions = {},
  ) {
    this.#dependencies = dependencies;
    this.#call = call;
    this.#onProgress = onProgress;
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
    const peer = this.#dependencies.relayPeers.choose(this.#asked);
    if (peer === undefined) return undefined;
    const attempt: Attempt = this.#createAttempt(peer, () => {
      this.#recordProgress(contender);
    });
    const contender: PeerContender = {
      peer,
      ended: attempt.run(),
      supersede: () => {
        attempt.supersede();
      },
    };
    return contender;
  }

  /** Asks another peer beside the silent one, if that is allowed. */
  #hedge(): void {
    if (this.#asked.size >= maxPeers || !isRepeatable(this.#call)) return;
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

  #createAttempt(peer: Upstream, onProgress: () => void): Attempt {
    const { clock, codec, relayPeers, responseMemory } = this.#dependencies;
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
      isMixed: false,
      isRecordStale: false,
      relayedBy: relayPeers.instanceId,
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
  #recordEnd({ contender: { peer }, result }: EndedContender<PeerContender>): void {
    const { relayPeers, metrics } = this.#dependencies;
    const { trace, progress } = this.#call;
    trace.add(result.kind, { peer: peer.id, ...('reason' in result && { reason: result.reason }) });
    metrics.count('relayed', result.kind);
    const isOutrun = result.kind === 'superseded' && result.wasSilent;
    if (result.kind === 'broken' || (result.kind === 'superseded' && result.wasSent)) {
      progress.mayHaveRun = true;
      this.#hasSent = true;
    }
    if (result.kind === 'notRun') relayPeers.passOver(instanceIdOf(peer), 'refused');
    if (result.kind === 'notSent' || result.kind === 'broken' || isOutrun)
      relayPeers.passOver(instanceIdOf(peer), 'unreachable');
  }

  /** Handles the result of the attempts; returns whether the caller's request is complete. */
  async #handleResult(result: AttemptResult): Promise<boolean> {
    const { codec } = this.#dependencies;
    const { writer, progress, response } = this.#call;
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
          ran: result.wasSent || progress.mayHaveRun ? 'unknown' : 'notRun',
        });
      case 'callerGone':
        throw new RouterError('cancelled', 'the caller disconnected');
    }
  }

  #tryTakeRetry(): boolean {
    if (!isRepeatable(this.#call)) return false;
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
