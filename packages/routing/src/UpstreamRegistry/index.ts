import {
  DisposableStore,
  RouterError,
  withTimeout,
  type Clock,
  type ErrorKind,
  type InstanceId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import type { InstanceList, ListedInstance } from '@acaciacrank/store';
import type { CacheEvent, LoadReport } from '@acaciacrank/upstreams';
import { setMaxListeners } from 'node:events';
import { SentLog } from '../_lib/SentLog/index.js';
import { ServicePool } from '../_lib/ServicePool/index.js';
import { AimdLimit } from '../AimdLimit/index.js';
import { chooseSubset, type ChooseSubsetOptions } from '../chooseSubset/index.js';
import type { ConcurrencyLimit } from '../ConcurrencyLimit/index.js';
import { OutlierDetector, type OutlierDetectorOptions } from '../OutlierDetector/index.js';
import { UpstreamHealth, type SilentRequest } from '../UpstreamHealth/index.js';
import { UpstreamUse } from '../UpstreamUse/index.js';
import type { Upstream, UpstreamClients } from '../types.js';

/** Options of {@link UpstreamRegistry}. */
export interface UpstreamRegistryOptions {
  list: InstanceList;
  clients: UpstreamClients;
  clock: Clock;
  /** The instance that owns the registry; without it, every upstream is used. */
  instanceId?: InstanceId;
  /** How many instances share the upstreams, when that is known better than from the list. */
  usableInstances?: () => number;
  /** How large a part of the upstreams an instance uses. */
  subset?: ChooseSubsetOptions;
  /** How often the list is read, in milliseconds. */
  listIntervalMs?: number;
  /** How often each upstream's load is read, in milliseconds. */
  loadIntervalMs?: number;
  /** Makes the limit of each upstream. */
  createLimit?: () => ConcurrencyLimit;
  /** When upstreams are taken out of use. */
  outliers?: OutlierDetectorOptions;
  /** Takes the hints of what engines have cached. */
  onCacheEvent?: (upstream: Upstream, event: CacheEvent) => void;
}

/** An upstream with what only the registry looks at. */
interface Entry {
  /** As the list said last. */
  listed: ListedInstance;
  readonly upstream: Upstream;
  readonly sent: SentLog;
  /** Ends the polling and marks the entry as no longer used. */
  readonly stop: AbortController;
  polling: Promise<void>;
  lastCacheSequence: number;
  /** When it last refused work, by this machine's wall clock. */
  refusedAtMs: number;
}

/** How long a load report may take, in milliseconds. */
const loadTimeoutMs = 2_000;

/** How often health is judged, in milliseconds. */
const judgeIntervalMs = 100;

/** The priority under which requests without one are counted. */
const noPriority = -1;

/** A report this far from this machine's wall clock comes from a clock that cannot be compared. */
const maxClockDifferenceMs = 10_000;

/** Knows the upstreams of each service: which there are, their clients and their load. */
export class UpstreamRegistry implements AsyncDisposable {
  readonly #options: UpstreamRegistryOptions & { listIntervalMs: number; loadIntervalMs: number };
  readonly #entries = new Map<UpstreamId, Entry>();
  readonly #byUpstream = new WeakMap<Upstream, Entry>();
  readonly #pools = new Map<ServiceName, ServicePool>();
  readonly #detector: OutlierDetector;
  readonly #closing = new Set<Promise<void>>();
  readonly #stop = new AbortController();
  readonly #owned = new DisposableStore();
  #liveInstances: readonly InstanceId[] = [];

  constructor(options: UpstreamRegistryOptions) {
    this.#options = { listIntervalMs: 1_000, loadIntervalMs: 500, ...options };
    this.#detector = new OutlierDetector(options.outliers);
    // One task an upstream listens to it.
    setMaxListeners(0, this.#stop.signal);
  }

  /** Reads the list once, then follows it until disposed of. */
  async start(): Promise<void> {
    // With the platform's list away at this moment the instance would end; it is read again soon.
    await this.refresh().catch(() => undefined);
    const following = Promise.all([this.#follow(), this.#judgeHealth()]);
    this.#owned.add({ [Symbol.asyncDispose]: () => following.then(() => undefined) });
  }

  /**
   * Reads the list once. An upstream that is no longer listed takes no new work; its client is
   * closed when the last stream there has ended.
   */
  async refresh(): Promise<void> {
    const list = await this.#options.list.read();
    this.#liveInstances = list
      .filter(({ role, state }) => role === 'entry' && state === 'live')
      .map(({ id }) => id);
    const wanted = this.#wanted(list.filter(({ role }) => role !== 'entry'));
    for (const [id, entry] of this.#entries) {
      // The same id at another address is another life of it, whose streams and cache are gone.
      if (wanted.get(id)?.url !== entry.listed.url) this.#forget(entry);
    }
    for (const listed of wanted.values()) this.#learn(listed);
  }

  /**
   * The upstreams of a service that may be given work, without those to leave out.
   *
   * @returns changes with the registry: use it at once
   */
  candidates(
    service: ServiceName,
    without: ReadonlySet<UpstreamId> = new Set(),
  ): readonly Upstream[] {
    const candidates = this.#pools.get(service)?.candidates() ?? [];
    if (without.size === 0) return candidates;
    return candidates.filter(({ id }) => !without.has(id));
  }

  /** All upstreams, for status. */
  all(): readonly Upstream[] {
    return [...this.#entries.values()].map(({ upstream }) => upstream);
  }

  /** How many requests this instance may have under way at a service's upstreams together. */
  places(service: ServiceName): number {
    return this.#pools.get(service)?.places ?? 0;
  }

  /**
   * How long a first token usually takes once a request was sent, in milliseconds; 0 before any was
   * seen.
   */
  usualFirstTokenMs(service: ServiceName, priority: number): number {
    return this.#pools.get(service)?.usualFirstTokenMs(priority) ?? 0;
  }

  /**
   * Marks a request as under way.
   *
   * @param upstream - where it is sent
   * @param priority - its priority, since first tokens are compared among equals
   * @returns to be told of its progress and failure, and to be disposed of when it has ended
   */
  begin(upstream: Upstream, priority = noPriority): UpstreamUse {
    const entry = this.#byUpstream.get(upstream);
    if (entry === undefined) throw new RouterError('internal', `${upstream.id} is unknown`);
    return new RegistryUse(entry, priority, {
      clock: this.#options.clock,
      pool: this.#pool(upstream.service),
      ended: () => {
        if (entry.stop.signal.aborted) this.#closeIdle(entry);
      },
      failed: (error) => {
        this.#takeFailure(entry, error);
      },
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    await this.#owned.dispose();
    for (const entry of this.#entries.values()) this.#forget(entry);
    await Promise.all(this.#closing);
  }

  /** The listed upstreams that this instance uses, by id. */
  #wanted(listed: readonly ListedInstance[]): Map<UpstreamId, ListedInstance> {
    const byId = new Map(listed.map((entry) => [entry.id as unknown as UpstreamId, entry]));
    const { instanceId, subset } = this.#options;
    if (instanceId === undefined) return byId;
    const instances = [...new Set([instanceId, ...this.#liveInstances])];
    for (const service of new Set(listed.map((entry) => entry.service))) {
      const ids = [...byId].filter(([, entry]) => entry.service === service).map(([id]) => id);
      const mine = chooseSubset(instanceId, instances, ids, subset);
      for (const id of ids) if (!mine.has(id)) byId.delete(id);
    }
    return byId;
  }

  #learn(listed: ListedInstance): void {
    const id = listed.id as unknown as UpstreamId;
    const known = this.#entries.get(id);
    if (known !== undefined) {
      known.listed = listed;
      this.#place(known);
      return;
    }
    const entry = this.#open(id, listed);
    this.#entries.set(id, entry);
    this.#byUpstream.set(entry.upstream, entry);
    this.#place(entry);
    entry.polling = this.#pollLoad(entry);
  }

  #open(id: UpstreamId, listed: ListedInstance): Entry {
    const { clients } = this.#options;
    const upstream: Upstream = {
      id,
      service: listed.service ?? ('' as ServiceName),
      failureDomain: listed.failureDomain,
      engine: listed.role === 'engine' ? clients.engine(listed) : undefined,
      plain: listed.role === 'service' ? clients.service(listed) : undefined,
      inFlightRequests: 0,
      sentSinceReport: 0,
      lagCorrection: 0,
      report: undefined,
      state: listed.state,
      incarnation: 0,
      isSuspect: false,
      limit: this.#options.createLimit?.() ?? new AimdLimit(),
      health: new UpstreamHealth(),
    };
    return {
      listed,
      upstream,
      sent: new SentLog(),
      stop: new AbortController(),
      polling: Promise.resolve(),
      lastCacheSequence: 0,
      refusedAtMs: -Infinity,
    };
  }

  #forget(entry: Entry): void {
    this.#entries.delete(entry.upstream.id);
    entry.stop.abort();
    this.#place(entry);
    this.#closeIdle(entry);
  }

  /** Closes the client of a gone upstream, once, when no stream uses it. */
  #closeIdle({ upstream, polling }: Entry): void {
    if (upstream.inFlightRequests > 0) return;
    const client: object | undefined = upstream.engine ?? upstream.plain;
    const closing = polling.then(() => disposeIfDisposable(client));
    this.#closing.add(closing);
    void closing.finally(() => this.#closing.delete(closing));
  }

  /** Takes into account whatever has changed. Any source that says so makes an upstream leave. */
  #place({ upstream, listed, stop }: Entry): void {
    const isLeaving =
      stop.signal.aborted || listed.state === 'leaving' || upstream.report?.state === 'leaving';
    upstream.state = isLeaving ? 'leaving' : 'live';
    this.#pool(upstream.service).place(upstream);
  }

  #pool(service: ServiceName): ServicePool {
    const known = this.#pools.get(service);
    if (known !== undefined) return known;
    const made = new ServicePool();
    this.#pools.set(service, made);
    return made;
  }

  /**
   * An upstream that refuses work may be leaving while list and reports, which lag, do not say so
   * yet. It gets no more until a report measured after the refusal says that it is live.
   */
  #takeFailure(entry: Entry, error: RouterError): void {
    const { upstream } = entry;
    if (error.kind === 'upstreamUnavailable') {
      upstream.isSuspect = true;
      entry.refusedAtMs = this.#options.clock.wallMs();
    }
    this.#judge(this.#pool(upstream.service));
    this.#place(entry);
  }

  async #judgeHealth(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#options.clock.sleep(judgeIntervalMs, this.#stop.signal);
      for (const pool of this.#pools.values()) this.#judge(pool);
    }
  }

  #judge(pool: ServicePool): void {
    for (const upstream of this.#detector.judge(pool.live, this.#options.clock.monotonicMs())) {
      if (upstream.health.state === 'healthy') upstream.limit.restart();
      pool.place(upstream);
    }
  }

  async #follow(): Promise<void> {
    const { clock, listIntervalMs } = this.#options;
    while (!this.#stop.signal.aborted) {
      await clock.sleep(listIntervalMs, this.#stop.signal);
      await this.refresh().catch(() => undefined);
    }
  }

  async #pollLoad(entry: Entry): Promise<void> {
    const { clock, loadIntervalMs } = this.#options;
    while (!entry.stop.signal.aborted) {
      await this.#readLoad(entry).catch(() => undefined);
      await this.#readCacheEvents(entry).catch(() => undefined);
      await clock.sleep(loadIntervalMs, entry.stop.signal);
    }
  }

  async #readLoad(entry: Entry): Promise<void> {
    const client = entry.upstream.engine ?? entry.upstream.plain;
    if (client === undefined) return;
    const report = await withTimeout(this.#options.clock, loadTimeoutMs, () => client.readLoad(), {
      kind: 'upstreamFailed',
      what: 'a load report',
      signal: entry.stop.signal,
    });
    this.#takeReport(entry, report);
  }

  #takeReport(entry: Entry, report: LoadReport): void {
    const { upstream, sent } = entry;
    const previous = upstream.report;
    upstream.report = report;
    if (previous !== undefined && previous.startedAtMs !== report.startedAtMs) {
      upstream.incarnation += 1;
      upstream.health.forget();
      entry.lastCacheSequence = 0;
    }
    if (report.measuredAtMs !== previous?.measuredAtMs) this.#takeNews(entry, report);
    upstream.sentSinceReport = sent.net;
    this.#place(entry);
  }

  #takeNews({ upstream, sent, refusedAtMs }: Entry, report: LoadReport): void {
    const measuredAtMs = this.#measuredAtMs(report);
    sent.rebase(measuredAtMs);
    if (measuredAtMs > refusedAtMs) upstream.isSuspect = false;
    const received = {
      report,
      measuredAtMs,
      receivedAtMs: this.#options.clock.wallMs(),
      instances: Math.max(1, this.#options.usableInstances?.() ?? this.#liveInstances.length),
    };
    upstream.limit.learnReport(received, upstream.inFlightRequests);
    const ownAtReport = upstream.inFlightRequests - sent.net;
    const requests = report.runningRequests + report.waitingRequests;
    // The report will be used until the next one comes.
    const ageMs = received.receivedAtMs - measuredAtMs + this.#options.loadIntervalMs / 2;
    upstream.lagCorrection = this.#pool(upstream.service).lagCorrection(
      upstream,
      Math.max(0, requests - ownAtReport),
      Math.max(0, ageMs),
    );
  }

  /** When a report was measured, by this machine's wall clock as far as the two can be compared. */
  #measuredAtMs({ measuredAtMs }: LoadReport): number {
    const nowMs = this.#options.clock.wallMs();
    return Math.abs(nowMs - measuredAtMs) > maxClockDifferenceMs ? nowMs : measuredAtMs;
  }

  async #readCacheEvents(entry: Entry): Promise<void> {
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
    // Events that were read across a restart speak of a cache that is gone.
    if (entry.upstream.incarnation !== incarnation) return;
    for (const event of events) {
      entry.lastCacheSequence = Math.max(entry.lastCacheSequence, event.sequence);
      onCacheEvent(entry.upstream, event);
    }
  }
}

