/**
 * Simulates, in virtual time, instances that discover each other through the store and through their
 * links, for failure tests.
 */
import {
  createLog,
  createRandom,
  ManualClock,
  Metrics,
  type FailureDomainId,
  type InstanceId,
} from '@acaciacrank/base';
import { InstanceFleet } from '@acaciacrank/forwarding';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';
import { MemoryNetwork, type MemoryFleetLinks } from '../../MemoryNetwork/index.js';

/** One process run of an instance. */
export interface FleetNode {
  readonly fleet: InstanceFleet;
  readonly links: MemoryFleetLinks;
  readonly store: MemoryObjectStore;
  readonly metrics: Metrics;
  /** Configuration versions that the instance applied, the newest last. */
  readonly versions: number[];
}

const silentLog = createLog('fleet', { level: 'fatal' });
/** How long a watch waits at the store, in milliseconds; shows how soon a loss of the store is noticed. */
const watchWaitMs = 2_600;

/** A store, a network and the instances that use them. */
export class FleetSimulation {
  readonly clock = new ManualClock();
  readonly platform = new MemoryPlatform(this.clock);
  readonly network: MemoryNetwork;
  readonly nodes = new Map<string, FleetNode>();
  readonly #random: () => number;
  #runs = 0;

  /** @param ids - instances to start immediately */
  constructor(seed: number, ids: readonly string[]) {
    this.#random = createRandom(seed);
    this.network = new MemoryNetwork({ clock: this.clock, seed });
    for (const id of ids) this.start(id);
  }

  /**
   * Starts an instance, replacing its previous process run if there is one.
   *
   * @param isServing - whether the instance declares itself live at once
   * @param onPeerLive - called when a peer becomes live, initially, again or after a restart
   */
  start(id: string, isServing = true, onPeerLive?: (peer: InstanceId) => void): FleetNode {
    this.#runs += 1;
    const { clock } = this;
    const links = this.network.linksFor(id as InstanceId);
    const store = new MemoryObjectStore(this.platform, clock, watchWaitMs);
    const self = {
      instanceId: id as InstanceId,
      runId: `run${this.#runs}`,
      callerAddress: `${id}:80`,
      failureDomain: 'here' as FailureDomainId,
      fleetUrl: `ws://${id}:81`,
      linkKey: `key${this.#runs}`,
    };
    const versions = [1];
    const version = () => versions.at(-1) ?? 0;
    const offer = (offered: unknown) => versions.push(offered as number) > 0;
    const configuration = { version, manifest: version, offer };
    const isStoreUnavailable = () => store.link.isDown;
    const metrics = new Metrics();
    const shared = { store, links, clock, random: this.#random, log: silentLog, metrics };
    const listener = onPeerLive === undefined ? {} : { onPeerLive };
    const fleet = new InstanceFleet({
      ...shared,
      self,
      configuration,
      isStoreUnavailable,
      isFirstStart: true,
      accountedEpoch: () => store.epochs.value,
      ...listener,
    });
    void fleet.run();
    if (isServing) fleet.declareLive();
    const node = { fleet, links, store, metrics, versions };
    this.nodes.set(id, node);
    return node;
  }

  /** Stops an instance as a power loss does: the others receive no notice. */
  powerOff(id: string): void {
    const node = this.nodes.get(id);
    if (node === undefined) return;
    node.links[Symbol.dispose]();
    node.store.link.isDown = true;
    void node.fleet[Symbol.asyncDispose]();
    this.nodes.delete(id);
  }

  /** Makes the store unavailable to the given instances, or available again. */
  setStoreUnavailable(ids: readonly string[], isUnavailable = true): void {
    for (const id of ids) {
      const node = this.nodes.get(id);
      if (node !== undefined) node.store.link.isDown = isUnavailable;
    }
  }

  /** Ids of the other instances that an instance lists as usable to callers, sorted. */
  listedBy(id: string): string[] {
    const usable = this.nodes.get(id)?.fleet.usablePeers ?? [];
    return usable.map(({ instanceId }) => instanceId as string).sort();
  }

  /** Whether all other running instances list an instance. */
  isListedByAll(id: string): boolean {
    return this.#otherIds(id).every((other) => this.listedBy(other).includes(id));
  }

  /** Whether any other running instance lists an instance. */
  isListedByAny(id: string): boolean {
    return this.#otherIds(id).some((other) => this.listedBy(other).includes(id));
  }

  /**
   * Advances the clock in steps of 50 ms and checks the condition after each.
   *
   * @returns whether the condition held after every step
   */
  async holdsThroughout(condition: () => boolean, forMs: number): Promise<boolean> {
    for (let passedMs = 0; passedMs < forMs; passedMs += 50) {
      await this.clock.advance(50);
      if (!condition()) return false;
    }
    return true;
  }

  #otherIds(id: string): string[] {
    return [...this.nodes.keys()].filter((other) => other !== id);
  }
}
