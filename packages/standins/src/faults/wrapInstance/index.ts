/**
 * Puts the step gate between an instance and everything outside it.
 */
import { Clock, RouterError, type InstanceId, type RequestId } from '@acaciacrank/base';
import { FleetLinks, NoFleetLinks, type FleetMessage, type FleetPeer } from '@acaciacrank/fleet';
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
import type { GatedCall, StepGate } from '../StepGate/index.js';

/**
 * Wraps everything that an instance is made of.
 *
 * @param gate - where the calls pass
 * @param options - the instance's parts
 * @returns the same parts behind the gate
 *
 * @example
 * const instance = new Instance(wrapInstance(gate, options));
 */
export function wrapInstance(gate: StepGate, options: InstanceOptions): InstanceOptions {
  const actor: string = options.instanceId;
  return {
    ...options,
    clock: new GatedClock(gate, actor, options.clock),
    store: new GatedStore(gate, actor, options.store),
    list: new GatedList(gate, actor, options.list),
    clients: new GatedClients(gate, actor, options.clients),
    links: new GatedLinks(gate, options.instanceId, options.links ?? new NoFleetLinks()),
  };
}

/** A clock whose timers stop when the process is frozen or gone; its readings go on. */
export class GatedClock extends Clock {
  readonly #gate: StepGate;
  readonly #actor: string;
  readonly #clock: Clock;

  constructor(gate: StepGate, actor: string, clock: Clock) {
    super();
    this.#gate = gate;
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
      if (this.#gate.isDead(this.#actor)) return;
      const frozenMs = this.#gate.pausedUntilMs(this.#actor) - this.monotonicMs();
      if (frozenMs > 0) timer = this.schedule(frozenMs, task);
      else task();
    });
    return {
      [Symbol.dispose]: () => {
        timer[Symbol.dispose]();
      },
    };
  }
}

/** Links that carry nothing while the instance is gone, frozen or cut off. */
class GatedLinks extends FleetLinks {
  readonly #gate: StepGate;
  readonly #actor: InstanceId;
  readonly #links: FleetLinks;

  constructor(gate: StepGate, actor: InstanceId, links: FleetLinks) {
    super();
    this.#gate = gate;
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
    return this.#gate.isAwake(this.#actor) && !this.#gate.isCutOff(peer);
  }
}

/** An object store behind the gate; also used for operators. */
export class GatedStore extends ObjectStore {
  readonly #gate: StepGate;
  readonly #actor: string;
  readonly #store: ObjectStore;

  constructor(gate: StepGate, actor: string, store: ObjectStore) {
    super();
    this.#gate = gate;
    this.#actor = actor;
    this.#store = store;
  }

  override read(key: string): Promise<StoredObject | undefined> {
    return this.#pass('store.read', () => this.#store.read(key));
  }

  override write(key: string, value: unknown, condition: WriteCondition): Promise<WriteResult> {
    return this.#pass('store.write', () => this.#store.write(key, value, condition));
  }

  override remove(key: string, version: number): Promise<WriteResult> {
    return this.#pass('store.remove', () => this.#store.remove(key, version));
  }

  override snapshot(prefix: string): Promise<StoreSnapshot> {
    return this.#pass('store.snapshot', () => this.#store.snapshot(prefix));
  }

  override watch(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    return this.#pass(
      'store.watch',
      () => this.#store.watch(prefix, sinceRevision, signal),
      signal,
    );
  }

  #pass<Value>(call: string, effect: () => Promise<Value>, signal?: AbortSignal): Promise<Value> {
    return this.#gate.call({
      actor: this.#actor,
      call,
      isPlatform: true,
      isBackground: call === 'store.watch',
      effect,
      lostAnswer: () => new RouterError('storeUnavailable', 'the platform did not answer'),
      ...(signal === undefined ? {} : { signal }),
    });
  }
}

class GatedList extends InstanceList {
  readonly #gate: StepGate;
  readonly #actor: string;
  readonly #list: InstanceList;

  constructor(gate: StepGate, actor: string, list: InstanceList) {
    super();
    this.#gate = gate;
    this.#actor = actor;
    this.#list = list;
  }

  override read(): Promise<readonly ListedInstance[]> {
    return this.#gate.call({
      actor: this.#actor,
      call: 'list.read',
      isPlatform: true,
      isBackground: true,
      effect: () => this.#list.read(),
      lostAnswer: () => new RouterError('storeUnavailable', 'the platform did not answer'),
    });
  }
}

class GatedClients extends UpstreamClients {
  readonly #gate: StepGate;
  readonly #actor: string;
  readonly #clients: UpstreamClients;

  constructor(gate: StepGate, actor: string, clients: UpstreamClients) {
    super();
    this.#gate = gate;
    this.#actor = actor;
    this.#clients = clients;
  }

  override engine(entry: ListedInstance): EngineClient {
    return new GatedEngine(this.#gate, this.#actor, this.#clients.engine(entry));
  }

  override service(entry: ListedInstance): ServiceClient {
    return new GatedService(this.#gate, this.#actor, this.#clients.service(entry));
  }
}

const brokenStream = () => new RouterError('upstreamFailed', 'the connection to the engine broke');

/** An engine client behind the gate. */
export class GatedEngine extends EngineClient {
  readonly #gate: StepGate;
  readonly #actor: string;
  readonly #engine: EngineClient;

  constructor(gate: StepGate, actor: string, engine: EngineClient) {
    super();
    this.#gate = gate;
    this.#actor = actor;
    this.#engine = engine;
  }

  override generate(request: GenerateRequest, signal: AbortSignal): AsyncIterable<EngineFrame> {
    return this.#gated('engine.generate', () => this.#engine.generate(request, signal), signal);
  }

  override resume(
    requestId: RequestId,
    offset: number,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    return this.#gated(
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

  /** Each frame is a step of its own: a stream can break at any of them. */
  async *#gated(
    call: string,
    open: () => AsyncIterable<EngineFrame>,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    const frames = open()[Symbol.asyncIterator]();
    const openedIn = this.#gate.silenceEpoch(this.#actor, call);
    for (let step = call; ; step = 'engine.frame') {
      const next = await this.#call(step, () => frames.next(), { signal, openedIn });
      if (next.done === true) return;
      yield next.value;
    }
  }

  #call<Value>(
    call: string,
    effect: () => Promise<Value>,
    more: Partial<GatedCall<Value>> = {},
  ): Promise<Value> {
    return this.#gate.call({
      actor: this.#actor,
      call,
      isPlatform: false,
      effect,
      lostAnswer: brokenStream,
      ...more,
    });
  }
}

class GatedService extends ServiceClient {
  readonly #gate: StepGate;
  readonly #actor: string;
  readonly #service: ServiceClient;

  constructor(gate: StepGate, actor: string, service: ServiceClient) {
    super();
    this.#gate = gate;
    this.#actor = actor;
    this.#service = service;
  }

  override call(request: ServiceRequest, signal: AbortSignal): Promise<ServiceResponse> {
    return this.#gate.call({
      actor: this.#actor,
      call: 'service.call',
      isPlatform: false,
      effect: () => this.#service.call(request, signal),
      lostAnswer: () => new RouterError('outcomeUnknown', 'the connection to the service broke'),
      signal,
    });
  }

  override readLoad(): Promise<LoadReport> {
    return this.#gate.call({
      actor: this.#actor,
      call: 'service.readLoad',
      isPlatform: false,
      isBackground: true,
      effect: () => this.#service.readLoad(),
      lostAnswer: brokenStream,
    });
  }
}
