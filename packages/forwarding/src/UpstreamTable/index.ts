import {
  getOrCreate,
  type Clock,
  type FailureDomainId,
  type InstanceId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import {
  HashRing,
  maxWarmUpMs,
  measureSilence,
  RunTimeEstimator,
  type ServiceSilence,
  type UpstreamReach,
  VersionHistory,
} from '@acaciacrank/routing';
import { maxCopyAgeMs } from '@acaciacrank/store';
import { applyStatement, type ReceivedStatement } from '../_lib/applyStatement/index.js';
import { Brittleness } from '../_lib/Brittleness/index.js';
import { isDifferentRun } from '../_lib/isDifferentRun/index.js';
import { Upstream } from '../_lib/Upstream/index.js';
import type { ChangeDetails, UpstreamChange } from '../_lib/UpstreamChange/index.js';
import { UpstreamDepartures } from '../_lib/UpstreamDepartures/index.js';
import {
  expiredRecordGraceMs,
  removedRecordGraceMs,
  silenceLimitMs,
} from '../_lib/limits/index.js';
import type { LimitChange, LimitSharing } from '../_lib/UpstreamLimit/index.js';
import type { UpstreamRecord, WarmUpPolicy } from '../types.js';

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
  /** Number of instances that share connections, including this one; 1 by default. */
  instanceCount?: () => number;
  /** Evidence whether this instance reaches upstreams at all; none is collected by default. */
  reach?: UpstreamReach;
  /** How the upstreams of a service warm up; by default they do not. */
  warmUp?: (service: ServiceName) => WarmUpPolicy | undefined;
}

/** Number of upstreams that are looked at for a request: enough for a hot prompt part to spill to. */
const maxCandidates = 64;

/** How long the number of instances that share connections is cached, in milliseconds. */
const instanceCountTtlMs = 250;
/** How long the number of silent upstreams is cached, in milliseconds. */
const silenceTtlMs = 200;

/**
 * The usable upstreams, from their records in the store.
 *
 * Records expire while the store is unavailable, since upstreams cannot renew them. A record that
 * disappears during that time, or shortly after, stays usable for {@link expiredRecordGraceMs}
 * after the store is available again. If it is still missing then, the upstream is removed.
 */
export class UpstreamTable {
  readonly #options: UpstreamTableOptions;
  readonly #byId = new Map<UpstreamId, Upstream>();
  readonly #byService = new Map<ServiceName, HashRing<Upstream>>();
  /** Services whose upstreams run several versions of their software. */
  readonly #mixed = new Set<ServiceName>();
  /** Whether the index by service is to be made anew before it is used: once for many changes at a time. */
  #isIndexStale = false;
  /** How long requests hold a slot of the upstreams of each service. */
  readonly #runTimes = new Map<ServiceName, RunTimeEstimator>();
  /** Whether the upstreams of each service are brittle. */
  readonly #brittleness = new Map<ServiceName, Brittleness>();
  /** Failure domains whose upstreams get no new requests. */
  #drained: ReadonlySet<FailureDomainId> = new Set();
  /** Whether a complete list of records was applied. */
  #hasList = false;
  /**
   * Upstreams whose records disappeared, with the timer of their grace period once it has started.
   */
  readonly #expired = new Map<UpstreamId, Disposable | undefined>();
  /** How many upstreams of a service were silent, and when that was determined. */
  readonly #silences = new Map<ServiceName, { silence: ServiceSilence; atMs: number }>();
  /** Number of instances that share connections, and when it was determined. */
  #instanceCount = { value: 1, atMs: -Infinity };
  readonly #departures: UpstreamDepartures;
  readonly #versions: VersionHistory;
  #isStoreUnavailable = false;
  /** When the store last became available again, on the monotonic clock. */
  #storeAvailableSinceMs = -Infinity;

