/**
 * Deliberate breaks, one for each invariant, that the checks must find. They replace an instance's
 * parts and are used by tests alone, so that no check can be empty without being noticed.
 */
import { Clock, RouterError, type ManualClock, type RequestId } from '@acaciacrank/base';
import { NoFleetLinks } from '@acaciacrank/fleet';
import {
  InstanceList,
  ObjectStore,
  type ListedInstance,
  type StoreChanges,
  type StoreSnapshot,
  type StoredObject,
  type WriteCondition,
  type WriteResult,
} from '@acaciacrank/store';
import type { Instance, InstanceOptions } from '@acaciacrank/router';
import { UpstreamClients } from '@acaciacrank/routing';
import {
  EngineClient,
  ServiceClient,
  type EngineFrame,
  type GenerateRequest,
  type LoadReport,
  type ServiceResponse,
  type ServiceRequest,
} from '@acaciacrank/upstreams';
import type { FaultKind, InvariantName } from '../types.js';

/** One deliberate break. */
export interface Mutation {
  readonly invariant: InvariantName;
  /** What is broken. */
  readonly what: string;
  /** The story in which it shows. */
  readonly story: string;
  /** The fault with which it shows, at some step; undefined where it shows without one. */
  readonly fault?: FaultKind;
  readonly mutate: (parts: InstanceOptions) => InstanceOptions;
  /** Changes an instance after its start. */
  readonly tamper?: (instance: Instance, clock: ManualClock) => void;
  /** Whether engines check fencing numbers. */
  readonly areNumbersChecked?: boolean;
  /** The same break for operators' connections. */
  readonly operatorStore?: (store: ObjectStore) => ObjectStore;
}

/** A store with some of its behaviour replaced. */
class BrokenStore extends ObjectStore {
  readonly #store: ObjectStore;

  constructor(store: ObjectStore) {
    super();
    this.#store = store;
  }

  override read(key: string): Promise<StoredObject | undefined> {
    return this.#store.read(key);
  }

  override write(key: string, value: unknown, condition: WriteCondition): Promise<WriteResult> {
    return this.#store.write(key, value, condition);
  }

  override remove(key: string, version: number): Promise<WriteResult> {
    return this.#store.remove(key, version);
  }

  override snapshot(prefix: string): Promise<StoreSnapshot> {
    return this.#store.snapshot(prefix);
  }

  override watch(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    return this.#store.watch(prefix, sinceRevision, signal);
  }
}

/** Writes whatever it is given, as if nobody else had written since. */
class UnconditionalStore extends BrokenStore {
  override write(key: string, value: unknown): Promise<WriteResult> {
    return super.write(key, value, { kind: 'none' });
  }
}

/** Sees ledger pages without one of their fields. */
class ForgetfulStore extends BrokenStore {
  readonly #field: string;

  constructor(store: ObjectStore, field: string) {
    super(store);
    this.#field = field;
  }

  override async read(key: string): Promise<StoredObject | undefined> {
    const stored = await super.read(key);
    if (stored === undefined || !key.startsWith('ledger/')) return stored;
    const page = structuredClone(stored.value) as {
      budgets: Record<string, Record<string, unknown>>;
    };
    for (const budget of Object.values(page.budgets)) budget[this.#field] = {};
    return { ...stored, value: page };
  }
}

/** Sees every budget with ten times what was prepaid. */
class GenerousStore extends BrokenStore {
  override async read(key: string): Promise<StoredObject | undefined> {
    const stored = await super.read(key);
    if (stored === undefined || !key.startsWith('ledger/')) return stored;
    const page = structuredClone(stored.value) as {
      budgets: Record<string, { prepaidTokens: number }>;
    };
    for (const budget of Object.values(page.budgets)) budget.prepaidTokens *= 10;
    return { ...stored, value: page };
  }
}

/** Says that a page was written before it is. */
class HastyStore extends BrokenStore {
  override async write(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<WriteResult> {
    if (!key.startsWith('ledger/') || condition.kind !== 'version') {
      return super.write(key, value, condition);
    }
    return Promise.resolve({ outcome: 'written', version: condition.version + 1 });
  }
}

/** Forgets that a request was begun. */
class NoIntentStore extends BrokenStore {
  override write(key: string, value: unknown, condition: WriteCondition): Promise<WriteResult> {
    const isIntent = key.startsWith('requests/');
    return super.write(key, value, isIntent ? { kind: 'none' } : condition);
  }

