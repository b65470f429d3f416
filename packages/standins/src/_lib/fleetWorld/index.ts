/**
 * Instances that know each other by the store and by their links, for stories of failures on virtual
 * time.
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
import { MemoryFleet, type MemoryFleetLinks } from '../../MemoryFleet/index.js';

/** One run of an instance. */
export interface FleetNode {
  readonly fleet: InstanceFleet;
  readonly links: MemoryFleetLinks;
  readonly store: MemoryObjectStore;
  readonly metrics: Metrics;
  /** Configuration versions that came into force, the newest last. */
  readonly versions: number[];
}

const silent = createLog('fleet', { level: 'fatal' });

/** A store, a network and the instances between them. */
export class FleetWorld {
  readonly clock = new ManualClock();
  readonly platform = new MemoryPlatform(this.clock);
  readonly network: MemoryFleet;
  readonly nodes = new Map<string, FleetNode>();
  readonly #random: () => number;
  #runs = 0;

  /** @param ids - who starts at once */
  constructor(seed: number, ids: readonly string[]) {
    this.#random = createRandom(seed);
    this.network = new MemoryFleet({ clock: this.clock, seed });
    for (const id of ids) this.start(id);
  }

  /** Starts an instance, also in place of its former run. */
  start(id: string, isServing = true, onPeerLive?: (peer: InstanceId) => void): FleetNode {
    this.#runs += 1;
    const { clock } = this;
    const links = this.network.linksFor(id as InstanceId);
    const store = new MemoryObjectStore(this.platform, clock);
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
    const shared = { store, links, clock, random: this.#random, log: silent, metrics };
    const listener = onPeerLive === undefined ? {} : { onPeerLive };
    const fleet = new InstanceFleet({
      ...shared,
      self,
      configuration,
      isStoreUnavailable,
      ...listener,
    });
    void fleet.run();
    if (isServing) fleet.serve();
    const node = { fleet, links, store, metrics, versions };
    this.nodes.set(id, node);
    return node;
  }

  /** Takes an instance's power away: it ends without a word. */
  powerOff(id: string): void {
    const node = this.nodes.get(id);
    if (node === undefined) return;
    node.links[Symbol.dispose]();
    node.store.link.isDown = true;
    void node.fleet[Symbol.asyncDispose]();
    this.nodes.delete(id);
  }

  /** Lets the store turn some instances away, or all of them. */
  turnAway(ids: readonly string[], isAway = true): void {
    for (const id of ids) {
      const node = this.nodes.get(id);
      if (node !== undefined) node.store.link.isDown = isAway;
    }
  }

  /** Whom an instance names to callers beside itself. */
  namedBy(id: string): string[] {
    const usable = this.nodes.get(id)?.fleet.usable ?? [];
    return usable.map(({ instanceId }) => instanceId as string).sort();
  }

  /** Whether all instances that run name an instance. */
  isNamedByAll(id: string): boolean {
    return this.#others(id).every((other) => this.namedBy(other).includes(id));
  }

  /** Whether any instance that runs names an instance. */
  isNamedByAny(id: string): boolean {
    return this.#others(id).some((other) => this.namedBy(other).includes(id));
  }

  /**
   * Lets time pass in small steps, and looks at each.
   *
   * @returns whether it was so at each step
   */
  async always(isSo: () => boolean, forMs: number): Promise<boolean> {
    for (let passedMs = 0; passedMs < forMs; passedMs += 50) {
      await this.clock.advance(50);
      if (!isSo()) return false;
    }
    return true;
  }

  #others(id: string): string[] {
    return [...this.nodes.keys()].filter((other) => other !== id);
  }
}
