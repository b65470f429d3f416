import {
  millisecondsInSecond,
  type AccountId,
  type Clock,
  type InstanceId,
  type Metrics,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import type { EngineServiceDocument, ServiceDocument } from '@acaciacrank/operators';
import type { ListedInstance, ObjectStore } from '@acaciacrank/store';
import {
  chooseInstances,
  estimatedLoad,
  type Upstream,
  type UpstreamRegistry,
} from '@acaciacrank/routing';
import { createOrderKeeper, OrderRate, StoreLease, type KeptEngine } from '@acaciacrank/upstreams';

/** Options of {@link EngineOrders}. */
export interface EngineOrdersOptions {
  instanceId: InstanceId;
  incarnation: string;
  clock: Clock;
  metrics: Metrics;
  store: ObjectStore;
  registry: UpstreamRegistry;
  environment: string;
  /** The services of the document in force; none while there is no document. */
  services: () => readonly ServiceDocument[];
  /** The entry instances, as listed. */
  entries: () => readonly ListedInstance[];
}

/** How many instances stand by to order one service's engines: more would read the lease for nothing. */
const contendersPerService = 3;
/** How often the document and the contenders are looked at, in milliseconds. */
const lookIntervalMs = 5 * millisecondsInSecond;

type Holds = NonNullable<EngineServiceDocument['holds']>;

interface RunningKeeper extends AsyncDisposable {
  /** What it was made from; another one needs another keeper. */
  readonly madeFrom: string;
}

/** Runs an order keeper for each service that this instance stands by for. */
export class EngineOrders implements AsyncDisposable {
  readonly #options: EngineOrdersOptions;
  readonly #keepers = new Map<string, RunningKeeper>();
  readonly #stop = new AbortController();
  #following: Promise<void> | undefined;

  constructor(options: EngineOrdersOptions) {
    this.#options = options;
  }

  /** Follows the document until disposed of. */
  start(): void {
    this.#following ??= this.#follow();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    await this.#following;
    await Promise.all([...this.#keepers.values()].map((keeper) => keeper[Symbol.asyncDispose]()));
  }

  async #follow(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#stop.signal.aborted) {
      await this.#look();
      await clock.sleep(lookIntervalMs, this.#stop.signal);
    }
  }

  /** Starts the keepers that are due and stops those that are not. */
  async #look(): Promise<void> {
    const due = new Map(this.#dueServices().map((service) => [service.name, service]));
    for (const [name, keeper] of this.#keepers) {
      const service = due.get(name);
      if (service !== undefined && madeFrom(service) === keeper.madeFrom) continue;
      this.#keepers.delete(name);
      await keeper[Symbol.asyncDispose]();
    }
    for (const [name, service] of due) {
      if (!this.#keepers.has(name)) this.#keepers.set(name, this.#startKeeper(service));
    }
  }

  #dueServices(): EngineServiceDocument[] {
    return this.#options
      .services()
      .filter((service) => service.kind === 'engines')
      .filter((service) => service.holds !== undefined && this.#isContender(service.name));
  }

  #isContender(service: string): boolean {
    const { entries, instanceId } = this.#options;
    // The same rendezvous as for accounts: another set of instances for each service.
    const key = `service ${service}` as AccountId;
    const contenders = chooseInstances(key, entries(), { count: contendersPerService });
    return contenders.some(({ id }) => id === instanceId);
  }

  #startKeeper(service: EngineServiceDocument): RunningKeeper {
    const { clock, environment, incarnation, instanceId, metrics, store } = this.#options;
    const keeper = createOrderKeeper(service.checksFencing, {
      clock,
      metrics,
      lease: new StoreLease({
        store,
        clock,
        key: `orders/${environment}/${service.name}`,
        holder: instanceId,
        incarnation,
      }),
      rate: new OrderRate({ clock, loadsPerMinute: service.holds?.loadsPerMinute ?? 1 }),
      engines: () => this.#keptEngines(service.name),
    });
    keeper.start();
    return {
      madeFrom: madeFrom(service),
      [Symbol.asyncDispose]: () => keeper[Symbol.asyncDispose](),
    };
  }

  /** The service's engines with their targets, by the document as it is in force now. */
  #keptEngines(name: string): KeptEngine[] {
    const service = this.#dueServices().find((due) => due.name === name);
    const { holds } = service ?? {};
    if (holds === undefined) return [];
    const upstreams = this.#options.registry
      .all()
      .filter((upstream) => upstream.service === (name as ServiceName));
    return upstreams.flatMap((upstream) => keptEngine(upstream, holds, upstreams));
  }
}

function keptEngine(upstream: Upstream, holds: Holds, all: readonly Upstream[]): KeptEngine[] {
  const { id, engine, state } = upstream;
  if (engine === undefined) return [];
  const { models, adapters, role } = holds;
  if (state === 'live') return [{ id, engine, target: { models, adapters, role } }];
  const kvReceiverId = leastLoaded(all);
  if (kvReceiverId === undefined) return [];
  return [{ id, engine, target: { models, adapters, role, kvReceiverId } }];
}

function leastLoaded(upstreams: readonly Upstream[]): UpstreamId | undefined {
  const [first] = upstreams
    .filter(({ state }) => state === 'live')
    .sort((a, b) => estimatedLoad(a) - estimatedLoad(b));
  return first?.id;
}

function madeFrom(service: EngineServiceDocument): string {
  return JSON.stringify([service.checksFencing, service.holds?.loadsPerMinute]);
}
