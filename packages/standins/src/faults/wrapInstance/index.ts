/**
 * Injects faults between an instance and its external dependencies.
 */
import { Clock, RouterError, type InstanceId, type RequestId } from '@acaciacrank/base';
import { FleetLinks, NoFleetLinks, type FleetMessage, type FleetPeer } from '@acaciacrank/fleet';
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
import type { InstanceOptions } from '@acaciacrank/router';
import { UpstreamClients } from '@acaciacrank/routing';
import {
  EngineClient,
  ServiceClient,
  type CacheEvent,
  type EngineFrame,
  type EngineState,
  type EngineUsage,
  type GenerateRequest,
  type LoadReport,
  type OrderOutcome,
  type OrderRequest,
  type ServiceResponse,
  type ServiceRequest,
} from '@acaciacrank/upstreams';
import type { InterceptedCall, FaultInjector } from '../FaultInjector/index.js';

/**
 * Wraps the clock, store, instance list, upstream clients and links of an instance.
 *
 * @param injector - the fault injector that all calls pass through
 * @param options - the options of the instance
 * @returns the options with wrapped dependencies
 *
 * @example
 * const instance = new Instance(wrapInstance(injector, options));
 */
export function wrapInstance(injector: FaultInjector, options: InstanceOptions): InstanceOptions {
  const actor: string = options.instanceId;
  return {
    ...options,
    clock: new FaultInjectingClock(injector, actor, options.clock),
    store: new FaultInjectingStore(injector, actor, options.store),
    list: new FaultInjectingList(injector, actor, options.list),
    clients: new FaultInjectingClients(injector, actor, options.clients),
    links: new FaultInjectingLinks(
      injector,
      options.instanceId,
      options.links ?? new NoFleetLinks(),
    ),
  };
}

/** Clock whose timers are suspended while the process is paused and never fire after a crash; time continues. */
export class FaultInjectingClock extends Clock {
  readonly #injector: FaultInjector;
  readonly #actor: string;
  readonly #clock: Clock;

  constructor(injector: FaultInjector, actor: string, clock: Clock) {
    super();
    this.#injector = injector;
    this.#actor = actor;
    this.#clock = clock;
  }

  override wallMs(): number {
    return this.#clock.wallMs();
  }

  override monotonicMs(): number {
    return this.#clock.monotonicMs();
  }

  override schedule(delayMs: number, task: () => void): Disposable {
    let timer = this.#clock.schedule(delayMs, () => {
      if (this.#injector.hasCrashed(this.#actor)) return;
      const pausedMs = this.#injector.pausedUntilMs(this.#actor) - this.monotonicMs();
      if (pausedMs > 0) timer = this.schedule(pausedMs, task);
      else task();
    });
    return {
      [Symbol.dispose]: () => {
        timer[Symbol.dispose]();
      },
    };
  }
}

/** Links that drop all messages while the instance is crashed, paused or cut off. */
class FaultInjectingLinks extends FleetLinks {
  readonly #injector: FaultInjector;
  readonly #actor: InstanceId;
  readonly #links: FleetLinks;

  constructor(injector: FaultInjector, actor: InstanceId, links: FleetLinks) {
    super();
    this.#injector = injector;
    this.#actor = actor;
    this.#links = links;
    links.subscribe((message, from) => {
      if (this.#isOpen(from)) this.deliver(message, from);
    });
  }

  override setPeers(peers: readonly FleetPeer[]): void {
    this.#links.setPeers(peers);
  }

  override send(to: InstanceId, message: FleetMessage): void {
    if (this.#isOpen(to)) this.#links.send(to, message);
  }

  #isOpen(peer: InstanceId): boolean {
    return this.#injector.isAvailable(this.#actor) && !this.#injector.isCutOff(peer);
  }
}

/** Object store whose calls pass through the fault injector; also used for operators. */
export class FaultInjectingStore extends ObjectStore {
  readonly #injector: FaultInjector;
  readonly #actor: string;
  readonly #store: ObjectStore;

  constructor(injector: FaultInjector, actor: string, store: ObjectStore) {
    super();
    this.#injector = injector;
    this.#actor = actor;
    this.#store = store;
  }

  override get epochs(): StoreEpochs {
    return this.#store.epochs;
  }

  override read(key: string): Promise<StoredObject | undefined> {
    return this.#intercept('store.read', () => this.#store.read(key));
  }

  override write(key: string, value: unknown, condition: WriteCondition): Promise<WriteResult> {
    return this.#intercept('store.write', () => this.#store.write(key, value, condition));
  }

  override remove(key: string, version: number): Promise<WriteResult> {
    return this.#intercept('store.remove', () => this.#store.remove(key, version));
  }

  override snapshot(prefix: string): Promise<StoreSnapshot> {
    return this.#intercept('store.snapshot', () => this.#store.snapshot(prefix));
  }

  override watch(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    return this.#intercept(
      'store.watch',
      () => this.#store.watch(prefix, sinceRevision, signal),
      signal,
    );
  }

  #intercept<Value>(
    call: string,
    effect: () => Promise<Value>,
    signal?: AbortSignal,
  ): Promise<Value> {
    return this.#injector.call({
      actor: this.#actor,
      call,
      isPlatform: true,
      isBackground: call === 'store.watch',
      effect,
      lostResponseError: () => new RouterError('storeUnavailable', 'the platform did not answer'),
      ...(signal === undefined ? {} : { signal }),
    });
  }
}

