import type { Clock, InstanceId, ServiceName, UpstreamId } from '@acaciacrank/base';
import { Upstream } from '../_lib/Upstream/index.js';
import { lapsedGraceMs } from '../_lib/limits/index.js';
import { unshared, type LimitChange, type LimitSharing } from '../_lib/UpstreamLimit/index.js';
import type { UpstreamRecord } from '../types.js';

/** A change of what this instance believes of an upstream. */
export interface UpstreamChange {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceName;
  readonly what: 'seen' | 'startedAgain' | 'leaving' | 'lapsed' | 'gone' | 'leftOut' | LimitChange;
  /**
   * Requests per second that the upstream accepts from all instances combined; undefined if it sets
   * no limit and for changes other than {@link LimitChange}.
   */
  readonly limitPerS?: number | undefined;
  /** The peer that reported the limit; undefined if this instance read it in an answer. */
  readonly toldBy?: InstanceId | undefined;
}

/** Options of {@link UpstreamTable}. */
export interface UpstreamTableOptions {
  clock: Clock;
  onChange: (change: UpstreamChange) => void;
  /** The instances that share the limits of upstreams; by default only this one. */
  limitSharing?: LimitSharing;
  /**
   * Number of connections that one upstream of a service accepts from all instances combined;
   * unlimited by default.
   */
  maxConnections?: (service: ServiceName) => number;
  /** How many instances share connections, this one included; 1 by default. */
  instanceCount?: () => number;
}

/** How long the number of instances that share connections is cached, in milliseconds. */
const instanceCountTtlMs = 250;

/**
 * The upstreams that may be used, as the store lists them.
 *
 * Records lapse while the store is away, since upstreams cannot renew them. A record that vanishes
 * then, or just after, stays usable until the store has been back for {@link lapsedGraceMs}; one
 * that is still missing by then is gone.
 */
export class UpstreamTable {
  readonly #options: UpstreamTableOptions;
  readonly #byId = new Map<UpstreamId, Upstream>();
  readonly #byService = new Map<ServiceName, Upstream[]>();
  /** Upstreams whose records vanished, with the end of their grace once that has begun. */
  readonly #lapsed = new Map<UpstreamId, Disposable | undefined>();
  /** Number of instances that share connections, and when it was determined. */
  #instanceCount = { value: 1, atMs: -Infinity };
  #isStoreLost = false;
  #regainedMs = -Infinity;

  constructor(options: UpstreamTableOptions) {
    this.#options = options;
  }

  /** Upstreams of a service that may get new requests. */
  usable(service: ServiceName): readonly Upstream[] {
    return this.#byService.get(service) ?? [];
  }

  /** One upstream; undefined when it is not known. */
  get(id: UpstreamId): Upstream | undefined {
    return this.#byId.get(id);
  }