  constructor(options: UpstreamTableOptions) {
    this.#options = options;
    this.#departures = new UpstreamDepartures(options.clock);
    this.#versions = new VersionHistory(options.clock);
  }

  /** Upstreams of a service that accept new requests. */
  usable(service: ServiceName): readonly Upstream[] {
    return this.#ringOf(service)?.items ?? [];
  }

  /**
   * Upstreams of a service among which one is chosen for a request: all of them, or of many the same few
   * for each request with the same key.
   */
  candidates(service: ServiceName, key: string): readonly Upstream[] {
    return this.#ringOf(service)?.neighbours(key, maxCandidates) ?? [];
  }

  /** Whether the upstreams of a service, leaving ones included, run several versions of their software. */
  isMixed(service: ServiceName): boolean {
    this.#ringOf(service);
    return this.#mixed.has(service);
  }

  /** How many upstreams of a service are heard of, and how many are silent. */
  silenceOf(service: ServiceName): ServiceSilence {
    const nowMs = this.#options.clock.monotonicMs();
    const known = this.#silences.get(service);
    if (known !== undefined && nowMs - known.atMs < silenceTtlMs) return known.silence;
    const activities = this.usable(service).map(({ activity }) => activity);
    const silence = measureSilence(activities, silenceLimitMs);
    this.#silences.set(service, { silence, atMs: nowMs });
    return silence;
  }

