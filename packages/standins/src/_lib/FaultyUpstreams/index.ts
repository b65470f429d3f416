/**
 * Fault injection on the connections between an instance and its upstreams.
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

/** The fault of one connection to an engine. */
export type ConnectionFault =
  /** The connection is refused. */
  | { readonly kind: 'refused' }
  /** The connection breaks after `afterTokens` tokens. */
  | { readonly kind: 'dies'; readonly afterTokens: number }
  /** The connection stays open but sends nothing after `afterTokens` tokens. */
  | { readonly kind: 'silent'; readonly afterTokens: number };

/** One connection that an instance opened to an engine. */
export interface Connection {
  readonly engineId: string;
  readonly kind: 'generate' | 'resume';
  readonly requestId: RequestId;
  /** Sequence number of the first token requested; 0 for `generate`. */
  readonly offset: number;
}

/** Chooses the fault of a connection; `index` counts all connections, from 0. */
export type FaultPlan = (connection: Connection, index: number) => ConnectionFault | undefined;

/**
 * The fault of one call to a plain service: the connection is refused, the service answers 503 (`busy`),
 * the connection breaks before the response (`answerLost`), or it stays open without a response
 * (`silent`). With the last two, the service still runs the call.
 */
export type ServiceFault = 'refused' | 'busy' | 'answerLost' | 'silent';

/** Chooses the fault of a call; `index` counts all calls to services, from 0. */
export type ServiceFaultPlan = (call: ServiceRequest, index: number) => ServiceFault | undefined;

/** Upstream clients whose connections fail as planned. */
export class FaultyUpstreams extends UpstreamClients {
  /** Every connection that was opened, in order. */
  readonly connections: Connection[] = [];
  /** Requests that the instance cancelled at an engine, in order. */
  readonly cancelled: RequestId[] = [];
  readonly #wrapped: UpstreamClients;
  readonly #plan: FaultPlan;
  readonly #servicePlan: ServiceFaultPlan;
  /** Creates time-outs for gaps between tokens, instead of those of the clients, to compare alternatives. */
  makeTokenGaps: (() => AdaptiveTimeout) | undefined;
  /** Ids of engines that have ended: they accept no connection. */
  readonly endedEngines = new Set<string>();
  /** Whether engines report the usage of a cancelled generation. */
  isReportingUsage = true;
  /** Whether engines generate more tokens than requested. */
  isIgnoringMaxTokens = false;
  /** Number of calls to plain services. */
  serviceCalls = 0;

  constructor(
    wrapped: UpstreamClients,
    plan: FaultPlan,
    servicePlan: ServiceFaultPlan = () => undefined,
  ) {
    super();
    this.#wrapped = wrapped;
    this.#plan = plan;
    this.#servicePlan = servicePlan;
  }

  override engine(entry: ListedInstance): EngineClient {
    return new FaultyEngineClient(this, entry.id, this.#wrapped.engine(entry));
  }

  override service(entry: ListedInstance): ServiceClient {
    return new FaultyServiceClient(this, this.#wrapped.service(entry));
  }

  /** Applies the fault plan to one call to a service. */
  async applyToCall(
    request: ServiceRequest,
    run: () => Promise<ServiceResponse>,
  ): Promise<ServiceResponse> {
    this.serviceCalls += 1;
    const fault = this.#servicePlan(request, this.serviceCalls - 1);
    if (fault === 'refused') {
      throw new RouterError('upstreamUnavailable', 'the connection was refused');
    }
    if (fault === 'busy') return { status: 503, headers: {}, body: Buffer.from('busy') };
    const response = await run();
    if (fault === 'silent') await new Promise<never>(() => undefined);
    if (fault === 'answerLost') throw new RouterError('outcomeUnknown', 'the connection broke');
    return response;
  }

  /** Applies the fault plan to one connection to an engine. */
  async *applyToConnection(connection: Connection, frames: () => AsyncIterable<EngineFrame>) {
    this.connections.push(connection);
    const hasEnded = this.endedEngines.has(connection.engineId);
    const fault = hasEnded ? undefined : this.#plan(connection, this.connections.length - 1);
    if (fault?.kind === 'refused' || hasEnded) {
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
  override readonly tokenGapTimeout: AdaptiveTimeout;
  readonly #parent: FaultyUpstreams;
  readonly #engineId: string;
  readonly #wrapped: EngineClient;

  constructor(parent: FaultyUpstreams, engineId: string, wrapped: EngineClient) {
    super();
    this.#parent = parent;
    this.#engineId = engineId;
    this.#wrapped = wrapped;
    this.tokenGapTimeout = parent.makeTokenGaps?.() ?? wrapped.tokenGapTimeout;
  }

  override generate(request: GenerateRequest, signal: AbortSignal): AsyncIterable<EngineFrame> {
    const { requestId } = request;
    const connection = {
      engineId: this.#engineId,
      kind: 'generate',
      requestId,
      offset: 0,
    } as const;
    const maxTokens = this.#parent.isIgnoringMaxTokens ? 1_000 : request.maxTokens;
    const forwarded = { ...request, maxTokens };
    return this.#parent.applyToConnection(connection, () =>
      this.#wrapped.generate(forwarded, signal),
    );
  }

  override resume(
    requestId: RequestId,
    offset: number,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    const connection = { engineId: this.#engineId, kind: 'resume', requestId, offset } as const;
    return this.#parent.applyToConnection(connection, () =>
      this.#wrapped.resume(requestId, offset, signal),
    );
  }

  override cancel(requestId: RequestId): Promise<void> {
    this.#parent.cancelled.push(requestId);
    return this.#wrapped.cancel(requestId);
  }

  override readUsage(requestId: RequestId): Promise<EngineUsage | undefined> {
    return this.#parent.isReportingUsage
      ? this.#wrapped.readUsage(requestId)
      : Promise.resolve(undefined);
  }

  override async readLoad(): Promise<LoadReport> {
    if (this.#parent.endedEngines.has(this.#engineId))
      throw new RouterError('upstreamUnavailable', `${this.#engineId} has ended`);
    return this.#wrapped.readLoad();
  }
}

class FaultyServiceClient extends ServiceClient {
  readonly #parent: FaultyUpstreams;
  readonly #wrapped: ServiceClient;

  constructor(parent: FaultyUpstreams, wrapped: ServiceClient) {
    super();
    this.#parent = parent;
    this.#wrapped = wrapped;
  }

  override call(request: ServiceRequest, signal: AbortSignal): Promise<ServiceResponse> {
    return this.#parent.applyToCall(request, () => this.#wrapped.call(request, signal));
  }

  override readLoad(): Promise<LoadReport> {
    return this.#wrapped.readLoad();
  }
}