async function disposeIfDisposable(client: object | undefined): Promise<void> {
  if (client !== undefined && Symbol.asyncDispose in client) {
    await (client as AsyncDisposable)[Symbol.asyncDispose]();
  }
}

/** What a {@link RegistryUse} needs of its registry. */
interface UseContext {
  readonly clock: Clock;
  readonly pool: ServicePool;
  readonly ended: () => void;
  readonly failed: (error: RouterError) => void;
}

/** Failures that are the upstream's, not the caller's. */
const upstreamFaults: ReadonlySet<ErrorKind> = new Set([
  'upstreamUnavailable',
  'upstreamFailed',
  'outcomeUnknown',
]);

/** One request under way, which keeps its upstream's figures. */
class RegistryUse extends UpstreamUse {
  readonly #entry: Entry;
  readonly #priority: number;
  readonly #context: UseContext;
  readonly #request: SilentRequest;
  #hasProgressed = false;
  #isEnded = false;

  constructor(entry: Entry, priority: number, context: UseContext) {
    super();
    this.#entry = entry;
    this.#priority = priority;
    this.#context = context;
    this.#request = {
      startedMs: context.clock.monotonicMs(),
      usualMs: context.pool.usualFirstTokenMs(priority),
    };
    const { upstream } = entry;
    upstream.inFlightRequests += 1;
    upstream.limit.learnInFlight(upstream.inFlightRequests);
    upstream.health.begin(this.#request);
    this.#changed(1);
  }