  /**
   * Returns the one software version that a service has had, its upstreams that have left included.
   *
   * @param service - the service
   * @param durationMs - for how long, in milliseconds
   * @returns undefined if there was another, or it is not known
   */
  soleVersion(service: ServiceName, durationMs: number): string | undefined {
    const ofService = [...this.#byId.values()].filter(({ record }) => record.service === service);
    const current = ofService.map(({ record }) => record.softwareVersion);
    return this.#versions.soleVersion(service, current, durationMs);
  }

  /** Returns one upstream; undefined if it is not known. */
  get(id: UpstreamId): Upstream | undefined {
    return this.#byId.get(id);
  }

  /** Returns all upstreams, including those that are leaving. */
  all(): readonly Upstream[] {
    return [...this.#byId.values()];
  }

  /** Whether the store cannot be followed, so that records may be out of date. */
  get isStoreUnavailable(): boolean {
    return this.#isStoreUnavailable;
  }

  /** Records that the store stopped responding. */
  markStoreUnavailable(): void {
    this.#isStoreUnavailable = true;
    this.#versions.recordIncomplete();
  }

  /** Records that the store responds again, and starts the grace period of expired records. */
  markStoreAvailable(): void {
    this.#isStoreUnavailable = false;
    if (this.#hasList) this.#versions.recordComplete();
    this.#storeAvailableSinceMs = this.#options.clock.monotonicMs();
    for (const id of [...this.#expired.keys()]) this.#startGracePeriod(id);
  }

  /**
   * Records that the store returned from an older copy, which may lack upstreams that registered since
   * and show upstreams as live that left since. The missing ones get a grace period to register again;
   * the others stay out of use until a record of their next run appears.
   */
  markStoreRestored(): void {
    this.#versions.recordIncomplete();
    this.#departures.markStoreRestored();
    this.#options.clock.schedule(maxCopyAgeMs, () => {
      for (const record of this.#departures.refused) this.put(record);
    });
    this.markStoreAvailable();
  }

  /** Applies the complete list of records. */
  replaceAll(records: readonly UpstreamRecord[]): void {
    const listed = new Set(records.map(({ id }) => id));
    for (const id of [...this.#byId.keys()]) if (!listed.has(id)) this.#handleMissing(id);
    const changes = records.map((record) => this.#apply(record));
    if (changes.includes(true)) this.#isIndexStale = true;
    this.#hasList = true;
    if (!this.#isStoreUnavailable) this.#versions.recordComplete();
  }

  /**
   * Sets the failure domains whose upstreams get no new requests; requests in progress there continue.
   *
   * Guards against a burst at the end of a drain: upstreams that were idle may have to warm up again, and
   * their records may not state it yet.
   */
  setDrainedDomains(drained: ReadonlySet<FailureDomainId>): void {
    const ended = [...this.#drained].filter((domain) => !drained.has(domain));
    this.#drained = drained;
    for (const upstream of this.#byId.values()) {
      if (ended.includes(upstream.record.failureDomain)) this.#assumeWarmUp(upstream);
    }
    this.#isIndexStale = true;
  }

  /** Whether a service has upstreams, all of which are in drained failure domains. */
  isDrained(service: ServiceName): boolean {
    if (this.#drained.size === 0 || this.usable(service).length > 0) return false;
    return this.all().some(({ record, isLeaving }) => record.service === service && !isLeaving);
  }

  /**
   * Applies the records that a peer got from the store, while this instance gets none. An upstream
   * known to be leaving stays leaving, since the peer's view may be older. Upstreams missing from
   * the peer's list are kept, since their records may only have expired.
   */
  mergeFromPeer(records: readonly UpstreamRecord[]): void {
    const changes = records.map((record) => {
      const known = this.#byId.get(record.id);
      const isLeaving = known?.isLeaving === true && !isDifferentRun(known.record, record);
      return !isLeaving && this.#apply(record);
    });
    if (changes.includes(true)) this.#isIndexStale = true;
  }

  /** Adds or updates one record. */
  put(record: UpstreamRecord): void {
    if (this.#apply(record)) this.#isIndexStale = true;
  }

  /**
   * Handles the removal of a record from the store.
   *
   * Guards against an upstream that left and is used for too long: this instance may notice late that the store is
   * available again, and count the grace period from then.
   */
  remove(id: UpstreamId): void {
    this.#handleMissing(id, removedRecordGraceMs);
  }

  /** Handles that a record is not in the store; it stays usable for the time given at most. */
  #handleMissing(id: UpstreamId, maxGraceMs = Infinity): void {
    this.#departures.forgetRefused(id);
    const upstream = this.#byId.get(id);
    if (upstream === undefined || this.#expired.has(id)) return;
    const availableForMs = this.#options.clock.monotonicMs() - this.#storeAvailableSinceMs;
    if (!this.#isStoreUnavailable && availableForMs >= expiredRecordGraceMs) {
      this.#removeUpstream(upstream);
      return;
    }
    this.#report(upstream.record, 'lapsed');
    this.#expired.set(id, undefined);
    if (!this.#isStoreUnavailable) this.#startGracePeriod(id, maxGraceMs);
  }

  /** Removes an upstream because a different upstream responds at its address. */
  removeMismatched(upstream: Upstream): void {
    if (this.#byId.get(upstream.id) === upstream) this.#removeUpstream(upstream);
  }

  /** Applies the statement of an upstream in a response. */
  applyStatement(upstream: Upstream, received: ReceivedStatement): void {
    const wasLeaving = upstream.isLeaving;
    applyStatement(upstream, received, (what, details) => {
      this.#report(upstream.record, what, details);
    });
    if (upstream.isLeaving !== wasLeaving) this.#isIndexStale = true;
  }

  /** Closes the connections that no request uses. */
  closeIdleConnections(): void {
    for (const upstream of this.#byId.values()) upstream.closeIdleConnections();
  }

  /** Uses ejected upstreams again. */
  clearEjections(): void {
    for (const upstream of this.#byId.values()) upstream.recordSuccess();
  }

  /** Reports that the first request is sent to an upstream after its backoff. */
  reportBackoffEnded(upstream: Upstream): void {
    this.#report(upstream.record, 'backoffEnded');
  }

  /** Reports once that an upstream has ended while requests of this instance were in progress there. */
  reportEnded(upstream: Upstream, underWay: number): void {
    if (upstream.hasReportedEnd) return;
    upstream.hasReportedEnd = true;
    this.#report(upstream.record, 'ended', { underWay });
  }

  /** Reports that an upstream was ejected. */
  reportEjected(upstream: Upstream): void {
    this.#report(upstream.record, 'leftOut');
  }

  /** Reports a change of an upstream's rate limit. */
  reportLimitChange({ record, limit }: Upstream, what: LimitChange, toldBy?: InstanceId): void {
    const { requestsPerSecond } = limit;
    const limitPerS = requestsPerSecond === Infinity ? undefined : requestsPerSecond;
    this.#report(record, what, { limitPerS, toldBy });
  }

  /** Applies one record; returns whether the upstreams that can be used may have changed. */
  #apply(record: UpstreamRecord): boolean {
    this.#expired.get(record.id)?.[Symbol.dispose]();
    this.#expired.delete(record.id);
    if (this.#departures.refuses(record)) return false;
    const known = this.#byId.get(record.id);
    if (known !== undefined && !isDifferentRun(known.record, record)) {
      return this.#update(known, record);
    }
    if (known !== undefined) this.#closeUpstream(known);
    const upstream = this.#createUpstream(record);
    this.#byId.set(record.id, upstream);
    this.#applyWarmUp(upstream, record);
    if (known !== undefined) this.#report(record, 'startedAgain');
    if (upstream.isLeavingByRecord) this.#reportLeavingRecord(record);
    else this.#report(record, 'seen');
    return true;
  }

  #update(known: Upstream, record: UpstreamRecord): boolean {
    const wasLeaving = known.isLeaving;
    const previousDomain = known.record.failureDomain;
    if (isNewerRecord(known.record, record)) this.#applyWarmUp(known, record);
    if (known.record.softwareVersion !== record.softwareVersion) this.#recordVersionGone(known);
    known.record = record;
    // A copy from before an upstream left does not bring it back.
    const staysLeaving = this.#departures.wasStoreRestored && known.isLeavingByRecord;
    known.isLeavingByRecord = staysLeaving || record.state === 'leaving';
    if (!wasLeaving && record.state === 'leaving') this.#reportLeavingRecord(record);
    return known.isLeaving !== wasLeaving || record.failureDomain !== previousDomain;
  }

  #createUpstream(record: UpstreamRecord): Upstream {
    const { clock, limitSharing, reach, warmUp = () => undefined } = this.#options;
    const { service } = record;
    return new Upstream(record, {
      clock,
      limitSharing,
      reach,
      connectionShare: () => this.#connectionShare(service),
      warmUp: () => warmUp(service),
      runTimes: this.#runTimesOf(service),
      brittleness: getOrCreate(this.#brittleness, service, () => new Brittleness(clock)),
      instanceCount: () => this.#currentInstanceCount,
      isDomainDrained: (domain) => this.#drained.has(domain),
      mayHaveBeenUsed: !this.#hasList,
      statements: this.#departures.statementsOf(record),
    });
  }

  #runTimesOf(service: ServiceName): RunTimeEstimator {
    return getOrCreate(this.#runTimes, service, () => new RunTimeEstimator());
  }

  /**
   * Applies the warm-up in an upstream's record. An upstream that registers while this instance
   * follows the records has just started, so it warms up even if its record does not state it.
   */
  #applyWarmUp(upstream: Upstream, { warmUpMs }: UpstreamRecord): void {
    if (warmUpMs === undefined) {
      if (this.#hasList) this.#assumeWarmUp(upstream);
      return;
    }
    const isBeginning = warmUpMs > 0 && upstream.warmUp.remainingMs === 0;
    upstream.warmUp.announce(warmUpMs);
    if (isBeginning) this.#report(upstream.record, 'warmingUp', { warmUpMs });
    if (warmUpMs > maxWarmUpMs) this.#report(upstream.record, 'warmUpImplausible', { warmUpMs });
  }

  #assumeWarmUp(upstream: Upstream): void {
    const policy = this.#options.warmUp?.(upstream.record.service);
    if (policy !== undefined) upstream.warmUp.assume(policy.durationMs);
  }

  /**
   * Number of connections that this instance may have open to each upstream of a service.
   *
   * Guards against instances that together open more connections than an upstream accepts, so that
   * it resets the excess ones.
   */
  #connectionShare(service: ServiceName): number {
    const { maxConnections = () => Infinity } = this.#options;
    return Math.max(1, Math.floor(maxConnections(service) / this.#currentInstanceCount));
  }

  get #currentInstanceCount(): number {
    const { clock, instanceCount = () => 1 } = this.#options;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.#instanceCount.atMs >= instanceCountTtlMs) {
      this.#instanceCount = { value: instanceCount(), atMs: nowMs };
    }
    return this.#instanceCount.value;
  }

  #startGracePeriod(id: UpstreamId, maxGraceMs = Infinity): void {
    const { clock } = this.#options;
    this.#expired.get(id)?.[Symbol.dispose]();
    const remainingMs = this.#storeAvailableSinceMs + expiredRecordGraceMs - clock.monotonicMs();
    const timer = clock.schedule(Math.min(remainingMs, maxGraceMs), () => {
      this.#expired.delete(id);
      const upstream = this.#byId.get(id);
      if (upstream !== undefined) this.#removeUpstream(upstream);
    });
    this.#expired.set(id, timer);
  }

  #removeUpstream(upstream: Upstream): void {
    this.#departures.add(upstream.record, upstream.statements);
    this.#closeUpstream(upstream);
    this.#report(upstream.record, 'gone');
    this.#isIndexStale = true;
  }

  #recordVersionGone({ record }: Upstream): void {
    this.#versions.recordGone(record.service, record.softwareVersion);
  }

  #closeUpstream(upstream: Upstream): void {
    this.#recordVersionGone(upstream);
    upstream.isLeavingByRecord = true;
    this.#byId.delete(upstream.id);
    upstream[Symbol.asyncDispose]().catch(() => {
      // A failure to close is ignored: the connections are discarded with the upstream.
    });
  }

  #ringOf(service: ServiceName): HashRing<Upstream> | undefined {
    if (this.#isIndexStale) this.#rebuildServiceIndex();
    return this.#byService.get(service);
  }

  #rebuildServiceIndex(): void {
    this.#isIndexStale = false;
    const lists = new Map<ServiceName, Upstream[]>();
    const versions = new Map<ServiceName, Set<string | undefined>>();
    this.#mixed.clear();
    for (const upstream of this.#byId.values()) {
      const { service, softwareVersion } = upstream.record;
      const ofService = getOrCreate(versions, service, () => new Set());
      if (ofService.add(softwareVersion).size > 1) this.#mixed.add(service);
      if (upstream.isLeaving || this.#drained.has(upstream.record.failureDomain)) continue;
      const list = lists.get(upstream.record.service) ?? [];
      list.push(upstream);
      lists.set(upstream.record.service, list);
    }
    this.#byService.clear();
    for (const [service, list] of lists) this.#byService.set(service, new HashRing(list));
  }

  #reportLeavingRecord(record: UpstreamRecord): void {
    this.#report(record, 'leaving', { source: 'record' });
  }

  #report(
    { id: upstreamId, service }: UpstreamRecord,
    what: UpstreamChange['what'],
    details: ChangeDetails = {},
  ): void {
    this.#options.onChange({ upstreamId, service, what, ...details });
  }
}

/**
 * Whether a record of the same run is newer than the known one. A repeated record, as in a complete list,
 * contains nothing new: its times are those of its writing.
 */
function isNewerRecord(known: UpstreamRecord, record: UpstreamRecord): boolean {
  if (known.version !== undefined && record.version !== undefined) {
    return record.version > known.version;
  }
  return record.warmUpMs !== known.warmUpMs;
}
