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
  estimateLoad,
  type Upstream,
  type UpstreamRegistry,
} from '@acaciacrank/routing';
import {
  createOrderReconciler,
  WeightLoadRateLimiter,
  StoreLease,
  type ManagedEngine,
} from '@acaciacrank/upstreams';

/** Options of {@link EngineOrders}. */
export interface EngineOrdersOptions {
  instanceId: InstanceId;
  /** Identifies this run of the process, so that its lease writes differ from those of earlier runs. */
  incarnation: string;
  clock: Clock;
  metrics: Metrics;
  store: ObjectStore;
  registry: UpstreamRegistry;
  environment: string;
  /** Services of the configuration in force; empty while there is none. */
  services: () => readonly ServiceDocument[];
  /** The instances that accept requests of callers. */
  entryInstances: () => readonly ListedInstance[];
}

/**
 * Number of instances that compete for the lease on the engine orders of one service. More instances
 * would only add reads of the lease.
 */
const contendersPerService = 3;
/** Interval between checks of the configuration and the set of contenders, in milliseconds. */
const reconcileIntervalMs = 5 * millisecondsInSecond;

type Holds = NonNullable<EngineServiceDocument['holds']>;

interface RunningReconciler extends AsyncDisposable {
  /** The settings of the reconciler; if they change, the reconciler is replaced. */
  readonly settingsKey: string;
}

/** Runs an order reconciler for each service for whose lease this instance competes. */
export class EngineOrders implements AsyncDisposable {
  readonly #options: EngineOrdersOptions;
  readonly #reconcilers = new Map<string, RunningReconciler>();
  readonly #stop = new AbortController();
  #reconcileLoop: Promise<void> | undefined;

  constructor(options: EngineOrdersOptions) {
    this.#options = options;
  }

  /** Starts and stops order reconcilers as the configuration changes, until disposed of. */
  start(): void {
    this.#reconcileLoop ??= this.#runReconcileLoop();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    await this.#reconcileLoop;
    await Promise.all(
      [...this.#reconcilers.values()].map((reconciler) => reconciler[Symbol.asyncDispose]()),
    );
  }

  async #runReconcileLoop(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#stop.signal.aborted) {
      await this.#updateReconcilers();
      await clock.sleep(reconcileIntervalMs, this.#stop.signal);
    }
  }

  /** Starts the reconcilers that are needed and stops those that are not or whose settings changed. */
  async #updateReconcilers(): Promise<void> {
    const servicesByName = new Map(
      this.#contendedServices().map((service) => [service.name, service]),
    );
    for (const [name, reconciler] of this.#reconcilers) {
      const service = servicesByName.get(name);
      if (service !== undefined && reconcilerSettingsKey(service) === reconciler.settingsKey)
        continue;
      this.#reconcilers.delete(name);
      await reconciler[Symbol.asyncDispose]();
    }
    for (const [name, service] of servicesByName) {
      if (!this.#reconcilers.has(name)) this.#reconcilers.set(name, this.#startReconciler(service));
    }
  }

  #contendedServices(): EngineServiceDocument[] {
    return this.#options
      .services()
      .filter((service) => service.kind === 'engines')
      .filter((service) => service.holds !== undefined && this.#isContender(service.name));
  }

  #isContender(service: string): boolean {
    const { entryInstances, instanceId } = this.#options;
    // Uses the rendezvous hash for client accounts with a key per service, so that the services are
    // distributed over different sets of instances.
    const key = `service ${service}` as AccountId;
    const contenders = chooseInstances(key, entryInstances(), { count: contendersPerService });
    return contenders.some(({ id }) => id === instanceId);
  }

  #startReconciler(service: EngineServiceDocument): RunningReconciler {
    const { clock, environment, incarnation, instanceId, metrics, store } = this.#options;
    const reconciler = createOrderReconciler(service.checksFencing, {
      clock,
      metrics,
      lease: new StoreLease({
        store,
        clock,
        key: `orders/${environment}/${service.name}`,
        holder: instanceId,
        incarnation,
      }),
      rateLimiter: new WeightLoadRateLimiter({
        clock,
        loadsPerMinute: service.holds?.loadsPerMinute ?? 1,
      }),
      engines: () => this.#enginesWithTargets(service.name),
    });
    reconciler.start();
    return {
      settingsKey: reconcilerSettingsKey(service),
      [Symbol.asyncDispose]: () => reconciler[Symbol.asyncDispose](),
    };
  }

  /** The engines of a service with their targets from the configuration currently in force. */
  #enginesWithTargets(name: string): ManagedEngine[] {
    const service = this.#contendedServices().find((candidate) => candidate.name === name);
    const { holds } = service ?? {};
    if (holds === undefined) return [];
    const upstreams = this.#options.registry
      .all()
      .filter((upstream) => upstream.service === (name as ServiceName));
    return upstreams.flatMap((upstream) => withTarget(upstream, holds, upstreams));
  }
}

/**
 * Adds the target to an engine. A leaving engine exports its KV cache to the least loaded live one; it
 * is omitted if there is none.
 */
function withTarget(upstream: Upstream, holds: Holds, all: readonly Upstream[]): ManagedEngine[] {
  const { id, engine, state } = upstream;
  if (engine === undefined) return [];
  const { models, adapters, role } = holds;
  if (state === 'live') return [{ id, engine, target: { models, adapters, role } }];
  const kvReceiverId = leastLoadedUpstreamId(all);
  if (kvReceiverId === undefined) return [];
  return [{ id, engine, target: { models, adapters, role, kvReceiverId } }];
}

function leastLoadedUpstreamId(upstreams: readonly Upstream[]): UpstreamId | undefined {
  const [first] = upstreams
    .filter(({ state }) => state === 'live')
    .sort((a, b) => estimateLoad(a) - estimateLoad(b));
  return first?.id;
}

function reconcilerSettingsKey(service: EngineServiceDocument): string {
  return JSON.stringify([service.checksFencing, service.holds?.loadsPerMinute]);
}
