/**
 * Simulates, on virtual time, instances that send requests to upstreams with rate limits.
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
import { FleetWorld, type FleetNode } from '../fleetWorld/index.js';

/** One run of an instance, with its upstreams. */
interface Sender extends FleetNode {
  readonly table: UpstreamTable;
  readonly spread: UpstreamLimitGossip;
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
const workMs = 20;
/** The step of virtual time, in milliseconds. */
const stepMs = 10;

/** A fleet of instances and the upstreams of one service. */
export class LimitWorld {
  readonly fleet: FleetWorld;
  readonly upstreams: readonly LimitedUpstream[];
  /** Requests that were sent, and requests that were refused because no upstream had room. */
  readonly counts = { sent: 0, refused: 0 };
  readonly #senders = new Map<string, Sender>();
  readonly #random: Random;
  readonly #frozen = new Set<string>();
  readonly #sharesLimits: boolean;

  /** @param sharesLimits - whether instances share limits; if false, each uses the whole of them */
  constructor(seed: number, ids: readonly string[], upstreamCount: number, sharesLimits = true) {
    this.#sharesLimits = sharesLimits;
    this.#random = createRandom(seed * 7_919);
    this.fleet = new FleetWorld(seed, []);
    this.upstreams = Array.from({ length: upstreamCount }, (_, index) => ({
      record: recordOf(`u${index}`),
      limitPerS: undefined,
      arrivalsMs: [],
    }));
    for (const id of ids) this.start(id);
  }

  /** Starts an instance, replacing its previous run if there is one. */
  start(id: string): void {
    const { clock } = this.fleet;
    const node = this.fleet.start(id, true, (peer) => {
      spread.sendAllTo(peer);
    });
    const { links, fleet } = node;
    const table: UpstreamTable = new UpstreamTable({
      clock,
      limitSharing: {
        instanceId: id as InstanceId,
        sharers: () => (this.#sharesLimits ? fleet.rateSharingInstances : [id as InstanceId]),
      },
      onChange: ({ upstreamId, what, toldBy }) => {
        const upstream = table.get(upstreamId);
        if (!what.startsWith('limit') || toldBy !== undefined || upstream === undefined) return;
        spread.announce(upstream);
      },
    });
    table.replaceAll(this.upstreams.map(({ record }) => record));
    const peers = () => fleet.liveInstances.filter((other) => (other as string) !== id);
    const spread: UpstreamLimitGossip = new UpstreamLimitGossip({
      links,
      clock,
      random: this.#random,
      table,
      peers,
    });
    void spread.run();
    this.#senders.set(id, { ...node, table, spread });
  }

  /** Ends an instance without notice to the others. */
  powerOff(id: string): void {
    this.#senders.get(id)?.spread[Symbol.dispose]();
    this.#senders.delete(id);
    this.fleet.powerOff(id);
  }

  /** Disconnects an instance from the store and from all others; it still receives requests. */
  cutOff(id: string, isCut = true): void {
    this.fleet.network.isolate(id, isCut);
    this.fleet.turnAway([id], isCut);
  }

  /** Simulates a suspended process: the instance sends no requests and does not reach the others. */
  freeze(id: string, isFrozen = true): void {
    if (isFrozen) this.#frozen.add(id);
    else this.#frozen.delete(id);
    this.fleet.network.isolate(id, isFrozen);
  }

  /** Starts a planned leave of an instance; it still sends the requests that it receives. */
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
      const serving = [...this.#senders].filter(([id]) => !this.#frozen.has(id));
      const share = (requestsPerSecond * stepMs) / 1_000 / serving.length;
      for (const [, sender] of serving) {
        let due = share;
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

  #send({ table }: Sender): void {
    const withRoom = table.usable(service).filter(({ hasRoom }) => hasRoom);
    const chosen = withRoom[Math.floor(this.#random() * withRoom.length)];
    const upstream = this.upstreams.find(({ record }) => record.id === chosen?.id);
    if (chosen === undefined || upstream === undefined) {
      this.counts.refused += 1;
      return;
    }
    this.counts.sent += 1;
    const { clock } = this.fleet;
    const send = chosen.begin(undefined);
    clock.schedule(latencyMs, () => upstream.arrivalsMs.push(clock.monotonicMs()));
    clock.schedule(latencyMs + workMs, () => {
      const requestsPerSecond = upstream.limitPerS ?? Infinity;
      clock.schedule(latencyMs, () => {
        chosen.end(send);
        const stated = { requestsPerSecond, sentMs: send.sentMs, receivedMs: clock.monotonicMs() };
        const change = chosen.limit.update(stated);
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
