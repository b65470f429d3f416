/**
 * An instance's request path without ledger and ports: the real registry, queue and choice.
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
  choice: UpstreamSelector;
  /** How the policy sets the registry up. */
  registry: Pick<UpstreamRegistryOptions, 'createLimit' | 'outliers'>;
}

/** The service that all engines of the experiment serve. */
export const engineService = 'assistant' as ServiceName;

/** How many upstreams are tried for one request. */
const maxUpstreamsTried = 3;

/** Serves the experiment's requests as an instance does. */
export class SimulatedInstance {
  readonly registry: UpstreamRegistry;
  readonly #options: SimulatedInstanceOptions;
  readonly #queue: AdmissionQueue;
  readonly #dead = new AbortController();
  #attempts = 0;

  constructor(options: SimulatedInstanceOptions) {
    this.#options = options;
    const { list, clients, clock } = options;
    // Each stream under way listens to it.
    setMaxListeners(0, this.#dead.signal);
    this.registry = new UpstreamRegistry({
      list,
      clients,
      clock,
      instanceId: options.instanceId,
      ...options.registry,
      onCacheEvent: (upstream, event) => {
        options.choice.handleCacheEvent(upstream, event);
      },
    });
    this.#queue = new AdmissionQueue({
      clock,
      limit: () => this.registry.slots(engineService),
      expectedFirstTokenMs: ({ priority }) =>
        this.registry.averageFirstTokenMs(engineService, priority),
    });
  }

  /** Dies at once: its connections break, what it started at engines goes on there. */
  async die(): Promise<void> {
    this.#dead.abort();
    await this.registry[Symbol.asyncDispose]();
  }

  /**
   * Serves one request.
   *
   * @param request - what to serve
   * @param onFrame - called at each frame that reaches the caller
   * @throws RouterError a refusal, or `upstreamFailed` when the connection broke
   */
  async serve(request: WorkloadRequest, onFrame: () => void): Promise<void> {
    if (this.#dead.signal.aborted) {
      throw new RouterError('upstreamFailed', 'the instance is dead', { ran: 'notRun' });
    }
    const { workloadClass, accountId } = request;
    using place = await this.#queue.admit({
      service: engineService,
      priority: workloadClass.priority,
      accountId,
      waitMs: workloadClass.firstTokenDeadlineMs,
      signal: this.#dead.signal,
    });
    void place;
    await this.#stream(request, onFrame);
  }

  async #stream(request: WorkloadRequest, onFrame: () => void): Promise<void> {
    const tried = new Set<UpstreamId>();
    let lastError: RouterError | undefined;
    while (tried.size < maxUpstreamsTried) {
      const upstream = this.#choose(request, tried);
      if (upstream === undefined) break;
      tried.add(upstream.id);
      let passedOn = 0;
      try {
        await this.#streamFrom(upstream, request, () => {
          passedOn += 1;
          onFrame();
        });
        return;
      } catch (error) {
        if (passedOn > 0 || !(error instanceof RouterError)) throw error;
        lastError = error;
      }
    }
    throw lastError ?? new RouterError('upstreamUnavailable', 'no live upstream has the model');
  }

  #choose(request: WorkloadRequest, tried: ReadonlySet<UpstreamId>): Upstream | undefined {
    const candidates = this.registry.candidates(engineService, tried);
    const { prefixHash } = request;
    return this.#options.choice.choose(candidates, { random: this.#options.random, prefixHash });
  }

  async #streamFrom(
    upstream: Upstream,
    request: WorkloadRequest,
    onFrame: () => void,
  ): Promise<void> {
    const { engine } = upstream;
    if (engine === undefined) throw new RouterError('internal', `${upstream.id} is no engine`);
    using use = this.registry.begin(upstream, request.workloadClass.priority);
    this.#attempts += 1;
    const requestId = attemptId(request, `${this.#options.instanceId}.${this.#attempts}`);
    const generation = {
      requestId,
      model: engineService,
      messages: request.messages,
      maxTokens: request.workloadClass.maxFrames,
      priority: request.workloadClass.priority,
    };
    for await (const frame of engine.generate(generation, this.#dead.signal)) {
      if (this.#dead.signal.aborted) break;
      if (frame.kind === 'end') return;
      use.progress();
      onFrame();
    }
    throw new RouterError('upstreamFailed', 'the connection broke');
  }
}