  override read(key: string): Promise<StoredObject | undefined> {
    return key.startsWith('requests/') ? Promise.resolve(undefined) : super.read(key);
  }
}

/** Never answers once the story has begun to write bills. */
class MuteStore extends BrokenStore {
  override write(key: string, value: unknown, condition: WriteCondition): Promise<WriteResult> {
    if (key.startsWith('ledger/')) return new Promise<never>(() => undefined);
    return super.write(key, value, condition);
  }
}

/** Answers the first manifest that was read for ever, and never tells of a change. */
class StaleStore extends BrokenStore {
  #manifest: StoredObject | undefined;

  override async read(key: string): Promise<StoredObject | undefined> {
    if (!key.startsWith('config/')) return super.read(key);
    this.#manifest ??= await super.read(key);
    return this.#manifest?.key === key ? this.#manifest : super.read(key);
  }

  override async watch(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    await new Promise((resolve) => {
      signal.addEventListener('abort', resolve, { once: true });
    });
    return super.watch(prefix, sinceRevision, signal);
  }
}

/** Tells the time and lets no timer run. */
class StoppedClock extends Clock {
  readonly #clock: Clock;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override wallMs(): number {
    return this.#clock.wallMs();
  }

  override monotonicMs(): number {
    return this.#clock.monotonicMs();
  }

  override schedule(): Disposable {
    return { [Symbol.dispose]: () => undefined };
  }
}

/** Sees all that is listed as live for ever. */
class RosyList extends InstanceList {
  readonly #list: InstanceList;

  constructor(list: InstanceList) {
    super();
    this.#list = list;
  }

  override async read(): Promise<readonly ListedInstance[]> {
    return (await this.#list.read()).map((entry) => ({ ...entry, state: 'live' }));
  }
}

/** Upstream clients with some of their behaviour replaced. */
class BrokenClients extends UpstreamClients {
  readonly #clients: UpstreamClients;
  readonly #breakEngine: (engine: EngineClient) => EngineClient;
  readonly #breakService: (service: ServiceClient) => ServiceClient;

  constructor(
    clients: UpstreamClients,
    breakEngine: (engine: EngineClient) => EngineClient,
    breakService: (service: ServiceClient) => ServiceClient,
  ) {
    super();
    this.#clients = clients;
    this.#breakEngine = breakEngine;
    this.#breakService = breakService;
  }

  override engine(entry: ListedInstance): EngineClient {
    return this.#breakEngine(this.#clients.engine(entry));
  }

  override service(entry: ListedInstance): ServiceClient {
    return this.#breakService(this.#clients.service(entry));
  }
}

class BrokenEngine extends EngineClient {
  readonly #engine: EngineClient;

  constructor(engine: EngineClient) {
    super();
    this.#engine = engine;
  }

  override generate(request: GenerateRequest, signal: AbortSignal): AsyncIterable<EngineFrame> {
    return this.#engine.generate(request, signal);
  }

  override resume(
    requestId: RequestId,
    offset: number,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    return this.#engine.resume(requestId, offset, signal);
  }

  override cancel(requestId: RequestId): Promise<void> {
    return this.#engine.cancel(requestId);
  }

  override readLoad(): Promise<LoadReport> {
    return this.#engine.readLoad();
  }
}

/** Puts another answer's word into the stream, under the right id and sequence. */
class SplicingEngine extends BrokenEngine {
  override async *generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    for await (const frame of super.generate(request, signal)) {
      const isSpliced = frame.kind === 'token' && frame.sequence === 1;
      yield isSpliced ? { ...frame, text: 'other ' } : frame;
    }
  }
}

/** Reports that all is well and never says that it leaves. */
class RosyEngine extends BrokenEngine {
  override async *generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    try {
      yield* super.generate(request, signal);
    } catch (error) {
      // Without the engine's refusal there is no sign left by which to know that it leaves.
      throw new RouterError('upstreamFailed', (error as Error).message);
    }
  }

  override async readLoad(): Promise<LoadReport> {
    return { ...(await super.readLoad()), state: 'live' };
  }
}

/** Runs the call and says that it never reached the service. */
class DenyingService extends ServiceClient {
  readonly #service: ServiceClient;

  constructor(service: ServiceClient) {
    super();
    this.#service = service;
  }

  override async call(request: ServiceRequest, signal: AbortSignal): Promise<ServiceResponse> {
    await this.#service.call(request, signal);
    throw new RouterError('upstreamUnavailable', 'the service cannot be reached');
  }

