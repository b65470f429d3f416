/**
 * Simulates, in virtual time, instances that send requests to upstreams which warm up and to failure
 * domains that are drained.
 */
import {
  createLog,
  createRandom,
  type FailureDomainId,
  type InstanceId,
  type Random,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import {
  createDrainFollower,
  DomainDrains,
  PeerUpstreamSync,
  UpstreamTable,
  type UpstreamRecord,
  type WarmUpPolicy,
} from '@acaciacrank/forwarding';
import { ObjectFollower } from '@acaciacrank/store';
import { FleetSimulation, type FleetNode } from '../FleetSimulation/index.js';

/** A process run of an instance, with what it knows of the upstreams. */
export interface WarmUpNode extends FleetNode {
  readonly table: UpstreamTable;
  readonly drains: DomainDrains;
}

/** A simulated upstream and the requests that its current run received. */
export interface WarmingUpstream {
  record: UpstreamRecord;
  isUp: boolean;
  /** Until when it is truly warming up, on the virtual clock. */
  warmUntilMs: number;
  /** When requests arrived while it was warming up. */
  warmUpArrivalsMs: number[];
  /** When all requests arrived. */
  readonly arrivalsMs: number[];
}

/** Options of {@link WarmUpSimulation}. */
export interface WarmUpSimulationOptions {
  seed: number;
  instances: readonly string[];
  /** Number of upstreams in each failure domain. */
  domains: Readonly<Record<string, number>>;
  policy?: WarmUpPolicy;
  /** Whether instances keep to the bound of upstreams that warm up; true by default. */
  isBoundKept?: boolean;
}

/** The service whose upstreams are simulated. */
export const warmUpService = 'app' as ServiceName;
const defaultPolicy: WarmUpPolicy = { durationMs: 3_000, requestsPerSecond: 7, maxPerSecond: 15.5 };
const upstreamPrefix = 'upstreams/';
const drainPrefix = 'drains/';
const windowMs = 1_000;
/** One-way network latency to an upstream, in milliseconds. */
const latencyMs = 2;
const connectTimeoutMs = 500;
/** Processing time of a request, in milliseconds. */
const processingMs = 20;
/** Step of virtual time, in milliseconds. */
const stepMs = 10;
const silentLog = createLog('warm-up', { level: 'fatal' });

/** A fleet of instances and the upstreams of one service in several failure domains. */
export class WarmUpSimulation {
  readonly fleet: FleetSimulation;
  readonly upstreams: WarmingUpstream[] = [];
  readonly counts = { sent: 0, refused: 0 };
  readonly policy: WarmUpPolicy;
  readonly #nodes = new Map<string, WarmUpNode>();
  readonly #random: Random;
  readonly #isBoundKept: boolean;

  constructor(options: WarmUpSimulationOptions) {
    const { seed, instances, domains, policy = defaultPolicy, isBoundKept = true } = options;
    this.policy = policy;
    this.#isBoundKept = isBoundKept;
    this.#random = createRandom(seed * 7_919);
    this.fleet = new FleetSimulation(seed, []);
    for (const [domain, count] of Object.entries(domains)) {
      for (let index = 0; index < count; index += 1) this.#addUpstream(`${domain}${index}`, domain);
    }
    for (const id of instances) this.start(id);
  }

  get nowMs(): number {
    return this.fleet.clock.monotonicMs();
  }

  /** What one instance knows. */
  node(id: string): WarmUpNode | undefined {
    return this.#nodes.get(id);
  }

  /** The upstreams of a failure domain. */
  inDomain(domain: string): WarmingUpstream[] {
    return this.upstreams.filter(({ record }) => (record.failureDomain as string) === domain);
  }

  /** Starts an instance, replacing its previous process run if there is one. */
  start(id: string): void {
    const { clock } = this.fleet;
    const node = this.fleet.start(id);
    const { fleet, store } = node;
    const table = new UpstreamTable({
      clock,
      limitSharing: { instanceId: id as InstanceId, sharers: () => fleet.rateSharingInstances },
      onChange: () => undefined,
      warmUp: () => (this.#isBoundKept ? this.policy : undefined),
    });
    const services = () => [warmUpService];
    const { metrics } = node;
    const drains = new DomainDrains({ clock, table, services, log: silentLog, metrics });
    const followed = { store, clock, random: this.#random };
    const follower = new ObjectFollower({
      ...followed,
      prefix: upstreamPrefix,
      onSnapshot: ({ objects }) => {
        table.replaceAll(objects.map(({ value, version }) => recordOf(value, version)));
      },
      onChange: ({ key, object }) => {
        if (object !== undefined) table.put(recordOf(object.value, object.version));
        else table.remove(key.slice(upstreamPrefix.length) as UpstreamId);
      },
      onLost: () => {
        table.markStoreUnavailable();
      },
      onRegained: () => {
        table.markStoreAvailable();
      },
    });
    const drainFollower = createDrainFollower({ ...followed, prefix: drainPrefix, drains });
    const sync = new PeerUpstreamSync({
      rpc: fleet.rpc,
      clock,
      random: this.#random,
      table,
      drains,
      isStoreUnavailable: () => follower.isLost,
      peers: () => fleet.liveInstances.filter((other) => (other as string) !== id),
    });
    for (const task of [follower, drainFollower, sync]) void task.run();
    this.#nodes.set(id, { ...node, table, drains });
  }

  /** Stops an instance as a power loss does: the others receive no notice. */
  powerOff(id: string): void {
    this.#nodes.delete(id);
    this.fleet.powerOff(id);
  }

  /** Stops upstreams without a notice; their records stay in the store. */
  crash(upstreams: readonly WarmingUpstream[]): void {
    for (const upstream of upstreams) upstream.isUp = false;
  }

  /** Starts a new run of upstreams under their ids, which has to warm up. */
  restart(upstreams: readonly WarmingUpstream[]): void {
    for (const upstream of upstreams) {
      upstream.isUp = true;
      upstream.warmUpArrivalsMs = [];
      upstream.warmUntilMs = this.nowMs + this.policy.durationMs;
      const startedAtMs = (upstream.record.startedAtMs ?? 0) + 1;
      this.writeRecord(upstream, { startedAtMs, warmUpMs: this.policy.durationMs });
    }
  }

  /** Replaces an upstream by one under a new id, which has to warm up. */
  replace(upstream: WarmingUpstream, id: string): WarmingUpstream {
    this.writeRecord(upstream, { state: 'leaving' });
    const next = this.#addUpstream(id, upstream.record.failureDomain);
    next.warmUntilMs = this.nowMs + this.policy.durationMs;
    this.writeRecord(next, { warmUpMs: this.policy.durationMs });
    return next;
  }

  /** Lets running upstreams warm up again; their records state it after a while. */
  coolDown(upstreams: readonly WarmingUpstream[], toldAfterMs: number): void {
    for (const upstream of upstreams) {
      upstream.warmUpArrivalsMs = [];
      upstream.warmUntilMs = this.nowMs + this.policy.durationMs;
      this.fleet.clock.schedule(toldAfterMs * this.#random(), () => {
        const warmUpMs = Math.max(0, upstream.warmUntilMs - this.nowMs);
        this.writeRecord(upstream, { warmUpMs });
      });
    }
  }

  /** Changes the record of an upstream in the store. */
  writeRecord(upstream: WarmingUpstream, fields: Partial<UpstreamRecord>): void {
    upstream.record = { ...upstream.record, ...fields };
    const { platform } = this.fleet;
    platform.write(`${upstreamPrefix}${upstream.record.id}`, upstream.record, { kind: 'none' });
  }

  /** Drains a failure domain, or takes the drain back. */
  drain(domain: string, isDrained = true): void {
    const { platform } = this.fleet;
    const key = `${drainPrefix}${domain}`;
    if (isDrained) platform.write(key, {}, { kind: 'none' });
    else platform.remove(key, platform.read(key)?.version ?? 0);
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
      const nodes = [...this.#nodes.values()];
      const requestsPerStep = (requestsPerSecond * stepMs) / 1_000 / Math.max(1, nodes.length);
      for (const node of nodes) {
        for (let due = requestsPerStep; this.#random() < due; due -= 1) this.#send(node);
      }
    }
  }

  /** The highest number of requests that an upstream received in any second while it warmed up. */
  maxWhileWarmingUp({ warmUpArrivalsMs }: WarmingUpstream): number {
    const counts = warmUpArrivalsMs.map((endMs, at) => {
      const first = warmUpArrivalsMs.findIndex((atMs) => atMs > endMs - windowMs);
      return at - first + 1;
    });
    return Math.max(0, ...counts);
  }

  #addUpstream(id: string, domain: string): WarmingUpstream {
    const record: UpstreamRecord = {
      id: id as UpstreamId,
      service: warmUpService,
      ip: '10.0.0.1',
      port: 80,
      failureDomain: domain as FailureDomainId,
      slots: 16,
      state: 'live',
      startedAtMs: 1_000,
      warmUpMs: 0,
    };
    const upstream = {
      record,
      isUp: true,
      warmUntilMs: -Infinity,
      warmUpArrivalsMs: [],
      arrivalsMs: [],
    };
    this.upstreams.push(upstream);
    this.writeRecord(upstream, {});
    return upstream;
  }

  /** Sends a request to any upstream that has room, as little loaded as can be. */
  #send({ table }: WarmUpNode): void {
    const { clock } = this.fleet;
    const available = table
      .usable(warmUpService)
      .filter((upstream) => upstream.hasRoom && !upstream.isEjected(clock.monotonicMs()));
    const chosen = available[Math.floor(this.#random() * available.length)];
    const upstream = this.upstreams.find(({ record }) => record.id === chosen?.id);
    if (chosen === undefined || upstream === undefined) {
      this.counts.refused += 1;
      return;
    }
    this.counts.sent += 1;
    const inFlight = chosen.begin(undefined);
    if (!upstream.isUp) {
      clock.schedule(connectTimeoutMs, () => {
        chosen.end(inFlight);
        chosen.eject();
      });
      return;
    }
    clock.schedule(latencyMs, () => {
      const nowMs = clock.monotonicMs();
      upstream.arrivalsMs.push(nowMs);
      if (nowMs < upstream.warmUntilMs) upstream.warmUpArrivalsMs.push(nowMs);
    });
    clock.schedule(2 * latencyMs + processingMs, () => {
      chosen.end(inFlight);
      chosen.recordSuccess();
    });
  }
}

function recordOf(value: unknown, version: number): UpstreamRecord {
  return { ...(value as UpstreamRecord), version };
}
