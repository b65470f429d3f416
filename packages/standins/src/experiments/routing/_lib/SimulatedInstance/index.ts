/**
 * The request path of an instance without ledger and listening ports. The upstream registry, the
 * admission queue and the upstream selector are the real ones.
 */
import {
  RouterError,
  type Clock,
  type InstanceId,
  type Random,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import type { InstanceList } from '@acaciacrank/store';
import {
  AdmissionQueue,
  UpstreamRegistry,
  type Upstream,
  type UpstreamSelector,
  type UpstreamClients,
  type UpstreamRegistryOptions,
} from '@acaciacrank/routing';
import { setMaxListeners } from 'node:events';
import { attemptId, type WorkloadRequest } from '../workload/index.js';

/** Options of {@link SimulatedInstance}. */
export interface SimulatedInstanceOptions {
  instanceId: InstanceId;
  clock: Clock;
  random: Random;
  list: InstanceList;
  clients: UpstreamClients;
  selector: UpstreamSelector;
  /** Registry options of the compared policy. */
  registryOptions: Pick<UpstreamRegistryOptions, 'createLimit' | 'outliers'>;
}

/** The service that all engines of the experiment belong to. */
export const engineService = 'assistant' as ServiceName;

/** Maximum number of upstreams that are tried for one request. */
const maxUpstreamsTried = 3;

/** Serves the requests of the experiment as a router instance does. */
export class SimulatedInstance {
  readonly registry: UpstreamRegistry;
  readonly #options: SimulatedInstanceOptions;
  readonly #queue: AdmissionQueue;
  readonly #crash = new AbortController();
  #attempts = 0;

  constructor(options: SimulatedInstanceOptions) {
    this.#options = options;
    const { list, clients, clock } = options;
    // Each open stream adds a listener, which would exceed the default limit of 10 listeners.
    setMaxListeners(0, this.#crash.signal);
    this.registry = new UpstreamRegistry({
      list,
      clients,
      clock,
      instanceId: options.instanceId,
      ...options.registryOptions,
      onCacheEvent: (upstream, event) => {
        options.selector.handleCacheEvent(upstream, event);
      },
    });
    this.#queue = new AdmissionQueue({
      clock,
      limit: () => this.registry.slots(engineService),
      expectedFirstTokenMs: ({ priority }) =>
        this.registry.averageFirstTokenMs(engineService, priority),
    });
  }

  /** Crashes the instance: its connections break, while generations on the engines continue. */
  async crash(): Promise<void> {
    this.#crash.abort();
    await this.registry[Symbol.asyncDispose]();
  }

  /**
   * Serves one request.
   *
   * @param request - what to serve
   * @param onFrame - called for each frame that reaches the caller
   * @throws RouterError when the request is refused, or `upstreamFailed` when the connection broke
   */
  async serve(request: WorkloadRequest, onFrame: () => void): Promise<void> {
    if (this.#crash.signal.aborted) {
      throw new RouterError('upstreamFailed', 'the instance has crashed', { ran: 'notRun' });
    }
    const { workloadClass, accountId } = request;
    using slot = await this.#queue.admit({
      service: engineService,
      priority: workloadClass.priority,
      accountId,
      waitMs: workloadClass.firstTokenDeadlineMs,
      signal: this.#crash.signal,
    });
    void slot;
    await this.#stream(request, onFrame);
  }

  async #stream(request: WorkloadRequest, onFrame: () => void): Promise<void> {
    const tried = new Set<UpstreamId>();
    let lastError: RouterError | undefined;
    while (tried.size < maxUpstreamsTried) {
      const upstream = this.#choose(request, tried);
      if (upstream === undefined) break;
      tried.add(upstream.id);
      let deliveredFrames = 0;
      try {
        await this.#streamFrom(upstream, request, () => {
          deliveredFrames += 1;
          onFrame();
        });
        return;
      } catch (error) {
        if (deliveredFrames > 0 || !(error instanceof RouterError)) throw error;
        lastError = error;
      }
    }
    throw lastError ?? new RouterError('upstreamUnavailable', 'no live upstream has the model');
  }

  #choose(request: WorkloadRequest, tried: ReadonlySet<UpstreamId>): Upstream | undefined {
    const candidates = this.registry.candidates(engineService, tried);
    const { prefixHash } = request;
    return this.#options.selector.choose(candidates, { random: this.#options.random, prefixHash });
  }

  async #streamFrom(
    upstream: Upstream,
    request: WorkloadRequest,
    onFrame: () => void,
  ): Promise<void> {
    const { engine } = upstream;
    if (engine === undefined) throw new RouterError('internal', `${upstream.id} is not an engine`);
    using inFlightRequest = this.registry.begin(upstream, request.workloadClass.priority);
    this.#attempts += 1;
    const requestId = attemptId(request, `${this.#options.instanceId}.${this.#attempts}`);
    const generation = {
      requestId,
      model: engineService,
      messages: request.messages,
      maxTokens: request.workloadClass.maxFrames,
      priority: request.workloadClass.priority,
    };
    for await (const frame of engine.generate(generation, this.#crash.signal)) {
      if (this.#crash.signal.aborted) break;
      if (frame.kind === 'end') return;
      inFlightRequest.progress();
      onFrame();
    }
    throw new RouterError('upstreamFailed', 'the connection broke');
  }
}