  override readLoad(): Promise<LoadReport> {
    return this.#service.readLoad();
  }
}

const same = <Part>(part: Part): Part => part;

function withStore(change: (store: ObjectStore) => ObjectStore) {
  return (parts: InstanceOptions): InstanceOptions => ({ ...parts, store: change(parts.store) });
}

function withEngines(change: (engine: EngineClient) => EngineClient) {
  return (parts: InstanceOptions): InstanceOptions => ({
    ...parts,
    clients: new BrokenClients(parts.clients, change, same),
  });
}

/** All mutations. */
export const mutations: readonly Mutation[] = [
  {
    invariant: 'overspend',
    what: 'a budget in a page looks larger than it is',
    story: 'nearlyEmptyBudget',
    mutate: withStore((store) => new GenerousStore(store)),
  },
  {
    invariant: 'billIsWhole',
    what: 'grants in a page are not seen',
    story: 'nearlyEmptyBudget',
    mutate: withStore((store) => new ForgetfulStore(store, 'grants')),
  },
  {
    invariant: 'oneBillPerKey',
    what: 'bills in a page are not seen',
    story: 'retryElsewhere',
    mutate: withStore((store) => new ForgetfulStore(store, 'bills')),
  },
  {
    invariant: 'billIsWhole',
    what: 'pages are written without a condition',
    story: 'nearlyEmptyBudget',
    fault: 'slow',
    mutate: withStore((store) => new UnconditionalStore(store)),
  },
  {
    invariant: 'billBeforeFinalFrame',
    what: 'a page is said to be written before it is',
    story: 'modelRequest',
    mutate: withStore((store) => new HastyStore(store)),
  },
  {
    invariant: 'wholeAnswer',
    what: "another answer's word is in the stream",
    story: 'modelRequest',
    mutate: withEngines((engine) => new SplicingEngine(engine)),
  },
  {
    invariant: 'runsAtMostOnce',
    what: 'the intent of an earlier attempt is not seen',
    story: 'serviceWrite',
    fault: 'crashAfter',
    mutate: withStore((store) => new NoIntentStore(store)),
  },
  {
    invariant: 'notRunIsTrue',
    what: 'a call that ran is said not to have reached the service',
    story: 'serviceWrite',
    mutate: (parts) => ({
      ...parts,
      clients: new BrokenClients(parts.clients, same, (service) => new DenyingService(service)),
    }),
  },
  {
    invariant: 'noWorkAfterLeaving',
    what: 'no sign of leaving is heeded',
    story: 'engineLeaving',
    mutate: (parts) => ({
      ...parts,
      list: new RosyList(parts.list),
      clients: new BrokenClients(parts.clients, (engine) => new RosyEngine(engine), same),
    }),
  },
  {
    invariant: 'topUpCountsOnce',
    what: 'top-ups in a page are not seen',
    story: 'topUp',
    fault: 'answerLost',
    mutate: same,
    operatorStore: (store) => new ForgetfulStore(store, 'topUps'),
  },
  {
    invariant: 'versionNeverFalls',
    what: 'an older version comes into force',
    story: 'promotion',
    mutate: same,
    tamper: ({ configuration }, clock) => {
      clock.schedule(5_000, () => {
        configuration.inForce.set({ ...configuration.current(), version: 0 });
      });
    },
  },
  {
    invariant: 'versionReachesAll',
    what: 'an instance reads the first manifest for ever',
    story: 'promotion',
    mutate: (parts) => ({
      ...parts,
      store: new StaleStore(parts.store),
      links: new NoFleetLinks(),
    }),
  },
  {
    invariant: 'ordersNeverGoBack',
    what: 'an engine acts on an old fencing number',
    story: 'engineOrder',
    fault: 'pause',
    mutate: same,
    areNumbersChecked: false,
  },
  {
    invariant: 'plannedStopCutsNothing',
    what: 'a planned stop does not wait for streams',
    story: 'plannedStop',
    mutate: same,
    tamper: (instance) => {
      instance.drain = () => Promise.resolve({ cutOffRequests: 0 });
    },
  },
  {
    invariant: 'everyCallEnds',
    what: 'the store never answers a write of a page and no deadline passes',
    story: 'modelRequest',
    mutate: (parts) => ({
      ...parts,
      store: new MuteStore(parts.store),
      clock: new StoppedClock(parts.clock),
    }),
  },
];
