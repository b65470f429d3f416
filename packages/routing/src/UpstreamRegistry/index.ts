import {
  DisposableStore,
  getOrCreate,
  RouterError,
  withTimeout,
  type Clock,
  type InstanceId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import type { InstanceList, ListedInstance } from '@acaciacrank/store';
import type { CacheEvent, LoadReport } from '@acaciacrank/upstreams';
import { setMaxListeners } from 'node:events';
import type { RegistryEntry } from '../_lib/RegistryEntry/index.js';
import { RegistryRequest } from '../_lib/RegistryRequest/index.js';
import { InFlightDelta } from '../_lib/InFlightDelta/index.js';
import { ServicePool } from '../_lib/ServicePool/index.js';
import { AimdLimit } from '../AimdLimit/index.js';
import { chooseSubset, type ChooseSubsetOptions } from '../chooseSubset/index.js';
import type { ConcurrencyLimit } from '../ConcurrencyLimit/index.js';
import { OverloadBackoff } from '../OverloadBackoff/index.js';
import type { UpstreamActivity } from '../measureSilence/index.js';
import { OutlierDetector, type OutlierDetectorOptions } from '../OutlierDetector/index.js';
import { UpstreamHealth } from '../UpstreamHealth/index.js';
import { InFlightRequest } from '../InFlightRequest/index.js';
import type { Upstream, UpstreamClients } from '../types.js';

/** Options of {@link UpstreamRegistry}. */
export interface UpstreamRegistryOptions {
  list: InstanceList;
  clients: UpstreamClients;
  clock: Clock;
  /** The instance that owns the registry, which uses a subset of the upstreams; uses all if omitted. */
  instanceId?: InstanceId;
  /** Returns the number of instances that share the upstreams; by default, the live ones in the list. */
  instanceCount?: () => number;
  /** Size of the subset of upstreams that an instance uses. */
  subset?: ChooseSubsetOptions;
  /** Interval at which the list is read, in milliseconds; 1000 by default. */
  listIntervalMs?: number;
  /** Interval at which each upstream's load is read, in milliseconds; 500 by default. */
  loadIntervalMs?: number;
  /** Creates the limit of each upstream; {@link AimdLimit} by default. */
  createLimit?: () => ConcurrencyLimit;
  /** Outlier ejection. */
  outliers?: OutlierDetectorOptions;
  /** Called for each prefix cache event of an engine; events are hints. */
  onCacheEvent?: (upstream: Upstream, event: CacheEvent) => void;
}

/** Timeout for reading a load report or cache events, in milliseconds. */
const loadTimeoutMs = 2_000;

/** Interval of health evaluations, in milliseconds. */
const healthCheckIntervalMs = 100;

/** Priority under which first tokens of requests without a priority are recorded. */
const unspecifiedPriority = -1;

/** If a report deviates further from this machine's wall clock, the clocks are not comparable. */
const maxClockSkewMs = 10_000;

/** Tracks the upstreams of each service, their clients, load and health. */
export class UpstreamRegistry implements AsyncDisposable {
  readonly #options: UpstreamRegistryOptions & { listIntervalMs: number; loadIntervalMs: number };
  readonly #entries = new Map<UpstreamId, RegistryEntry>();
  readonly #entryByUpstream = new WeakMap<Upstream, RegistryEntry>();
  readonly #pools = new Map<ServiceName, ServicePool>();
  /** Upstreams whose backoff, or the recovery after it, is not over. */
  readonly #backingOff = new Set<Upstream>();
  readonly #detector: OutlierDetector;
  readonly #closing = new Set<Promise<void>>();
  readonly #stop = new AbortController();
  readonly #resources = new DisposableStore();
  #liveInstances: readonly InstanceId[] = [];

  constructor(options: UpstreamRegistryOptions) {
    this.#options = { listIntervalMs: 1_000, loadIntervalMs: 500, ...options };
    this.#detector = new OutlierDetector(options.outliers);
    // Disables the warning about a listener leak: each upstream has a task that listens to the signal.
    setMaxListeners(0, this.#stop.signal);
  }

  /** Reads the list once, then polls it until disposed of. */
  async start(): Promise<void> {
    // If the list is unavailable, a throw would terminate the instance; the next poll retries.
    await this.refresh().catch(() => undefined);
    const polling = Promise.all([this.#pollList(), this.#runHealthChecks()]);
    this.#resources.add({ [Symbol.asyncDispose]: () => polling.then(() => undefined) });
  }

  /**
   * Reads the list once. An upstream that is no longer listed receives no new requests; its client is
   * closed when the last request there has ended.
   */
  async refresh(): Promise<void> {
    const list = await this.#options.list.read();
    // The list contains the instances of this router with the role `entry`, and the upstreams.
    this.#liveInstances = list
      .filter(({ role, state }) => role === 'entry' && state === 'live')
      .map(({ id }) => id);
    const selected = this.#selectListed(list.filter(({ role }) => role !== 'entry'));
    for (const [id, entry] of this.#entries) {
      // The same id at another address is a new process without the old streams and cache.
      if (selected.get(id)?.url !== entry.listed.url) this.#removeEntry(entry);
    }
    for (const listed of selected.values()) this.#upsertEntry(listed);
  }

  /**
   * Returns the upstreams of a service that may receive requests.
   *
   * @param without - ids of upstreams to exclude
   * @returns possibly a live view of the registry; do not retain it
   */
  candidates(
    service: ServiceName,
    without: ReadonlySet<UpstreamId> = new Set(),
  ): readonly Upstream[] {
    const candidates = this.#pools.get(service)?.candidates() ?? [];
    if (without.size === 0) return candidates;
    return candidates.filter(({ id }) => !without.has(id));
  }

  /** Returns all upstreams, for status output. */
  all(): readonly Upstream[] {
    return [...this.#entries.values()].map(({ upstream }) => upstream);
  }

  /** Returns when each live upstream of a service was last heard of. */
  activities(service: ServiceName): ReadonlyMap<UpstreamId, UpstreamActivity> {
    const live = this.#pools.get(service)?.live ?? [];
    const nowMs = this.#options.clock.activeMs();
    return new Map(live.map(({ id, health }) => [id, health.activityAt(nowMs)]));
  }

  /** Returns the limit for this instance's in-flight requests at all upstreams of a service combined. */
  slots(service: ServiceName): number {
    return this.#pools.get(service)?.slots ?? 0;
  }

  /**
   * Returns the average time from sending a request to its first token, in milliseconds; 0 without
   * samples.
   */
  averageFirstTokenMs(service: ServiceName, priority: number): number {
    return this.#pools.get(service)?.averageFirstTokenMs(priority) ?? 0;
  }

  /**
   * Registers an in-flight request.
   *
   * @param upstream - the upstream it is sent to
   * @param priority - its priority; times to the first token are averaged for each priority
   * @returns a handle to report progress and failure, to be disposed of when the request has ended
   * @throws RouterError `internal` if the upstream does not come from this registry
   */
  begin(upstream: Upstream, priority = unspecifiedPriority): InFlightRequest {
    const entry = this.#entryByUpstream.get(upstream);
    if (entry === undefined)
      throw new RouterError('internal', `upstream ${upstream.id} is not in the registry`);
    return new RegistryRequest(entry, priority, {
      clock: this.#options.clock,
      pool: this.#getOrCreatePool(upstream.service),
      ended: () => {
        if (entry.stop.signal.aborted) this.#closeIfIdle(entry);
      },
      failed: (error) => {
        this.#handleFailure(entry, error);
      },
      backOff: (durationMs) => {
        this.#backOff(entry, durationMs);
      },
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    await this.#resources.dispose();
    for (const entry of this.#entries.values()) this.#removeEntry(entry);
    await Promise.all(this.#closing);
  }

  /** Returns the listed upstreams that this instance uses, by id. */
  #selectListed(listed: readonly ListedInstance[]): Map<UpstreamId, ListedInstance> {
    const byId = new Map(listed.map((entry) => [entry.id as unknown as UpstreamId, entry]));
    const { instanceId, subset } = this.#options;
    if (instanceId === undefined) return byId;
    const instances = [...new Set([instanceId, ...this.#liveInstances])];
    for (const service of new Set(listed.map((entry) => entry.service))) {
      const ids = [...byId].filter(([, entry]) => entry.service === service).map(([id]) => id);
      const selected = chooseSubset(instanceId, instances, ids, subset);
      for (const id of ids) if (!selected.has(id)) byId.delete(id);
    }
    return byId;
  }

  #upsertEntry(listed: ListedInstance): void {
    const id = listed.id as unknown as UpstreamId;
    const existing = this.#entries.get(id);
    if (existing !== undefined) {
      existing.listed = listed;
      this.#updatePool(existing);
      return;
    }
    const entry = this.#createEntry(id, listed);
    this.#entries.set(id, entry);
    this.#entryByUpstream.set(entry.upstream, entry);
    this.#updatePool(entry);
    entry.polling = this.#pollLoad(entry);
  }

  #createEntry(id: UpstreamId, listed: ListedInstance): RegistryEntry {
    const { clients } = this.#options;
    const upstream: Upstream = {
      id,
      service: listed.service ?? ('' as ServiceName),
      failureDomain: listed.failureDomain,
      engine: listed.role === 'engine' ? clients.engine(listed) : undefined,
      plain: listed.role === 'service' ? clients.service(listed) : undefined,
      inFlightRequests: 0,
      inFlightDelta: 0,
      lagCorrection: 0,
      report: undefined,
      state: listed.state,
      incarnation: 0,
      isSuspect: false,
      limit: this.#options.createLimit?.() ?? new AimdLimit(),
      health: new UpstreamHealth(),
      backoff: new OverloadBackoff(this.#options.clock),
    };
    return {
      listed,
      upstream,
      inFlightDelta: new InFlightDelta(),
      stop: new AbortController(),
      polling: Promise.resolve(),
      lastCacheSequence: 0,
      refusedAtMs: -Infinity,
    };
  }

  #removeEntry(entry: RegistryEntry): void {
    this.#entries.delete(entry.upstream.id);
    entry.stop.abort();
    this.#updatePool(entry);
    this.#closeIfIdle(entry);
  }

  /** Closes the client of a removed upstream, once, when no request uses it. */
  #closeIfIdle({ upstream, polling }: RegistryEntry): void {
    if (upstream.inFlightRequests > 0) return;
    const client: object | undefined = upstream.engine ?? upstream.plain;
    const closing = polling.then(() => disposeIfPossible(client));
    this.#closing.add(closing);
    void closing.finally(() => this.#closing.delete(closing));
  }

  /** Updates an upstream's state and pool. It is leaving if the list or its last report states it. */
  #updatePool({ upstream, listed, stop }: RegistryEntry): void {
    const isLeaving =
      stop.signal.aborted || listed.state === 'leaving' || upstream.report?.state === 'leaving';
    upstream.state = isLeaving ? 'leaving' : 'live';
    this.#getOrCreatePool(upstream.service).update(upstream);
  }

  #getOrCreatePool(service: ServiceName): ServicePool {
    return getOrCreate(this.#pools, service, () => new ServicePool());
  }

  /**
   * An upstream that refuses a request may be leaving although the list and the reports, which lag, do
   * not state it yet. It receives no more requests until a report measured after the refusal states that it
   * is live.
   */
  #handleFailure(entry: RegistryEntry, error: RouterError): void {
    const { upstream } = entry;
    if (error.kind === 'upstreamUnavailable') {
      upstream.isSuspect = true;
      entry.refusedAtMs = this.#options.clock.wallMs();
    }
    this.#checkHealth(this.#getOrCreatePool(upstream.service));
    this.#updatePool(entry);
  }

  #backOff(entry: RegistryEntry, durationMs: number): void {
    entry.upstream.backoff.extend(durationMs);
    this.#backingOff.add(entry.upstream);
    this.#updatePool(entry);
  }

  /** Updates the pools of upstreams whose backoff or recovery continues or has just ended. */
  #updateBackingOff(): void {
    for (const upstream of this.#backingOff) {
      if (upstream.backoff.isOver) this.#backingOff.delete(upstream);
      this.#getOrCreatePool(upstream.service).update(upstream);
    }
  }

  async #runHealthChecks(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#options.clock.sleep(healthCheckIntervalMs, this.#stop.signal);
      for (const pool of this.#pools.values()) this.#checkHealth(pool);
      this.#updateBackingOff();
    }
  }

  #checkHealth(pool: ServicePool): void {
    for (const upstream of this.#detector.evaluate(pool.live, this.#options.clock.activeMs())) {
      if (upstream.health.state === 'healthy') upstream.limit.reset();
      pool.update(upstream);
    }
  }

  async #pollList(): Promise<void> {
    const { clock, listIntervalMs } = this.#options;
    while (!this.#stop.signal.aborted) {
      await clock.sleep(listIntervalMs, this.#stop.signal);
      await this.refresh().catch(() => undefined);
    }
  }

  async #pollLoad(entry: RegistryEntry): Promise<void> {
    const { clock, loadIntervalMs } = this.#options;
    while (!entry.stop.signal.aborted) {
      await this.#readLoad(entry).catch(() => undefined);
      await this.#readCacheEvents(entry).catch(() => undefined);
      await clock.sleep(loadIntervalMs, entry.stop.signal);
    }
  }

  async #readLoad(entry: RegistryEntry): Promise<void> {
    const client = entry.upstream.engine ?? entry.upstream.plain;
    if (client === undefined) return;
    const report = await withTimeout(this.#options.clock, loadTimeoutMs, () => client.readLoad(), {
      kind: 'upstreamFailed',
      what: 'a load report',
      signal: entry.stop.signal,
    });
    this.#applyReport(entry, report);
  }

  #applyReport(entry: RegistryEntry, report: LoadReport): void {
    const { upstream, inFlightDelta } = entry;
    const previous = upstream.report;
    upstream.report = report;
    if (previous !== undefined && previous.startedAtMs !== report.startedAtMs) {
      upstream.incarnation += 1;
      upstream.health.reset();
      entry.lastCacheSequence = 0;
    }
    if (report.measuredAtMs !== previous?.measuredAtMs) this.#applyNewReport(entry, report);
    upstream.inFlightDelta = inFlightDelta.net;
    this.#updatePool(entry);
  }

  #applyNewReport(
    { upstream, inFlightDelta, refusedAtMs }: RegistryEntry,
    report: LoadReport,
  ): void {
    const measuredAtMs = this.#toLocalMeasuredAtMs(report);
    inFlightDelta.discardCounted(measuredAtMs);
    if (measuredAtMs > refusedAtMs) upstream.isSuspect = false;
    const received = {
      report,
      measuredAtMs,
      receivedAtMs: this.#options.clock.wallMs(),
      instances: Math.max(1, this.#options.instanceCount?.() ?? this.#liveInstances.length),
    };
    upstream.limit.applyReport(received, upstream.inFlightRequests);
    const ownRequestsAtReport = upstream.inFlightRequests - inFlightDelta.net;
    const requests = report.runningRequests + report.waitingRequests;
    // The report is used until the next one arrives, so half an interval is its additional mean age.
    const ageMs = received.receivedAtMs - measuredAtMs + this.#options.loadIntervalMs / 2;
    upstream.lagCorrection = this.#getOrCreatePool(upstream.service).computeLagCorrection(
      upstream,
      Math.max(0, requests - ownRequestsAtReport),
      Math.max(0, ageMs),
    );
  }

  /** Time of a report's measurement by this machine's wall clock; now if the clocks are not comparable. */
  #toLocalMeasuredAtMs({ measuredAtMs }: LoadReport): number {
    const nowMs = this.#options.clock.wallMs();
    return Math.abs(nowMs - measuredAtMs) > maxClockSkewMs ? nowMs : measuredAtMs;
  }

  async #readCacheEvents(entry: RegistryEntry): Promise<void> {
    const { onCacheEvent, clock } = this.#options;
    const { engine } = entry.upstream;
    if (engine === undefined || onCacheEvent === undefined) return;
    const { incarnation } = entry.upstream;
    const events = await withTimeout(
      clock,
      loadTimeoutMs,
      () => engine.readCacheEvents(entry.lastCacheSequence),
      { kind: 'upstreamFailed', what: 'cache events', signal: entry.stop.signal },
    );
    // Discards events that were read across a restart, since the restart emptied the cache.
    if (entry.upstream.incarnation !== incarnation) return;
    for (const event of events) {
      entry.lastCacheSequence = Math.max(entry.lastCacheSequence, event.sequence);
      onCacheEvent(entry.upstream, event);
    }
  }
}

async function disposeIfPossible(client: object | undefined): Promise<void> {
  if (client !== undefined && Symbol.asyncDispose in client) {
    await (client as AsyncDisposable)[Symbol.asyncDispose]();
  }
}
