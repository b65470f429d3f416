/**
 * The quarantines of a fleet, linked over an in-process network on virtual time.
 */
import {
  createLog,
  ManualClock,
  Metrics,
  type InstanceId,
  type ServiceName,
} from '@acaciacrank/base';
import { RequestQuarantine } from '@acaciacrank/callers';
import { FleetRpc } from '@acaciacrank/fleet';
import { MemoryNetwork, type MemoryFleetLinks } from '../../../../MemoryNetwork/index.js';

/** One instance of the fleet. */
export interface QuarantineInstance {
  readonly id: InstanceId;
  readonly links: MemoryFleetLinks;
  readonly quarantine: RequestQuarantine;
}

/** What is wrong with the links. */
export interface LinkDisturbance {
  /** Share of the messages between any two instances that are lost. */
  readonly lossRatio: number;
  /** Whether the home of the service is gone, unknown to the others. */
  readonly isHomeGone: boolean;
}

/** Instances that know each other; dispose of it after the simulation. */
export class QuarantineFleet implements Disposable {
  readonly clock = new ManualClock();
  readonly instances: readonly QuarantineInstance[];
  /** Instances that do not live. */
  readonly #gone = new Set<InstanceId>();
  readonly #network = new MemoryNetwork({ clock: this.clock, seed: 7 });

  constructor(instanceCount: number) {
    const ids = Array.from(
      { length: instanceCount },
      (_, index) => `instance-${index}` as InstanceId,
    );
    this.instances = ids.map((id) => this.#createInstance(id, ids));
  }

  /** Disturbs the links from now on. */
  disturbLinks(service: ServiceName, { lossRatio, isHomeGone }: LinkDisturbance): void {
    const ids = this.instances.map(({ id }) => id);
    if (lossRatio > 0)
      for (const from of ids) for (const to of ids) this.#network.setLossRatio(from, to, lossRatio);
    const home = this.instances[0]?.quarantine.homesOf(service)[0];
    if (isHomeGone && home !== undefined) this.#network.isolate(home);
  }

  /** Ends an instance; the others know at once. */
  end(id: InstanceId): void {
    this.#gone.add(id);
    this.#network.isolate(id);
  }

  /** Lets an instance live that has not so far, or did not for a while; the others inform it. */
  begin(id: InstanceId): void {
    this.#gone.delete(id);
    this.#network.isolate(id, false);
    for (const { quarantine } of this.#living) quarantine.sendAllTo(id);
  }

  get #living(): readonly QuarantineInstance[] {
    return this.instances.filter(({ id }) => !this.#gone.has(id));
  }

  [Symbol.dispose](): void {
    for (const { quarantine } of this.instances) quarantine[Symbol.dispose]();
  }

  #createInstance(id: InstanceId, ids: readonly InstanceId[]): QuarantineInstance {
    const links = this.#network.linksFor(id);
    const { clock } = this;
    const quarantine = new RequestQuarantine({
      rpc: new FleetRpc({ links, clock }),
      links,
      clock,
      instanceId: id,
      live: () => ids.filter((one) => !this.#gone.has(one)),
      peers: () => ids.filter((peer) => peer !== id && !this.#gone.has(peer)),
      log: createLog('experiment', { stream: { write: () => true } }),
      metrics: new Metrics(),
    });
    return { id, links, quarantine };
  }
}