  override progress(): void {
    const { health } = this.#entry.upstream;
    const nowMs = this.#context.clock.monotonicMs();
    health.noteProgress(nowMs);
    if (this.#hasProgressed) return;
    this.#hasProgressed = true;
    const tookMs = nowMs - this.#request.startedMs;
    const usualMs = this.#request.usualMs ?? tookMs;
    health.noteFirstToken(this.#request, usualMs > 0 ? tookMs / usualMs : 1);
    this.#context.pool.learnFirstToken(this.#priority, tookMs);
    if (health.state === 'probing') this.#context.pool.place(this.#entry.upstream);
  }

  override failed(error: RouterError): void {
    if (!upstreamFaults.has(error.kind)) return;
    this.#entry.upstream.health.noteFailure(this.#request);
    this.#context.failed(error);
  }

  override [Symbol.dispose](): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    const { upstream } = this.#entry;
    upstream.inFlightRequests -= 1;
    upstream.health.end(this.#request);
    this.#context.pool.learnHold(this.#context.clock.monotonicMs() - this.#request.startedMs);
    this.#changed(-1);
    this.#context.ended();
  }

  #changed(by: 1 | -1): void {
    const { upstream, sent } = this.#entry;
    sent.record(by, this.#context.clock.wallMs());
    upstream.sentSinceReport = sent.net;
    this.#context.pool.place(upstream);
  }
}
