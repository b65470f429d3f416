/**
 * Simulates, in virtual time, instances that send requests to upstreams with rate limits.
 */
import {
  createRandom,
  type FailureDomainId,
  type InstanceId,
  type Random,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import { UpstreamLimitGossip, UpstreamTable, type UpstreamRecord } from '@acaciacrank/forwarding';
import { FleetSimulation, type FleetNode } from '../FleetSimulation/index.js';

/** One process run of an instance, with its upstream table. */
interface SendingNode extends FleetNode {
  readonly table: UpstreamTable;
  readonly gossip: UpstreamLimitGossip;
}

/** A simulated upstream: the limit that it sets and the requests that it received. */
export interface LimitedUpstream {
  readonly record: UpstreamRecord;
  /** Requests per second from all instances combined; undefined for no limit. */
  limitPerS: number | undefined;
  readonly arrivalsMs: number[];
}

const service = 'app' as ServiceName;
/** One-way network latency to an upstream, in milliseconds. */
const latencyMs = 2;
/** Processing time of a request, in milliseconds. */
const processingMs = 20;
/** Step of virtual time, in milliseconds. */
const stepMs = 10;

/** A fleet of instances and the upstreams of one service. */
export class RateLimitSimulation {
  readonly fleet: FleetSimulation;
  readonly upstreams: readonly LimitedUpstream[];
  /** Requests sent, and requests refused because no upstream had capacity. */
  readonly counts = { sent: 0, refused: 0 };
  readonly #senders = new Map<string, SendingNode>();
  readonly #random: Random;
  readonly #suspended = new Set<string>();
  readonly #isSharingLimits: boolean;

  /** @param isSharingLimits - whether instances share limits; if false, each one uses the full limits */
  constructor(seed: number, ids: readonly string[], upstreamCount: number, isSharingLimits = true) {
    this.#isSharingLimits = isSharingLimits;
    this.#random = createRandom(seed * 7_919);
    this.fleet = new FleetSimulation(seed, []);
    this.upstreams = Array.from({ length: upstreamCount }, (_, index) => ({
      record: recordOf(`u${index}`),
      limitPerS: undefined,
      arrivalsMs: [],
    }));
    for (const id of ids) this.start(id);
  }

  /** Starts an instance, replacing its previous process run if there is one. */
  start(id: string): void {
    const { clock } = this.fleet;
    const node = this.fleet.start(id, true, (peer) => {
      gossip.sendAllTo(peer);
    });
    const { links, fleet } = node;
    const table: UpstreamTable = new UpstreamTable({
      clock,
      limitSharing: {
        instanceId: id as InstanceId,
        sharers: () => (this.#isSharingLimits ? fleet.rateSharingInstances : [id as InstanceId]),
      },
      onChange: ({ upstreamId, what, toldBy }) => {
        const upstream = table.get(upstreamId);
        if (!what.startsWith('limit') || toldBy !== undefined || upstream === undefined) return;
        gossip.announce(upstream);
      },
    });
    table.replaceAll(this.upstreams.map(({ record }) => record));
    const peers = () => fleet.liveInstances.filter((other) => (other as string) !== id);
    const gossip: UpstreamLimitGossip = new UpstreamLimitGossip({
      links,
      clock,
      random: this.#random,
      table,
      peers,
    });
    void gossip.run();
    this.#senders.set(id, { ...node, table, gossip });
  }

  /** Stops an instance as a power loss does: the others receive no notice. */
  powerOff(id: string): void {
    this.#senders.get(id)?.gossip[Symbol.dispose]();
    this.#senders.delete(id);
    this.fleet.powerOff(id);
  }

  /** Disconnects an instance from the store and from all others; it still receives requests. */
  isolate(id: string, isIsolated = true): void {
    this.fleet.network.isolate(id, isIsolated);
    this.fleet.setStoreUnavailable([id], isIsolated);
  }

  /** Simulates a suspended process: the instance sends no requests and does not reach the others. */
  suspend(id: string, isSuspended = true): void {
    if (isSuspended) this.#suspended.add(id);
    else this.#suspended.delete(id);
    this.fleet.network.isolate(id, isSuspended);
  }

  /** Starts a planned shutdown of an instance; it still sends the requests that it receives. */
  leave(id: string): void {
    this.#senders.get(id)?.fleet.leave();
  }

  /**
   * Advances the clock under load.
   *
   * @param forMs - duration in milliseconds
   * @param requestsPerSecond - load over all running instances
   */
  async run(forMs: number, requestsPerSecond: number): Promise<void> {
    for (let passedMs = 0; passedMs < forMs; passedMs += stepMs) {
      await this.fleet.clock.advance(stepMs);
      const serving = [...this.#senders].filter(([id]) => !this.#suspended.has(id));
      const requestsPerStep = (requestsPerSecond * stepMs) / 1_000 / serving.length;
      for (const [, sender] of serving) {
        let due = requestsPerStep;
        while (this.#random() < due) {
          this.#send(sender);
          due -= 1;
        }
      }
    }
  }

  /** The highest number of requests that an upstream received in any window within the time span. */
  maxInWindow(
    upstream: LimitedUpstream,
    windowMs: number,
    fromMs: number,
    toMs = Infinity,
  ): number {
    const arrivals = upstream.arrivalsMs.filter((atMs) => atMs >= fromMs && atMs <= toMs);
    const counts = arrivals.map((endMs, at) => {
      const first = arrivals.findIndex((atMs) => atMs > endMs - windowMs);
      return at - first + 1;
    });
    return Math.max(0, ...counts);
  }

  #send({ table }: SendingNode): void {
    const available = table.usable(service).filter(({ hasRoom }) => hasRoom);
    const chosen = available[Math.floor(this.#random() * available.length)];
    const upstream = this.upstreams.find(({ record }) => record.id === chosen?.id);
    if (chosen === undefined || upstream === undefined) {
      this.counts.refused += 1;
      return;
    }
    this.counts.sent += 1;
    const { clock } = this.fleet;
    const inFlight = chosen.begin(undefined);
    clock.schedule(latencyMs, () => upstream.arrivalsMs.push(clock.monotonicMs()));
    clock.schedule(latencyMs + processingMs, () => {
      const requestsPerSecond = upstream.limitPerS ?? Infinity;
      clock.schedule(latencyMs, () => {
        chosen.end(inFlight);
        const limitStatement = {
          requestsPerSecond,
          sentMs: inFlight.sentMs,
          receivedMs: clock.monotonicMs(),
        };
        const change = chosen.limit.update(limitStatement);
        if (change !== undefined) table.reportLimitChange(chosen, change);
      });
    });
  }
}

function recordOf(id: string): UpstreamRecord {
  return {
    id: id as UpstreamId,
    service,
    ip: '10.0.0.1',
    port: 80,
    failureDomain: 'here' as FailureDomainId,
    slots: 16,
    state: 'live',
    startedAtMs: 1_000,
  };
}
