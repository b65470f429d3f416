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
import { MemoryFleet, type MemoryFleetLinks } from '../../MemoryFleet/index.js';

/** One instance that has only its membership. */
export interface MemberNode {
  readonly id: InstanceId;
  readonly membership: Membership;
  readonly links: MemoryFleetLinks;
  readonly metrics: Metrics;
  /** Ids that this instance has given up so far. */
  readonly givenUp: InstanceId[];
  /** Every version that this instance acted on, the one in force last. */
  readonly versions: number[];
  readonly spread: ConfigurationGossip;
}

const silent = createLog('members', { level: 'fatal' });

/** Many instances that have only their membership, on a manual clock. */
export class MemberFleet {
  readonly clock = new ManualClock();
  readonly network: MemoryFleet;
  readonly nodes = new Map<string, MemberNode>();
  /** The platform's list; it does not change by itself, as the longest lag would show. */
  list: ListedInstance[];
  readonly #seed: number;
  readonly #manifestBytes: number;
  /** What instances sent that are gone. */
  readonly #sentBefore = { messages: 0, bytes: 0 };
  #lives = 0;

  /** @param manifestBytes - how large the manifests are that spread */
  constructor(size: number, seed = 1, manifestBytes = 0) {
    this.#seed = seed;
    this.#manifestBytes = manifestBytes;
    this.network = new MemoryFleet({ clock: this.clock, seed });
    const ids = Array.from({ length: size }, (_, index) => `i${index + 1}`);
    this.list = ids.map(listedAs);
    for (const id of ids) this.start(id);
  }

  /** Starts an instance, also in place of its former self. */
  start(id: string): MemberNode {
    this.#lives += 1;
    const life = `life${this.#lives}`;
    const instanceId = id as InstanceId;
    const links = this.network.linksFor(instanceId);
    const metrics = new Metrics();
    const random = createRandom(this.#seed * 100_003 + this.#lives);
    const { clock } = this;
    const rpc = new FleetRpc({ links, clock });
    const { url, fleetUrl = '', failureDomain } = listedAs(id);
    const self = { id: instanceId, life, failureDomain };
    const versions = [1];
    const version = () => versions.at(-1) ?? 0;
    const options = { clock, random, links, rpc, metrics, log: silent, self };
    const membership = new Membership({ ...options, configurationVersion: version });
    const offer = (manifest: unknown) => {
      const offered = (manifest as { version: number }).version;
      if (offered <= version()) return false;
      versions.push(offered);
      spread.announce(offered);
      return true;
    };
    const padding = 'x'.repeat(this.#manifestBytes);
    const manifest = () => ({ version: version(), padding });
    const configuration = { version, offer, manifest, objectText: () => undefined };
    const spread = new ConfigurationGossip({ ...options, membership, configuration });
    const givenUp: InstanceId[] = [];
    const node = { id: instanceId, membership, links, metrics, givenUp, versions, spread };
    membership.start({ url, fleetUrl });
    membership.declareLive();
    membership.applyInstanceList(this.list);
    const dead = new Set<InstanceId>();
    void membership.members.changes.forEach((members) => {
      for (const { id: other, state } of members) {
        if (state === 'dead' && !dead.has(other)) givenUp.push(other);
        if (state === 'dead') dead.add(other);
        else dead.delete(other);
      }
    });
    this.nodes.set(id, node);
    return node;
  }

  /** Ends an instance without a word, as a power cut does. */
  crash(id: string): void {
    const node = this.nodes.get(id);
    if (node === undefined) return;
    this.#sentBefore.messages += node.links.traffic.sentMessages;
    this.#sentBefore.bytes += node.links.traffic.sentBytes;
    node.links[Symbol.dispose]();
    node.spread[Symbol.dispose]();
    void node.membership[Symbol.asyncDispose]();
    this.nodes.delete(id);
  }

  /** Puts a version in force at one instance, as when only that one reaches the store. */
  accept(id: string, version: number): void {
    this.nodes.get(id)?.versions.push(version);
    this.nodes.get(id)?.spread.announce(version);
  }

  /** Whether a version is in force everywhere. */
  isInForce(version: number): boolean {
    return [...this.nodes.values()].every(({ versions }) => versions.at(-1) === version);
  }

  /** Ends an instance and starts it again, with no configuration. */
  restart(id: string): void {
    this.crash(id);
    this.start(id);
  }

  /** What all instances have sent, those that are gone included. */
  sent(): { messages: number; bytes: number } {
    const sum = { ...this.#sentBefore };
    for (const { links } of this.nodes.values()) {
      sum.messages += links.traffic.sentMessages;
      sum.bytes += links.traffic.sentBytes;
    }
    return sum;
  }

  /** How one instance sees another. */
  view(from: string, of: string): Member | undefined {
    return this.nodes.get(from)?.membership.members.value.find(({ id }) => id === of);
  }

  /** How all but itself see an instance. */
  viewsOf(id: string): (Member | undefined)[] {
    return [...this.nodes.keys()]
      .filter((other) => other !== id)
      .map((from) => this.view(from, id));
  }

  /** Whether everybody sees everybody else that runs as live. */
  get isWhole(): boolean {
    const ids = [...this.nodes.keys()];
    return ids.every((id) => this.viewsOf(id).every((member) => member?.state === 'live'));
  }

  /**
   * Lets time pass until something is so.
   *
   * @returns how long it took, in milliseconds; undefined when it did not come within the limit
   */
  async timeUntil(isSo: () => boolean, limitMs: number): Promise<number | undefined> {
    const startMs = this.clock.monotonicMs();
    while (this.clock.monotonicMs() - startMs <= limitMs) {
      if (isSo()) return this.clock.monotonicMs() - startMs;
      await this.clock.advance(50);
    }
    return undefined;
  }

  /** All that was given up by anybody so far. */
  givenUp(): InstanceId[] {
    return [...this.nodes.values()].flatMap((node) => node.givenUp);
  }

  /** A counter, over all instances. */
  counted(metric: string): number {
    return [...this.nodes.values()].reduce((sum, { metrics }) => sum + metrics.counter(metric), 0);
  }
}

function listedAs(id: string): ListedInstance {
  return {
    id: id as InstanceId,
    role: 'entry',
    url: `http://10.0.0.${id.slice(1)}:8080`,
    fleetUrl: `ws://10.0.0.${id.slice(1)}:7070`,
    failureDomain: `fd${Number(id.slice(1)) % 3}` as FailureDomainId,
    state: 'live',
  };
}
