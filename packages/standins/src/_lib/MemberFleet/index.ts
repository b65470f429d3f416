import {
  createLog,
  createRandom,
  ManualClock,
  Metrics,
  type FailureDomainId,
  type InstanceId,
} from '@acaciacrank/base';
import { ConfigurationGossip, FleetRpc, Membership, type Member } from '@acaciacrank/fleet';
import type { ListedInstance } from '@acaciacrank/store';
import { MemoryNetwork, type MemoryFleetLinks } from '../../MemoryNetwork/index.js';

/** An instance reduced to its membership and the gossip of its configuration. */
export interface MemberNode {
  readonly id: InstanceId;
  readonly membership: Membership;
  readonly links: MemoryFleetLinks;
  readonly metrics: Metrics;
  /** Ids of the members that this instance declared dead, one entry each time. */
  readonly declaredDead: InstanceId[];
  /** Every configuration version that this instance applied, the one in force last. */
  readonly versions: number[];
  readonly gossip: ConfigurationGossip;
}

const silentLog = createLog('members', { level: 'fatal' });

/** A fleet of instances reduced to their membership and configuration gossip, in virtual time. */
export class MemberFleet {
  readonly clock = new ManualClock();
  readonly network: MemoryNetwork;
  readonly nodes = new Map<string, MemberNode>();
  /** The platform's instance list. It never changes by itself, like a list with unbounded lag. */
  list: ListedInstance[];
  readonly #seed: number;
  readonly #manifestBytes: number;
  /** Traffic sent by instances that were stopped. */
  readonly #sentByStopped = { messages: 0, bytes: 0 };
  #runCount = 0;

  /** @param manifestBytes - size of the padding in each manifest, in bytes */
  constructor(size: number, seed = 1, manifestBytes = 0) {
    this.#seed = seed;
    this.#manifestBytes = manifestBytes;
    this.network = new MemoryNetwork({ clock: this.clock, seed });
    const ids = Array.from({ length: size }, (_, index) => `i${index + 1}`);
    this.list = ids.map(createListedInstance);
    for (const id of ids) this.start(id);
  }

  /** Starts an instance, replacing its previous process run if there is one. */
  start(id: string): MemberNode {
    this.#runCount += 1;
    const life = `life${this.#runCount}`;
    const instanceId = id as InstanceId;
    const links = this.network.linksFor(instanceId);
    const metrics = new Metrics();
    const random = createRandom(this.#seed * 100_003 + this.#runCount);
    const { clock } = this;
    const rpc = new FleetRpc({ links, clock });
    const { url, fleetUrl = '', failureDomain } = createListedInstance(id);
    const self = { id: instanceId, life, failureDomain };
    const versions = [1];
    const version = () => versions.at(-1) ?? 0;
    const options = { clock, random, links, rpc, metrics, log: silentLog, self };
    const membership = new Membership({ ...options, configurationVersion: version });
    const offer = (manifest: unknown) => {
      const offeredVersion = (manifest as { version: number }).version;
      if (offeredVersion <= version()) return false;
      versions.push(offeredVersion);
      gossip.announce(offeredVersion);
      return true;
    };
    const padding = 'x'.repeat(this.#manifestBytes);
    const manifest = () => ({ version: version(), padding });
    const configuration = { version, offer, manifest, objectText: () => undefined };
    const gossip = new ConfigurationGossip({ ...options, membership, configuration });
    const declaredDead: InstanceId[] = [];
    const node = { id: instanceId, membership, links, metrics, declaredDead, versions, gossip };
    membership.start({ url, fleetUrl });
    membership.declareLive();
    membership.applyInstanceList(this.list);
    const deadIds = new Set<InstanceId>();
    void membership.members.changes.forEach((members) => {
      for (const { id: other, state } of members) {
        if (state === 'dead' && !deadIds.has(other)) declaredDead.push(other);
        if (state === 'dead') deadIds.add(other);
        else deadIds.delete(other);
      }
    });
    this.nodes.set(id, node);
    return node;
  }

  /** Stops an instance as a power loss does: the others receive no notice. */
  crash(id: string): void {
    const node = this.nodes.get(id);
    if (node === undefined) return;
    this.#sentByStopped.messages += node.links.traffic.sentMessages;
    this.#sentByStopped.bytes += node.links.traffic.sentBytes;
    node.links[Symbol.dispose]();
    node.gossip[Symbol.dispose]();
    void node.membership[Symbol.asyncDispose]();
    this.nodes.delete(id);
  }

  /** Applies a version at one instance, as if only that one could reach the store. */
  applyVersion(id: string, version: number): void {
    this.nodes.get(id)?.versions.push(version);
    this.nodes.get(id)?.gossip.announce(version);
  }

  /** Whether a version is in force at every instance. */
  isInForce(version: number): boolean {
    return [...this.nodes.values()].every(({ versions }) => versions.at(-1) === version);
  }

  /** Stops an instance without notice and starts it again at version 1. */
  restart(id: string): void {
    this.crash(id);
    this.start(id);
  }

  /** Traffic sent by all instances, the stopped ones included. */
  sent(): { messages: number; bytes: number } {
    const sum = { ...this.#sentByStopped };
    for (const { links } of this.nodes.values()) {
      sum.messages += links.traffic.sentMessages;
      sum.bytes += links.traffic.sentBytes;
    }
    return sum;
  }

  /** The member that one instance has on record for another. */
  view(observer: string, observed: string): Member | undefined {
    return this.nodes.get(observer)?.membership.members.value.find(({ id }) => id === observed);
  }

  /** The members that all other instances have on record for an instance. */
  viewsOf(id: string): (Member | undefined)[] {
    return [...this.nodes.keys()]
      .filter((other) => other !== id)
      .map((observer) => this.view(observer, id));
  }

  /** Whether every running instance sees every other one as live. */
  get isConverged(): boolean {
    const ids = [...this.nodes.keys()];
    return ids.every((id) => this.viewsOf(id).every((member) => member?.state === 'live'));
  }

  /**
   * Advances the clock until the condition holds.
   *
   * @returns the time that it took, in milliseconds; undefined if the limit was reached
   */
  async timeUntil(condition: () => boolean, limitMs: number): Promise<number | undefined> {
    const startMs = this.clock.monotonicMs();
    while (this.clock.monotonicMs() - startMs <= limitMs) {
      if (condition()) return this.clock.monotonicMs() - startMs;
      await this.clock.advance(50);
    }
    return undefined;
  }

  /** Ids of the members that any instance declared dead. */
  declaredDead(): InstanceId[] {
    return [...this.nodes.values()].flatMap((node) => node.declaredDead);
  }

  /** The sum of a counter over all running instances. */
  sumCounter(metric: string): number {
    return [...this.nodes.values()].reduce((sum, { metrics }) => sum + metrics.counter(metric), 0);
  }
}

function createListedInstance(id: string): ListedInstance {
  return {
    id: id as InstanceId,
    role: 'entry',
    url: `http://10.0.0.${id.slice(1)}:8080`,
    fleetUrl: `ws://10.0.0.${id.slice(1)}:7070`,
    failureDomain: `fd${Number(id.slice(1)) % 3}` as FailureDomainId,
    state: 'live',
  };
}
