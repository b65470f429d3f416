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
import type { RetryShare } from '@acaciacrank/routing';
import type { ForwardCodec } from '../../ForwardCodec/index.js';
import type { RelayPeers } from '../../RelayPeers/index.js';
import type { StreamAffinity } from '../../StreamAffinity/index.js';
import type { UpstreamTable } from '../../UpstreamTable/index.js';
import { Attempt } from '../Attempt/index.js';
import type { ReceivedStatement } from '../applyStatement/index.js';
import type { AttemptResult } from '../AttemptResult/index.js';
import { isRepeatable, type ForwardCall } from '../ForwardCall/index.js';
import { recordStreamBegin } from '../recordStreamBegin/index.js';
import { writePlainHead } from '../responseHeaders/index.js';
import type { Upstream } from '../Upstream/index.js';

/** Dependencies shared by all relayed requests of an instance. */
export interface RelayDependencies {
  readonly clock: Clock;
  readonly codec: ForwardCodec;
  readonly upstreams: UpstreamTable;
  readonly retries: RetryShare;
  readonly relayPeers: RelayPeers;
  readonly affinity: StreamAffinity;
  readonly metrics: Metrics;
}

/** Number of peers that are asked for one request at most. */
const maxPeers = 3;
/** A peer that sends nothing for this long, and some target latencies, is given up if the request is repeatable. */
const peerInactivity = { baseMs: 500, targetLatencies: 3 } as const;

/**
 * Relays one request. The peer authenticates it, debits the account, chooses the upstream and heeds what that
 * states, as for a request of its own callers; it relays no request that was relayed to it.
 */
export class Relay {
  readonly #dependencies: RelayDependencies;
  readonly #call: ForwardCall;
  readonly #asked = new Set<InstanceId>();
  #hasSent = false;

  constructor(dependencies: RelayDependencies, call: ForwardCall) {
    this.#dependencies = dependencies;
    this.#call = call;
  }

  /**
   * Serves the request.
   *
   * @returns whether the response has been written; false if no peer took the request, which was then sent nowhere
   * @throws RouterError that states why there is no response and whether the request may have run
   */
  async run(): Promise<boolean> {
    const { progress } = this.#call;
    progress.eventsBeforeRelay ??= progress.events;
    while (this.#asked.size < maxPeers) {
      const peer = this.#dependencies.relayPeers.choose(this.#asked);
      if (peer === undefined) break;
      const result = await this.#attempt(peer);
      if (await this.#handleResult(peer, result)) return true;
    }
    if (this.#hasSent) throw new RouterError('upstreamFailed', 'no other peer took the request');
    progress.eventsBeforeRelay = undefined;
    return false;
  }

  async #attempt(peer: Upstream): Promise<AttemptResult> {
    const { clock, codec, relayPeers } = this.#dependencies;
    const { route, trace } = this.#call;
    this.#asked.add(instanceIdOf(peer));
    trace.add('relayed', { peer: peer.id, ownInFlight: peer.inFlight.size });
    const { baseMs, targetLatencies } = peerInactivity;
    const inactivityTimeoutMs = isRepeatable(this.#call)
      ? baseMs + targetLatencies * route.targetLatencyMs
      : undefined;
    const attempt = new Attempt({
      clock,
      codec,
      call: this.#call,
      upstream: peer,
      isMixed: false,
      isRecordStale: false,
      relayedBy: relayPeers.instanceId,
      fetchFrom: undefined,
      prefill: undefined,
      onStreamBegun: (run) => {
        recordStreamBegin(this.#call, run, this.#dependencies);
      },
      onFirstEvent: () => undefined,
      onStatement: (received, relayedFrom) => {
        this.#applyStatement(received, relayedFrom);
      },
      inactivityTimeoutMs,
    });
    return await attempt.run();
  }

  /** Handles the result of an attempt; returns whether the caller's request is complete. */
  async #handleResult(peer: Upstream, result: AttemptResult): Promise<boolean> {
    const { relayPeers, metrics, codec } = this.#dependencies;
    const { trace, writer, progress, response } = this.#call;
    trace.add(result.kind, 'reason' in result ? { reason: result.reason } : {});
    metrics.count('relayed', result.kind);
    switch (result.kind) {
      case 'streamed':
        await writer.end();
        return true;
      case 'answer':
        // A stream that has begun cannot end with another response.
        if (response.headersSent)
          throw new RouterError('upstreamFailed', 'the peer did not resume the stream');
        writePlainHead(this.#call, result, codec.callerHeaders(result.headers));
        await writer.end(result.body);
        return true;
      case 'notSent':
        relayPeers.passOver(instanceIdOf(peer), 'unreachable');
        return false;
      case 'notRun':
        relayPeers.passOver(instanceIdOf(peer), 'refused');
        return false;
      case 'broken':
      case 'silent':
        progress.mayHaveRun = true;
        this.#hasSent = true;
        relayPeers.passOver(instanceIdOf(peer), 'unreachable');
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
    const statement = {
      load: undefined,
      limitPerS: undefined,
      warmUpMs: undefined,
      isLeaving: true,
      backoffMs: undefined,
      maxRefusalsPerS: undefined,
    };
    upstreams.applyStatement(upstream, { ...received, statement });
  }
}

function instanceIdOf(peer: Upstream): InstanceId {
  return peer.id as string as InstanceId;
}
