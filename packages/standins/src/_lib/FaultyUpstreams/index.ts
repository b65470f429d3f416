/**
 * Faults on the connections between an instance and its upstreams.
 */
import { RouterError, type RequestId } from '@acaciacrank/base';
import type { ListedInstance } from '@acaciacrank/store';
import { UpstreamClients } from '@acaciacrank/routing';
import {
  EngineClient,
  type EngineFrame,
  type EngineUsage,
  type GenerateRequest,
  ServiceClient,
  type LoadReport,
  type AdaptiveTimeout,
  type ServiceResponse,
  type ServiceRequest,
} from '@acaciacrank/upstreams';

/** What happens to one connection. */
export type ConnectionFault =
  /** No connection comes about. */
  | { readonly kind: 'refused' }
  /** It breaks after so many tokens. */
  | { readonly kind: 'dies'; readonly afterTokens: number }
  /** It stays open and says nothing more after so many tokens. */
  | { readonly kind: 'silent'; readonly afterTokens: number };

/** One connection that an instance opened to an engine. */
export interface Connection {
  readonly engineId: string;
  readonly kind: 'generate' | 'resume';
  readonly requestId: RequestId;
  readonly offset: number;
}

/** Says what happens to each connection, by its place in the order of all of them. */
export type FaultPlan = (connection: Connection, index: number) => ConnectionFault | undefined;

/** What happens to one call to a plain service; the last two let it run. */
export type ServiceFault = 'refused' | 'busy' | 'answerLost' | 'silent';

/** Says what happens to each call, by its place in the order of all of them. */
export type ServiceFaultPlan = (call: ServiceRequest, index: number) => ServiceFault | undefined;

/** Upstream clients whose connections fail as planned. */
export class FaultyUpstreams extends UpstreamClients {
  /** Every connection that was opened, in order. */
  readonly connections: Connection[] = [];
  readonly cancelled: RequestId[] = [];
  readonly #inner: UpstreamClients;
  readonly #plan: FaultPlan;
  readonly #servicePlan: ServiceFaultPlan;
  /** Replaces what engines' gaps are judged by, for comparisons. */
  makeTokenGaps: (() => AdaptiveTimeout) | undefined;
  /** Whether engines say what they did for a cancelled generation. */
  saysUsage = true;
  /** Whether engines generate on beyond what they were asked for. */
  ignoresMaxTokens = false;
  /** Calls to plain services so far. */
  serviceCalls = 0;

  constructor(
    inner: UpstreamClients,
    plan: FaultPlan,
    servicePlan: ServiceFaultPlan = () => undefined,
  ) {
    super();
    this.#inner = inner;
    this.#plan = plan;
    this.#servicePlan = servicePlan;
  }

  override engine(entry: ListedInstance): EngineClient {
    return new FaultyEngineClient(this, entry.id, this.#inner.engine(entry));
  }

  override service(entry: ListedInstance): ServiceClient {
    return new FaultyServiceClient(this, this.#inner.service(entry));
  }

  /** Applies the plan to one call. */
  async call(
    request: ServiceRequest,
    run: () => Promise<ServiceResponse>,
  ): Promise<ServiceResponse> {
    this.serviceCalls += 1;
    const fault = this.#servicePlan(request, this.serviceCalls - 1);
    if (fault === 'refused') {
      throw new RouterError('upstreamUnavailable', 'the connection was refused');
    }
    if (fault === 'busy') return { status: 503, headers: {}, body: Buffer.from('busy') };
    const answer = await run();
    if (fault === 'silent') await new Promise<never>(() => undefined);
    if (fault === 'answerLost') throw new RouterError('outcomeUnknown', 'the connection broke');
    return answer;
  }

  /** Applies the plan to one connection. */
  async *open(connection: Connection, frames: () => AsyncIterable<EngineFrame>) {
    this.connections.push(connection);
    const fault = this.#plan(connection, this.connections.length - 1);
    if (fault?.kind === 'refused') {
      throw new RouterError('upstreamUnavailable', 'the connection was refused');
    }
    let tokens = 0;
    for await (const frame of frames()) {
      if (tokens === fault?.afterTokens) {
        if (fault.kind === 'silent') await new Promise<never>(() => undefined);
        throw new RouterError('upstreamFailed', 'the connection broke');
      }
      tokens += 1;
      yield frame;
    }
  }
}

class FaultyEngineClient extends EngineClient {
  override readonly tokenGaps: AdaptiveTimeout;
  readonly #faults: FaultyUpstreams;
  readonly #engineId: string;
  readonly #inner: EngineClient;

  constructor(faults: FaultyUpstreams, engineId: string, inner: EngineClient) {
    super();
    this.#faults = faults;
    this.#engineId = engineId;
    this.#inner = inner;
    this.tokenGaps = faults.makeTokenGaps?.() ?? inner.tokenGaps;
  }

  override generate(request: GenerateRequest, signal: AbortSignal): AsyncIterable<EngineFrame> {
    const { requestId } = request;
    const connection = {
      engineId: this.#engineId,
      kind: 'generate',
      requestId,
      offset: 0,
    } as const;
    const maxTokens = this.#faults.ignoresMaxTokens ? 1_000 : request.maxTokens;
    const sent = { ...request, maxTokens };
    return this.#faults.open(connection, () => this.#inner.generate(sent, signal));
  }

  override resume(
    requestId: RequestId,
    offset: number,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    const connection = { engineId: this.#engineId, kind: 'resume', requestId, offset } as const;
    return this.#faults.open(connection, () => this.#inner.resume(requestId, offset, signal));
  }

  override cancel(requestId: RequestId): Promise<void> {
    this.#faults.cancelled.push(requestId);
    return this.#inner.cancel(requestId);
  }

  override readUsage(requestId: RequestId): Promise<EngineUsage | undefined> {
    return this.#faults.saysUsage ? this.#inner.readUsage(requestId) : Promise.resolve(undefined);
  }

  override readLoad(): Promise<LoadReport> {
    return this.#inner.readLoad();
  }
}

class FaultyServiceClient extends ServiceClient {
  readonly #faults: FaultyUpstreams;
  readonly #inner: ServiceClient;

  constructor(faults: FaultyUpstreams, inner: ServiceClient) {
    super();
    this.#faults = faults;
    this.#inner = inner;
  }

  override call(request: ServiceRequest, signal: AbortSignal): Promise<ServiceResponse> {
    return this.#faults.call(request, () => this.#inner.call(request, signal));
  }

  override readLoad(): Promise<LoadReport> {
    return this.#inner.readLoad();
  }
}
