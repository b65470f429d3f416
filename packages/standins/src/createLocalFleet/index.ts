import {
  createLog,
  createRandom,
  ManualClock,
  type FailureDomainId,
  type InstanceId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import { acceptDocument, parseEnvironment } from '@acaciacrank/operators';
import { Instance, type InstanceOptions } from '@acaciacrank/router';
import { Writable } from 'node:stream';
import { LocalUpstreamClients } from '../LocalUpstreamClients/index.js';
import { MemoryNetwork, type MemoryFleetLinks } from '../MemoryNetwork/index.js';
import { MemoryInstanceList, MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';
import { StandinEngine, type StandinEngineOptions } from '../StandinEngine/index.js';
import { StandinService } from '../StandinService/index.js';

/** Options of {@link createLocalFleet}. */
export interface CreateLocalFleetOptions {
  /** The environment document, in YAML. */
  document: string;
  /** Seed of all random choices. */
  seed?: number;
  instances?: number;
  engines?: number;
  services?: number;
  /** Name of the engine service in the document. */
  engineService?: string;
  /** Name of the plain service in the document. */
  plainService?: string;
  engineOptions?: Partial<StandinEngineOptions>;
  instanceOptions?: Partial<InstanceOptions>;
  /** Wraps an instance's dependencies, for example to inject faults. */
  wrap?: (options: InstanceOptions, clock: ManualClock) => InstanceOptions;
}

/** One instance of a local fleet, with its own connection to the platform. */
export interface LocalInstance {
  readonly id: InstanceId;
  readonly instance: Instance;
  readonly store: MemoryObjectStore;
  readonly links: MemoryFleetLinks;
}

/** Instances, platform and upstreams in one process, on virtual time. */
export interface LocalFleet extends AsyncDisposable {
  readonly clock: ManualClock;
  readonly platform: MemoryPlatform;
  /** The network between instances; simulates delays, partitions and silent links. */
  readonly network: MemoryNetwork;
  readonly clients: LocalUpstreamClients;
  readonly instances: LocalInstance[];
  /** Starts an additional instance, or a replacement for one that has stopped. */
  addInstance(id: string, failureDomain?: string): Promise<LocalInstance>;
}

const silentLog = createLog('local', {
  level: 'fatal',
  stream: new Writable({
    write: (_chunk, _encoding, done) => {
      done();
    },
  }),
});

/**
 * Starts a complete fleet in one process, on virtual time and with seeded randomness.
 *
 * @param options - the environment document and the numbers of instances and upstreams
 * @returns the started fleet
 *
 * @example
 * await using fleet = await createLocalFleet({ document });
 * await fleet.clock.advance(1_000);
 */
export async function createLocalFleet(options: CreateLocalFleetOptions): Promise<LocalFleet> {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const network = new MemoryNetwork({ clock, seed: options.seed ?? 1 });
  const clients = new LocalUpstreamClients();
  const operatorStore = new MemoryObjectStore(platform, clock);
  const { environment } = await acceptAndParseDocument(operatorStore, clock, options.document);
  addUpstreams(options, clock, platform, clients);
  const instances: LocalInstance[] = [];
  const seed = options.seed ?? 1;

  const addInstance = async (id: string, failureDomain = 'fd1'): Promise<LocalInstance> => {
    platform.setInstance({
      id: id as InstanceId,
      role: 'entry',
      url: `http://127.0.0.1/${id}`,
      fleetUrl: `ws://127.0.0.1/${id}`,
      failureDomain: failureDomain as FailureDomainId,
      state: 'live',
    });
    const store = new MemoryObjectStore(platform, clock);
    const links = network.linksFor(id as InstanceId);
    const parts: InstanceOptions = {
      instanceId: id as InstanceId,
      environment,
      clock,
      random: createRandom(seed * 1_000 + instances.length),
      store,
      list: new MemoryInstanceList(platform, store.link),
      clients,
      links,
      failureDomain: failureDomain as FailureDomainId,
      log: silentLog,
      ...options.instanceOptions,
    };
    const instance = new Instance(options.wrap?.(parts, clock) ?? parts);
    await clock.runUntil(
      instance.start({ url: `http://127.0.0.1/${id}`, fleetUrl: `ws://127.0.0.1/${id}` }),
    );
    const local = { id: id as InstanceId, instance, store, links };
    instances.push(local);
    return local;
  };

  for (let index = 1; index <= (options.instances ?? 2); index += 1) {
    await addInstance(`i${index}`, `fd${1 + (index % 3)}`);
  }
  return {
    clock,
    platform,
    network,
    clients,
    instances,
    addInstance,
    [Symbol.asyncDispose]: async () => {
      const stopped = Promise.all(instances.map((local) => local.instance[Symbol.asyncDispose]()));
      await clock.runUntil(stopped);
    },
  };
}

async function acceptAndParseDocument(
  store: MemoryObjectStore,
  clock: ManualClock,
  document: string,
) {
  await clock.runUntil(acceptDocument(store, clock, document));
  return parseEnvironment(document);
}

function addUpstreams(
  options: CreateLocalFleetOptions,
  clock: ManualClock,
  platform: MemoryPlatform,
  clients: LocalUpstreamClients,
): void {
  for (let index = 1; index <= (options.engines ?? 2); index += 1) {
    const id = `e${index}`;
    const engine = new StandinEngine({ id: id as UpstreamId, clock, ...options.engineOptions });
    clients.engines.set(id, engine);
    registerUpstream(platform, id, 'engine', options.engineService ?? 'tutor', index);
  }
  for (let index = 1; index <= (options.services ?? 1); index += 1) {
    const id = `s${index}`;
    clients.services.set(id, new StandinService({ id: id as UpstreamId, clock }));
    registerUpstream(platform, id, 'service', options.plainService ?? 'records', index);
  }
}

function registerUpstream(
  platform: MemoryPlatform,
  id: string,
  role: 'engine' | 'service',
  service: string,
  index: number,
): void {
  platform.setInstance({
    id: id as InstanceId,
    role,
    service: service as ServiceName,
    url: `http://127.0.0.1/${id}`,
    failureDomain: `fd${1 + (index % 3)}` as FailureDomainId,
    state: 'live',
  });
}
