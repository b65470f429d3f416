import { RouterError, type RequestId } from '@acaciacrank/base';
import type { ListedInstance } from '@acaciacrank/store';
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
import type { StandinEngine } from '../StandinEngine/index.js';
import type { StandinService } from '../StandinService/index.js';

/** Client of a fake engine in the same process. */
export class LocalEngineClient extends EngineClient {
  readonly #engine: StandinEngine;

  constructor(engine: StandinEngine) {
    super();
    this.#engine = engine;
  }

  override async *generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    this.#engine.submit(request);
    yield* this.#engine.frames(request.requestId, 0, signal);
  }

  override resume(
    requestId: RequestId,
    offset: number,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    return this.#engine.frames(requestId, offset, signal);
  }

  override cancel(requestId: RequestId): Promise<void> {
    this.#engine.cancel(requestId);
    return Promise.resolve();
  }

  override readUsage(requestId: RequestId): Promise<EngineUsage | undefined> {
    return Promise.resolve(this.#engine.records.get(requestId));
  }

  override readLoad(): Promise<LoadReport> {
    return Promise.resolve(this.#engine.load());
  }

  override async order(request: OrderRequest, signal: AbortSignal): Promise<OrderOutcome> {
    signal.throwIfAborted();
    return Promise.resolve(this.#engine.control.handleOrder(request));
  }

  override readState(): Promise<EngineState> {
    return Promise.resolve(this.#engine.control.state());
  }

  override readCacheEvents(sinceSequence: number): Promise<readonly CacheEvent[]> {
    return Promise.resolve(this.#engine.cacheEvents(sinceSequence));
  }
}

/** Client of a fake service in the same process. */
export class LocalServiceClient extends ServiceClient {
  readonly #service: StandinService;

  constructor(service: StandinService) {
    super();
    this.#service = service;
  }

  override call(request: ServiceRequest): Promise<ServiceResponse> {
    return this.#service.call(request);
  }

  override async readLoad(): Promise<LoadReport> {
    return Promise.resolve(this.#service.load());
  }
}

/** Creates clients of fake upstreams in the same process, found by their id in the instance list. */
export class LocalUpstreamClients extends UpstreamClients {
  readonly engines = new Map<string, StandinEngine>();
  readonly services = new Map<string, StandinService>();

  override engine(entry: ListedInstance): EngineClient {
    const engine = this.engines.get(entry.id);
    if (engine !== undefined) return new LocalEngineClient(engine);
    throw new RouterError('internal', `unknown engine ${entry.id}`);
  }

  override service(entry: ListedInstance): ServiceClient {
    const service = this.services.get(entry.id);
    if (service !== undefined) return new LocalServiceClient(service);
    throw new RouterError('internal', `unknown service ${entry.id}`);
  }
}