class FaultInjectingList extends InstanceList {
  readonly #injector: FaultInjector;
  readonly #actor: string;
  readonly #list: InstanceList;

  constructor(injector: FaultInjector, actor: string, list: InstanceList) {
    super();
    this.#injector = injector;
    this.#actor = actor;
    this.#list = list;
  }

  override read(): Promise<readonly ListedInstance[]> {
    return this.#injector.call({
      actor: this.#actor,
      call: 'list.read',
      isPlatform: true,
      isBackground: true,
      effect: () => this.#list.read(),
      lostResponseError: () => new RouterError('storeUnavailable', 'the platform did not answer'),
    });
  }
}

class FaultInjectingClients extends UpstreamClients {
  readonly #injector: FaultInjector;
  readonly #actor: string;
  readonly #clients: UpstreamClients;

  constructor(injector: FaultInjector, actor: string, clients: UpstreamClients) {
    super();
    this.#injector = injector;
    this.#actor = actor;
    this.#clients = clients;
  }

  override engine(entry: ListedInstance): EngineClient {
    return new FaultInjectingEngine(this.#injector, this.#actor, this.#clients.engine(entry));
  }

  override service(entry: ListedInstance): ServiceClient {
    return new FaultInjectingService(this.#injector, this.#actor, this.#clients.service(entry));
  }
}

const engineConnectionError = () =>
  new RouterError('upstreamFailed', 'the connection to the engine broke');

/** Engine client whose calls pass through the fault injector. */
export class FaultInjectingEngine extends EngineClient {
  readonly #injector: FaultInjector;
  readonly #actor: string;
  readonly #engine: EngineClient;

  constructor(injector: FaultInjector, actor: string, engine: EngineClient) {
    super();
    this.#injector = injector;
    this.#actor = actor;
    this.#engine = engine;
  }

  override generate(request: GenerateRequest, signal: AbortSignal): AsyncIterable<EngineFrame> {
    return this.#interceptFrames(
      'engine.generate',
      () => this.#engine.generate(request, signal),
      signal,
    );
  }

  override resume(
    requestId: RequestId,
    offset: number,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    return this.#interceptFrames(
      'engine.resume',
      () => this.#engine.resume(requestId, offset, signal),
      signal,
    );
  }

  override cancel(requestId: RequestId): Promise<void> {
    return this.#call('engine.cancel', () => this.#engine.cancel(requestId));
  }

  override readLoad(): Promise<LoadReport> {
    return this.#call('engine.readLoad', () => this.#engine.readLoad(), { isBackground: true });
  }

  override readUsage(requestId: RequestId): Promise<EngineUsage | undefined> {
    return this.#call('engine.readUsage', () => this.#engine.readUsage(requestId));
  }

  override readCacheEvents(sinceSequence: number): Promise<readonly CacheEvent[]> {
    const effect = () => this.#engine.readCacheEvents(sinceSequence);
    return this.#call('engine.readCacheEvents', effect, { isBackground: true });
  }

  override order(request: OrderRequest, signal: AbortSignal): Promise<OrderOutcome> {
    return this.#call('engine.order', () => this.#engine.order(request, signal), { signal });
  }

  override readState(): Promise<EngineState> {
    return this.#call('engine.readState', () => this.#engine.readState());
  }

  /** Each frame counts as a step, because a stream can break at any frame. */
  async *#interceptFrames(
    call: string,
    open: () => AsyncIterable<EngineFrame>,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    const frames = open()[Symbol.asyncIterator]();
    const openedInEpoch = this.#injector.silenceEpoch(this.#actor, call);
    for (let step = call; ; step = 'engine.frame') {
      const next = await this.#call(step, () => frames.next(), { signal, openedInEpoch });
      if (next.done === true) return;
      yield next.value;
    }
  }

  #call<Value>(
    call: string,
    effect: () => Promise<Value>,
    overrides: Partial<InterceptedCall<Value>> = {},
  ): Promise<Value> {
    return this.#injector.call({
      actor: this.#actor,
      call,
      isPlatform: false,
      effect,
      lostResponseError: engineConnectionError,
      ...overrides,
    });
  }
}

class FaultInjectingService extends ServiceClient {
  readonly #injector: FaultInjector;
  readonly #actor: string;
  readonly #service: ServiceClient;

  constructor(injector: FaultInjector, actor: string, service: ServiceClient) {
    super();
    this.#injector = injector;
    this.#actor = actor;
    this.#service = service;
  }

  override call(request: ServiceRequest, signal: AbortSignal): Promise<ServiceResponse> {
    return this.#injector.call({
      actor: this.#actor,
      call: 'service.call',
      isPlatform: false,
      effect: () => this.#service.call(request, signal),
      lostResponseError: () =>
        new RouterError('outcomeUnknown', 'the connection to the service broke'),
      signal,
    });
  }

  override readLoad(): Promise<LoadReport> {
    return this.#injector.call({
      actor: this.#actor,
      call: 'service.readLoad',
      isPlatform: false,
      isBackground: true,
      effect: () => this.#service.readLoad(),
      lostResponseError: engineConnectionError,
    });
  }
}
