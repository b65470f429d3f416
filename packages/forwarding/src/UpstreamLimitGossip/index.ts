import type { Clock, InstanceId, Random } from '@acaciacrank/base';
import type { FleetLinks, FleetMessageOf } from '@acaciacrank/fleet';
import type { Upstream } from '../_lib/Upstream/index.js';
import type { UpstreamTable } from '../UpstreamTable/index.js';

/** Options of {@link UpstreamLimitGossip}. */
export interface UpstreamLimitGossipOptions {
  links: FleetLinks;
  clock: Clock;
  random: Random;
  table: UpstreamTable;
  /** The other live instances. */
  peers: () => readonly InstanceId[];
}

type LimitEntries = FleetMessageOf<'upstreamLimits'>['limits'];

/** Interval at which all limits are sent to one peer, in milliseconds, since messages may be lost. */
const resendIntervalMs = 1_000;
/** For how long the removal of a limit is sent to peers, in milliseconds. */
const removalResendMs = 10_000;
/** Changes within this time are sent in one message, in milliseconds. */
const batchMs = 20;
/** Limits in one message at most. */
const maxLimits = 512;

/**
 * Sends the rate limits in upstreams' responses to peers: changes to all of them, and all limits to each
 * peer that becomes live and to one random peer at a time.
 *
 * Guards against an instance that does not learn of a new limit, or of the end of one, because it
 * receives no responses from the upstream itself. Limits known only from a peer are not passed on, and
 * each limit is sent with its age, so that it does not replace a newer one.
 */
export class UpstreamLimitGossip implements Disposable {
  readonly #options: UpstreamLimitGossipOptions;
  readonly #subscription: Disposable;
  readonly #stop = new AbortController();
  readonly #changed = new Set<Upstream>();
  #pendingBatch: Disposable | undefined;

  constructor(options: UpstreamLimitGossipOptions) {
    this.#options = options;
    this.#subscription = options.links.subscribe((message, from) => {
      if (message.kind === 'upstreamLimits') this.#receive(message.limits, from);
    });
  }

  /** Sends a limit that a response has just changed to all peers. */
  announce(upstream: Upstream): void {
    this.#changed.add(upstream);
    this.#pendingBatch ??= this.#options.clock.schedule(batchMs, () => {
      this.#pendingBatch = undefined;
      const limits = this.#describe([...this.#changed]);
      this.#changed.clear();
      for (const peer of this.#options.peers()) this.#send(peer, limits);
    });
  }

  /** Sends all limits to one peer. */
  sendAllTo(peer: InstanceId): void {
    this.#send(peer, this.#describe(this.#options.table.all()));
  }

  /** Sends all limits to one random peer at each interval, until disposed of. */
  async run(): Promise<void> {
    const { clock, random, peers } = this.#options;
    while (!this.#stop.signal.aborted) {
      await clock.sleep(resendIntervalMs, this.#stop.signal);
      const candidates = peers();
      const peer = candidates[Math.floor(random() * candidates.length)];
      if (peer !== undefined && !this.#stop.signal.aborted) this.sendAllTo(peer);
    }
  }

  [Symbol.dispose](): void {
    this.#stop.abort();
    this.#pendingBatch?.[Symbol.dispose]();
    this.#subscription[Symbol.dispose]();
  }

  #send(peer: InstanceId, limits: LimitEntries): void {
    if (limits.length > 0) this.#options.links.send(peer, { kind: 'upstreamLimits', limits });
  }

  #describe(upstreams: readonly Upstream[]): LimitEntries {
    const nowMs = this.#options.clock.monotonicMs();
    const limits = upstreams.flatMap(({ record, limit }) => {
      const stated = limit.ownStatedLimit;
      if (stated === undefined) return [];
      const { requestsPerSecond, sentMs, receivedMs } = stated;
      const isRemoved = requestsPerSecond === Infinity;
      if (isRemoved && nowMs - limit.changedMs > removalResendMs) return [];
      return {
        upstreamId: record.id,
        startedAtMs: record.startedAtMs,
        requestsPerSecond: isRemoved ? null : requestsPerSecond,
        sentAgeMs: nowMs - sentMs,
        receivedAgeMs: nowMs - receivedMs,
      };
    });
    return limits.slice(0, maxLimits);
  }

  #receive(limits: LimitEntries, from: InstanceId): void {
    const { clock, table } = this.#options;
    const nowMs = clock.monotonicMs();
    for (const { upstreamId, startedAtMs, requestsPerSecond, ...ages } of limits) {
      const upstream = table.get(upstreamId);
      if (upstream === undefined || upstream.record.startedAtMs !== startedAtMs) continue;
      const change = upstream.limit.updateFromPeer({
        requestsPerSecond: requestsPerSecond ?? Infinity,
        sentMs: nowMs - ages.sentAgeMs,
        receivedMs: nowMs - ages.receivedAgeMs,
      });
      if (change !== undefined) table.reportLimitChange(upstream, change, from);
    }
  }
}