  /** All upstreams, for metrics. */
  all(): readonly Upstream[] {
    return [...this.#byId.values()];
  }

  /** Notes that the store stopped answering. */
  loseStore(): void {
    this.#isStoreLost = true;
  }

  /** Notes that the store answers again; what lapsed has a little time to come back. */
  regainStore(): void {
    this.#isStoreLost = false;
    this.#regainedMs = this.#options.clock.monotonicMs();
    for (const id of [...this.#lapsed.keys()]) this.#beginGrace(id);
  }

  /** Takes over the whole list. */
  replaceAll(records: readonly UpstreamRecord[]): void {
    const listed = new Set(records.map(({ id }) => id));
    for (const id of [...this.#byId.keys()]) if (!listed.has(id)) this.remove(id);
    for (const record of records) this.put(record);
  }

  /**
   * Takes over what a peer was told by the store, while the store does not tell this instance. What
   * was known to be leaving stays so, since the peer's view may be the older one; what the peer does
   * not name may have lapsed.
   */
  hearFromPeer(records: readonly UpstreamRecord[]): void {
    for (const record of records) {
      const known = this.#byId.get(record.id);
      const isLeaving = known?.isLeaving === true && !isAnotherRun(known.record, record);
      if (!isLeaving) this.put(record);
    }
  }

  /** Takes over one record. */
  put(record: UpstreamRecord): void {
    this.#lapsed.get(record.id)?.[Symbol.dispose]();
    this.#lapsed.delete(record.id);
    const known = this.#byId.get(record.id);
    if (known === undefined || isAnotherRun(known.record, record)) {
      if (known !== undefined) this.#drop(known);
      this.#byId.set(record.id, this.#createUpstream(record));
      if (known !== undefined) this.#tell(record, 'startedAgain');
      this.#tell(record, record.state === 'leaving' ? 'leaving' : 'seen');
    } else {
      const isNews = !known.isLeaving && record.state === 'leaving';
      known.record = record;
      known.isLeaving = record.state === 'leaving';
      if (isNews) this.#tell(record, 'leaving');
    }
    this.#index();
  }

  /** Notes that a record vanished from the store. */
  remove(id: UpstreamId): void {
    const upstream = this.#byId.get(id);
    if (upstream === undefined || this.#lapsed.has(id)) return;
    const sinceRegainedMs = this.#options.clock.monotonicMs() - this.#regainedMs;
    if (!this.#isStoreLost && sinceRegainedMs >= lapsedGraceMs) {
      this.#forget(upstream);
      return;
    }
    this.#tell(upstream.record, 'lapsed');
    this.#lapsed.set(id, undefined);
    if (!this.#isStoreLost) this.#beginGrace(id);
  }

  /** Notes that another upstream answers at this one's address. */
  forgetWrong(upstream: Upstream): void {
    if (this.#byId.get(upstream.id) === upstream) this.#forget(upstream);
  }

  /** Tells that an upstream is left out by what was seen of it. */
  tellLeftOut(upstream: Upstream): void {
    this.#tell(upstream.record, 'leftOut');
  }

  /** Reports a change of an upstream's rate limit. */
  tellLimitChange({ record, limit }: Upstream, what: LimitChange, toldBy?: InstanceId): void {
    const { requestsPerSecond } = limit;
    const limitPerS = requestsPerSecond === Infinity ? undefined : requestsPerSecond;
    this.#tell(record, what, { limitPerS, toldBy });
  }

  #createUpstream(record: UpstreamRecord): Upstream {
    const { clock, limitSharing = unshared } = this.#options;
    const connectionShare = () => this.#connectionShare(record.service);
    return new Upstream(record, clock, limitSharing, connectionShare);
  }

  /**
   * Number of connections that this instance may have open to each upstream of a service.
   *
   * Guards against instances that together open more connections than an upstream accepts, so that
   * it resets the excess ones.
   */
  #connectionShare(service: ServiceName): number {
    const { clock, maxConnections = () => Infinity, instanceCount = () => 1 } = this.#options;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.#instanceCount.atMs >= instanceCountTtlMs) {
      this.#instanceCount = { value: instanceCount(), atMs: nowMs };
    }
    const { value } = this.#instanceCount;
    return Math.max(1, Math.floor(maxConnections(service) / value));
  }

  #beginGrace(id: UpstreamId): void {
    const { clock } = this.#options;
    this.#lapsed.get(id)?.[Symbol.dispose]();
    const leftMs = this.#regainedMs + lapsedGraceMs - clock.monotonicMs();
    const timer = clock.schedule(leftMs, () => {
      this.#lapsed.delete(id);
      const upstream = this.#byId.get(id);
      if (upstream !== undefined) this.#forget(upstream);
    });
    this.#lapsed.set(id, timer);
  }

  #forget(upstream: Upstream): void {
    this.#drop(upstream);
    this.#tell(upstream.record, 'gone');
    this.#index();
  }

  #drop(upstream: Upstream): void {
    upstream.isLeaving = true;
    this.#byId.delete(upstream.id);
    upstream[Symbol.asyncDispose]().catch(() => {
      // Its connections end with it.
    });
  }

  #index(): void {
    this.#byService.clear();
    for (const upstream of this.#byId.values()) {
      if (upstream.isLeaving) continue;
      const list = this.#byService.get(upstream.record.service) ?? [];
      list.push(upstream);
      this.#byService.set(upstream.record.service, list);
    }
  }

  #tell(
    { id: upstreamId, service }: UpstreamRecord,
    what: UpstreamChange['what'],
    limit: Pick<UpstreamChange, 'limitPerS' | 'toldBy'> = {},
  ): void {
    this.#options.onChange({ upstreamId, service, what, ...limit });
  }
}

/**
 * Whether a record tells of another run than the known one. An id is one run of an upstream, but some
 * start again under the id that they had, and then hold and know nothing of before.
 */
function isAnotherRun(known: UpstreamRecord, record: UpstreamRecord): boolean {
  const isElsewhere = known.ip !== record.ip || known.port !== record.port;
  return isElsewhere || known.service !== record.service || !isSameStart(known, record);
}

/** A start that is not told may be any; one that lies before the known one may be a clock set back. */
function isSameStart(known: UpstreamRecord, record: UpstreamRecord): boolean {
  const { startedAtMs } = record;
  if (known.startedAtMs === undefined || startedAtMs === undefined) return true;
  return known.startedAtMs === startedAtMs;
}
