/**
 * Mutations that the checks must detect, at least one for each invariant. They replace dependencies of an
 * instance and are used only in tests, to show that no check is ineffective.
 */
import { Clock, RouterError, type ManualClock, type RequestId } from '@acaciacrank/base';
import { NoFleetLinks } from '@acaciacrank/fleet';
import {
  InstanceList,
  ObjectStore,
  type ListedInstance,
  type StoreChanges,
  type StoreEpochs,
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
import { endAfterSilence } from '../_lib/endAfterSilence/index.js';
import type { FaultKind, InvariantName } from '../types.js';

/** One deliberate defect. */
export interface Mutation {
  readonly invariant: InvariantName;
  /** Description of the defect. */
  readonly what: string;
  /** The story in which the defect is detectable. */
  readonly story: string;
  /** The fault that, at some step, makes the defect detectable; undefined if none is needed. */
  readonly fault?: FaultKind;
  /** Replaces dependencies of an instance before its start. */
  readonly mutate: (parts: InstanceOptions) => InstanceOptions;
  /** Changes an instance after its start. */
  readonly mutateAfterStart?: (instance: Instance, clock: ManualClock) => void;
  /** Whether engines check fencing numbers. */
  readonly isFencingChecked?: boolean;
  /** Mutates the store connections of operators. */
  readonly operatorStore?: (store: ObjectStore) => ObjectStore;
}

/** Delegates to another store; base class of mutated stores. */
class DelegatingStore extends ObjectStore {
  readonly #store: ObjectStore;

  constructor(store: ObjectStore) {
    super();
    this.#store = store;
  }

  override get epochs(): StoreEpochs {
    return this.#store.epochs;
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

/** Ignores write conditions, so that concurrent writes are overwritten. */
class UnconditionalStore extends DelegatingStore {
  override write(key: string, value: unknown): Promise<WriteResult> {
    return super.write(key, value, { kind: 'none' });
  }
}

/** Reads ledger pages with one field of each budget emptied. */
class FieldClearingStore extends DelegatingStore {
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

/** Reads every budget with ten times its prepaid tokens. */
class InflatedBudgetStore extends DelegatingStore {
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

/** Confirms conditional writes of ledger pages without performing them. */
class UnwrittenPageStore extends DelegatingStore {
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

/** Hides the intents of requests, which are stored before a call is dispatched, and writes new ones unconditionally. */
class IntentIgnoringStore extends DelegatingStore {
  override write(key: string, value: unknown, condition: WriteCondition): Promise<WriteResult> {
    const isIntent = key.startsWith('requests/');
    return super.write(key, value, isIntent ? { kind: 'none' } : condition);
  }

  override read(key: string): Promise<StoredObject | undefined> {
    return key.startsWith('requests/') ? Promise.resolve(undefined) : super.read(key);
  }
}

/** Never responds to writes of ledger pages. */
class UnresponsivePageStore extends DelegatingStore {
  override write(key: string, value: unknown, condition: WriteCondition): Promise<WriteResult> {
    if (key.startsWith('ledger/')) return new Promise<never>(() => undefined);
    return super.write(key, value, condition);
  }
}

/** Always returns the first manifest that was read, and reports no changes. */
class StaleManifestStore extends DelegatingStore {
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

/** Returns the time but never fires a timer. */
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

/** Returns every listed instance as live. */
class AlwaysLiveList extends InstanceList {
  readonly #list: InstanceList;

  constructor(list: InstanceList) {
    super();
    this.#list = list;
  }

  override async read(): Promise<readonly ListedInstance[]> {
    return (await this.#list.read()).map((entry) => ({ ...entry, state: 'live' }));
  }
}

/** Creates mutated engine and service clients. */
class MutatedClients extends UpstreamClients {
  readonly #clients: UpstreamClients;
  readonly #mutateEngine: (engine: EngineClient) => EngineClient;
  readonly #mutateService: (service: ServiceClient) => ServiceClient;

  constructor(
    clients: UpstreamClients,
    mutateEngine: (engine: EngineClient) => EngineClient,
    mutateService: (service: ServiceClient) => ServiceClient,
  ) {
    super();
    this.#clients = clients;
    this.#mutateEngine = mutateEngine;
    this.#mutateService = mutateService;
  }

  override engine(entry: ListedInstance): EngineClient {
    return this.#mutateEngine(this.#clients.engine(entry));
  }

  override service(entry: ListedInstance): ServiceClient {
    return this.#mutateService(this.#clients.service(entry));
  }
}

/** Delegates to another engine client; base class of mutated engine clients. */
class DelegatingEngine extends EngineClient {
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

/** Replaces the text of the second token, with the request id and sequence unchanged. */
class TokenReplacingEngine extends DelegatingEngine {
  override async *generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    for await (const frame of super.generate(request, signal)) {
      const isReplaced = frame.kind === 'token' && frame.sequence === 1;
      yield isReplaced ? { ...frame, text: 'other ' } : frame;
    }
  }
}

/** Always reports itself as live, and hides the refusals of an engine that is leaving. */
class AlwaysLiveEngine extends DelegatingEngine {
  override async *generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    try {
      yield* super.generate(request, signal);
    } catch (error) {
      // The error kind must not reveal that the engine is leaving.
      throw new RouterError('upstreamFailed', (error as Error).message);
    }
  }

  override async readLoad(): Promise<LoadReport> {
    return { ...(await super.readLoad()), state: 'live' };
  }
}

/** Executes the call, then claims that the service was unreachable. */
class FalselyUnreachableService extends ServiceClient {
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

const unchanged = <Part>(part: Part): Part => part;

function withStore(mutate: (store: ObjectStore) => ObjectStore) {
  return (parts: InstanceOptions): InstanceOptions => ({ ...parts, store: mutate(parts.store) });
}

function withEngines(mutate: (engine: EngineClient) => EngineClient) {
  return (parts: InstanceOptions): InstanceOptions => ({
    ...parts,
    clients: new MutatedClients(parts.clients, mutate, unchanged),
  });
}

/** All mutations. */
export const mutations: readonly Mutation[] = [
  {
    invariant: 'overspend',
    what: 'a budget in a page looks larger than it is',
    story: 'nearlyEmptyBudget',
    mutate: withStore((store) => new InflatedBudgetStore(store)),
  },
  {
    invariant: 'billIsWhole',
    what: 'grants in a page are not seen',
    story: 'nearlyEmptyBudget',
    mutate: withStore((store) => new FieldClearingStore(store, 'grants')),
  },
  {
    invariant: 'oneBillPerKey',
    what: 'bills in a page are not seen',
    story: 'retryElsewhere',
    mutate: withStore((store) => new FieldClearingStore(store, 'bills')),
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
    mutate: withStore((store) => new UnwrittenPageStore(store)),
  },
  {
    invariant: 'wholeAnswer',
    what: "another answer's word is in the stream",
    story: 'modelRequest',
    mutate: withEngines((engine) => new TokenReplacingEngine(engine)),
  },
  {
    invariant: 'runsAtMostOnce',
    what: 'the intent of an earlier attempt is not seen',
    story: 'serviceWrite',
    fault: 'crashAfter',
    mutate: withStore((store) => new IntentIgnoringStore(store)),
  },
  {
    invariant: 'notRunIsTrue',
    what: 'a call that ran is said not to have reached the service',
    story: 'serviceWrite',
    mutate: (parts) => ({
      ...parts,
      clients: new MutatedClients(
        parts.clients,
        unchanged,
        (service) => new FalselyUnreachableService(service),
      ),
    }),
  },
  {
    invariant: 'noWorkAfterLeaving',
    what: 'no sign of leaving is heeded',
    story: 'engineLeaving',
    mutate: (parts) => ({
      ...parts,
      list: new AlwaysLiveList(parts.list),
      clients: new MutatedClients(
        parts.clients,
        (engine) => new AlwaysLiveEngine(engine),
        unchanged,
      ),
    }),
  },
  {
    invariant: 'topUpCountsOnce',
    what: 'top-ups in a page are not seen',
    story: 'topUp',
    fault: 'answerLost',
    mutate: unchanged,
    operatorStore: (store) => new FieldClearingStore(store, 'topUps'),
  },
  {
    invariant: 'versionNeverFalls',
    what: 'an older version comes into force',
    story: 'promotion',
    mutate: unchanged,
    mutateAfterStart: ({ configuration }, clock) => {
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
      store: new StaleManifestStore(parts.store),
      links: new NoFleetLinks(),
    }),
  },
  {
    invariant: 'ordersNeverGoBack',
    what: 'an engine acts on an old fencing number',
    story: 'engineOrder',
    fault: 'pause',
    mutate: unchanged,
    isFencingChecked: false,
  },
  {
    invariant: 'plannedStopCutsNothing',
    what: 'a planned stop does not wait for streams',
    story: 'plannedStop',
    mutate: unchanged,
    mutateAfterStart: (instance) => {
      instance.drain = () => Promise.resolve({ cutOffRequests: 0 });
    },
  },
  {
    invariant: 'pauseEndsNothing',
    what: 'a request is given up after a second without anything from its upstream',
    story: 'modelRequest',
    fault: 'upstreamsPause',
    mutate: unchanged,
    mutateAfterStart: endAfterSilence,
  },
  {
    invariant: 'everyCallEnds',
    what: 'the store never answers a write of a page and no deadline passes',
    story: 'modelRequest',
    mutate: (parts) => ({
      ...parts,
      store: new UnresponsivePageStore(parts.store),
      clock: new StoppedClock(parts.clock),
    }),
  },
];
