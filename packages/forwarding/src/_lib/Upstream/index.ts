/**
 * One upstream: its connections, the requests in progress there, and its health.
 */
import type { Clock, FailureDomainId, InstanceId, UpstreamId } from '@acaciacrank/base';
import {
  checkAvailability,
  divideSlots,
  endsToIsolate,
  estimateSlotWait,
  LoadAverage,
  PeerBacklogEstimator,
  RunTimeEstimator,
  WarmUp,
  type Availability,
  type EngineLoad,
  type UpstreamActivity,
  type UpstreamReach,
  type UpstreamRun,
} from '@acaciacrank/routing';
import type { ReportedLoad, UpstreamRecord, WarmUpPolicy } from '../../types.js';
import { Brittleness } from '../Brittleness/index.js';
import { probeAddress } from '../probeAddress/index.js';
import { UpstreamConnection } from '../UpstreamConnection/index.js';
import { UpstreamStatements } from '../UpstreamStatements/index.js';
import { UpstreamLimit, unshared, type LimitSharing } from '../UpstreamLimit/index.js';
import {
  endProbeTimeoutMs,
  endProbeTtlMs,
  failuresToEject,
  initialEjectionMs,
  maxEjectionMs,
  runDoubtMs,
  upstreamInactivityMs,
} from '../limits/index.js';

/** Estimate, made when a request is sent, of the engine's work to process the prompt (prefill). */
export interface PrefillEstimate {
  readonly expectedMs: number;
  readonly promptTokens: number;
  /** Tokens of the prompt that no other request shares. */
  readonly newTokens: number;
  /** Whether the engine is known to have the remaining (shared) tokens in its cache. */
  readonly isSharedCached: boolean;
}

/** A request in progress at an upstream. */
export interface InFlightRequest {
  /** When it was sent, or before that when it was assigned to the upstream. */
  sentMs: number;
  /** When the first data of the response arrived; undefined before. */
  startedMs: number | undefined;
  /**
   * When the upstream last sent data for the request, initially when the request was sent, by the time in which this
   * process ran.
   */
  lastReceivedActiveMs: number;
  readonly prefill: PrefillEstimate | undefined;
  /**
   * Prefill work that this instance had already queued there when the request was sent, in
   * milliseconds.
   */
  readonly queuedAheadMs: number;
  /** Whether the first event of the response has arrived, so that prefill is complete. */
  hasFirstEvent: boolean;
  /** The longest time between two chunks of the response, in milliseconds. */
  longestGapMs: number;
}

/** A report of an upstream's load. */
interface KnownLoad {
  readonly report: ReportedLoad;
  /** Requests in the report that are not of this instance. */
  readonly otherRequests: number;
  readonly atMs: number;
}

/** A request in progress under which other upstreams have ended, and how many. */
export interface Suspect {
  readonly endCount: number;
}

type PrefillingRequest = InFlightRequest & { readonly prefill: PrefillEstimate };

function isPrefilling(inFlightRequest: InFlightRequest): inFlightRequest is PrefillingRequest {
  return inFlightRequest.prefill !== undefined && !inFlightRequest.hasFirstEvent;
}

/**
 * Returns how much longer than expected a prompt has been waiting for its first event, in
 * milliseconds.
 */
function prefillDelayMs(
  { prefill, sentMs, queuedAheadMs }: PrefillingRequest,
  nowMs: number,
): number {
  return nowMs - sentMs - queuedAheadMs - prefill.expectedMs;
}

/** Options of {@link Upstream}. */
export interface UpstreamOptions {
  clock: Clock;
  /** The instances that share what the upstream accepts; by default only this one. */
  limitSharing?: LimitSharing | undefined;
  /**
   * Returns how many connections, idle ones included, this instance may have open; unlimited by
   * default.
   */
  connectionShare?: () => number;
  /** Returns the number of instances that use it, including this one; 1 by default. */
  instanceCount?: () => number;
  /** Returns how it warms up; by default it takes all requests at once. */
  warmUp?: () => WarmUpPolicy | undefined;
  /** How long requests hold a slot of the service's upstreams; by default known to this one only. */
  runTimes?: RunTimeEstimator | undefined;
  /** Whether the upstreams of a failure domain get no new requests; by default they all do. */
  isDomainDrained?: (domain: FailureDomainId) => boolean;
  /** What this run of the upstream has stated before its record disappeared; by default nothing. */
  statements?: UpstreamStatements | undefined;
  /** Whether the upstreams of its service are brittle; by default known to this one only. */
  brittleness?: Brittleness | undefined;
  /** Evidence whether this instance reaches upstreams at all; none is collected by default. */
  reach?: UpstreamReach | undefined;
  /** Whether an earlier run of this process may just have used the upstream; false by default. */
  mayHaveBeenUsed?: boolean;
}

/** An upstream with its connections and state. */
export class Upstream implements AsyncDisposable, EngineLoad {
  record: UpstreamRecord;
  /** Whether it is draining by its record, or was removed. */
  isLeavingByRecord: boolean;
  /** The request rate that it accepts from all instances combined. */
  readonly limit: UpstreamLimit;
  /** Whether it is warming up, and what it takes meanwhile. */
  readonly warmUp: WarmUp;
  /** What it has requested of this instance in its responses. */
  readonly statements: UpstreamStatements;
  /** Whether the upstreams of its service are brittle. */
  readonly brittleness: Brittleness;
  readonly inFlight = new Set<InFlightRequest>();
  /** Requests of this instance here under which other upstreams have ended. */
  readonly suspects = new Set<Suspect>();
  /** Whether its end was reported, and nothing arrived from it since. */
  hasReportedEnd = false;
  readonly #clock: Clock;
  readonly #runTimes: RunTimeEstimator;
  readonly #instanceCount: () => number;
  readonly #isDomainDrained: (domain: FailureDomainId) => boolean;
  readonly #ownAverage = new LoadAverage();
  readonly #connectionShare: () => number;
  readonly #warmUpPolicy: () => WarmUpPolicy | undefined;
  readonly #reach: UpstreamReach | undefined;
  readonly #limitSharing: LimitSharing;
  /** This instance's share of the slots, and what it was computed from. */
  #slotShare = { sharers: [] as readonly InstanceId[], slots: 0, share: 0 };
  readonly #idle: UpstreamConnection[] = [];
  readonly #open = new Set<UpstreamConnection>();
  readonly #peerBacklog = new PeerBacklogEstimator();
  /** The load that it last reported. */
  #load: KnownLoad | undefined;
  /** Requests whose prompts are being processed or wait for it. */
  readonly #prefilling = new Set<PrefillingRequest>();
  /** Expected prefill time of these requests, in milliseconds. */
  #prefillingMs = 0;
  #consecutiveFailures = 0;
  #ejectionMs = 0;
  #ejectedUntilMs = 0;
  #lastReceivedActiveMs = -Infinity;
  #runDoubtedUntilMs = -Infinity;
  #lastNoAnswerMs = -Infinity;
  /** The last probe of its address, and when it began. */
  #endProbe: { readonly hasEnded: Promise<boolean>; readonly atMs: number } | undefined;

  constructor(record: UpstreamRecord, options: UpstreamOptions) {
    const { clock, limitSharing = unshared } = options;
    const { connectionShare = () => Infinity, warmUp = () => undefined } = options;
    this.record = record;
    this.isLeavingByRecord = record.state === 'leaving';
    this.#clock = clock;
    this.#instanceCount = options.instanceCount ?? (() => 1);
    this.#isDomainDrained = options.isDomainDrained ?? (() => false);
    this.#runTimes = options.runTimes ?? new RunTimeEstimator();
    this.#connectionShare = connectionShare;
    this.#reach = options.reach;
    this.#limitSharing = limitSharing;
    this.brittleness = options.brittleness ?? new Brittleness(clock);
    this.statements = options.statements ?? new UpstreamStatements(clock);
    this.limit = new UpstreamLimit(clock, record.id, limitSharing);
    this.#warmUpPolicy = warmUp;
    const { mayHaveBeenUsed = false } = options;
    const warmUpOptions = { clock, key: record.id, ...limitSharing, bound: warmUp };
    this.warmUp = new WarmUp({ ...warmUpOptions, mayHaveBeenUsed });
  }

  get id(): UpstreamId {
    return this.record.id;
  }

  /**
   * Whether a connection has ended and nothing has shown since which run is there: it may have started again under
   * its id, with other software. A record that still stands after a while shows that it has not.
   */
  get isRunDoubted(): boolean {
    return this.#clock.monotonicMs() < this.#runDoubtedUntilMs;
  }

  /** Records that it has told that it is the run of its record. */
  confirmRun(): void {
    this.#runDoubtedUntilMs = -Infinity;
  }

  /** Records that its process may have ended: a connection has, without a reason that is known. */
  doubtRun(): void {
    this.#runDoubtedUntilMs = this.#clock.monotonicMs() + runDoubtMs;
  }

  /** Its current run, as its record states it. */
  get run(): UpstreamRun {
    const { id: upstreamId, service, startedAtMs, softwareVersion } = this.record;
    return { service, upstreamId, startedAtMs, softwareVersion };
  }

  /**
   * Whether it gets no new requests since it is draining, by its record or its own responses, or was removed.
   */
  get isLeaving(): boolean {
    return this.isLeavingByRecord || this.statements.leavingForMs !== undefined;
  }

  /**
   * Prefill work queued here, in milliseconds: that of this instance plus an estimate for other
   * instances.
   */
  get backlogMs(): number {
    const nowMs = this.#clock.monotonicMs();
    let overdueMs = 0;
    for (const request of this.#prefilling)
      overdueMs = Math.max(overdueMs, prefillDelayMs(request, nowMs));
    return this.#prefillingMs + this.#peerBacklog.estimateMs(nowMs, overdueMs);
  }

  /** Estimated time until a slot is free for a request that is sent now, in milliseconds. */
  get slotWaitMs(): number {
    return estimateSlotWait({
      slots: this.slots,
      ownRequests: this.inFlight.size,
      otherRequests: this.#load?.otherRequests ?? 0,
      reportAgeMs: this.reportAgeMs ?? Infinity,
      usualOtherRequests: this.#usualOtherRequests,
      runTimeMs: this.#runTimes.runTimeMs,
    });
  }

  /** Requests of other instances here, if each of them has as many as this one had on average. */
  get #usualOtherRequests(): number {
    const others = this.#instanceCount() - 1;
    // The number is infinite before the first list of instances is read.
    if (others <= 0 || !Number.isFinite(others)) return 0;
    return others * this.#ownAverage.at(this.#clock.monotonicMs());
  }

  /** Number of requests that it runs at the same time, by its last report or its record. */
  get slots(): number {
    return this.#load?.report.slots ?? this.record.slots;
  }

  /** The load that it last reported; undefined if it reported none. */
  get reportedLoad(): ReportedLoad | undefined {
    return this.#load?.report;
  }

  /** Time since it last reported its load, in milliseconds; undefined if it reported none. */
  get reportAgeMs(): number | undefined {
    return this.#load && this.#clock.monotonicMs() - this.#load.atMs;
  }

  /** Records a report of its load. One without slots is implausible and is ignored. */
  recordLoad(report: ReportedLoad): void {
    if (report.slots <= 0) return;
    const otherRequests = Math.max(0, report.running + report.waiting - this.inFlight.size);
    this.#load = { report, otherRequests, atMs: this.#clock.monotonicMs() };
  }

  /** Number of this instance's requests in progress here. */
  get running(): number {
    return this.inFlight.size;
  }

  /** `IP:PORT` of this upstream. */
  get address(): string {
    return `${this.record.ip}:${this.record.port}`;
  }

  /** Whether it should get requests only if no other upstream is available. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs || this.#isUnresponsive();
  }

  /** Whether it runs a request that should run alone, since several upstreams have ended under it. */
  get isIsolated(): boolean {
    if (this.suspects.size === 0) return false;
    return [...this.suspects].some(({ endCount }) => endCount >= endsToIsolate);
  }

  /** Whether this instance may send it a request now. */
  get hasRoom(): boolean {
    return this.availability.bound === undefined;
  }

  /** Whether this instance may send it a request now, and if not, why and from when. */
  get availability(): Availability {
    return checkAvailability({
      isLeaving: this.isLeaving,
      isDomainDrained: this.#isDomainDrained(this.record.failureDomain),
      backoffWaitMs: this.statements.backoff.waitMs,
      limitWaitMs: this.limit.waitMs,
      warmUpWaitMs: this.warmUp.waitMs,
      slotWaitMs: this.#ownSlotWaitMs,
      hasConnection: this.#hasFreeConnection,
    });
  }

  /** Time until a slot of this instance is expected to be free, in milliseconds; 0 unless it is brittle. */
  get #ownSlotWaitMs(): number {
    if (!this.brittleness.isBrittle) return 0;
    const share = this.#ownSlots;
    if (this.inFlight.size < share) return 0;
    return Math.max(1, this.#runTimes.runTimeMs) / Math.max(1, share);
  }

  /** Number of its slots that this instance may use at the same time. */
  get #ownSlots(): number {
    const { slots } = this;
    const { instanceId, sharers } = this.#limitSharing;
    const current = sharers();
    if (this.#slotShare.sharers !== current || this.#slotShare.slots !== slots) {
      const share = divideSlots({ slots, key: this.id, instanceId, sharers: current });
      this.#slotShare = { sharers: current, slots, share };
    }
    return this.#slotShare.share;
  }

  get #hasFreeConnection(): boolean {
    return this.#idle.length > 0 || this.#open.size < this.#connectionShare();
  }

  /** When it was last heard of. */
  get activity(): UpstreamActivity {
    const nowMs = this.#clock.activeMs();
    let oldestMs = nowMs;
    for (const { lastReceivedActiveMs } of this.inFlight)
      oldestMs = Math.min(oldestMs, lastReceivedActiveMs);
    return { sinceReceivedMs: nowMs - this.#lastReceivedActiveMs, longestWaitMs: nowMs - oldestMs };
  }

  /** Takes a connection from the pool, or creates one, for a single request. */
  acquireConnection(): UpstreamConnection {
    const idle = this.#idle.pop();
    if (idle !== undefined) return idle;
    const connection = new UpstreamConnection(this.#clock, this.address, {
      onConnect: (isConnected) => {
        if (isConnected) this.#reach?.recordConnected();
        else this.#reach?.recordConnectFailed(this.id);
        if (!isConnected) this.doubtRun();
      },
      onClosedByPeer: () => {
        this.doubtRun();
      },
    });
    this.#open.add(connection);
    return connection;
  }

  /**
   * Returns a connection to the pool, or closes it.
   *
   * Guards against leftover bytes: a connection on which a response failed may deliver the rest of
   * it to the next request, so it is never reused.
   */
  releaseConnection(connection: UpstreamConnection, isReusable: boolean): void {
    // The share may have shrunk since the connection was opened.
    const isWithinShare = this.#open.size <= this.#connectionShare();
    if (isReusable && isWithinShare && this.#open.has(connection)) {
      this.#idle.push(connection);
      return;
    }
    this.#open.delete(connection);
    connection.destroy();
  }

  /** Closes the connections that no request uses. */
  closeIdleConnections(): void {
    for (const connection of this.#idle.splice(0)) {
      this.#open.delete(connection);
      connection.destroy();
    }
  }

  /** Records that a request is sent here. */
  begin(prefill: PrefillEstimate | undefined): InFlightRequest {
    const nowMs = this.#clock.monotonicMs();
    const inFlightRequest: InFlightRequest = {
      sentMs: nowMs,
      startedMs: undefined,
      lastReceivedActiveMs: this.#clock.activeMs(),
      prefill,
      queuedAheadMs: this.#prefillingMs,
      hasFirstEvent: false,
      longestGapMs: 0,
    };
    this.inFlight.add(inFlightRequest);
    this.#ownAverage.update(this.inFlight.size, nowMs);
    if (isPrefilling(inFlightRequest)) {
      this.#prefilling.add(inFlightRequest);
      this.#prefillingMs += inFlightRequest.prefill.expectedMs;
    }
    this.#reach?.recordSent(this.id);
    this.limit.recordSend();
    this.warmUp.recordSend();
    return inFlightRequest;
  }

  /** Records that a request is sent only now, since the upstream was queried for its run before. */
  recordSent(inFlightRequest: InFlightRequest): void {
    inFlightRequest.sentMs = this.#clock.monotonicMs();
    inFlightRequest.lastReceivedActiveMs = this.#clock.activeMs();
  }

  /** Records a sign of life that belongs to no request. */
  recordContact(): void {
    this.#lastReceivedActiveMs = this.#clock.activeMs();
    this.#reach?.recordReceived();
  }

  /** Records that data for a request arrived; the first event ends its prefill. */
  recordReceived(inFlightRequest: InFlightRequest, hasFirstEvent: boolean): void {
    const nowMs = this.#clock.monotonicMs();
    const activeMs = this.#clock.activeMs();
    if (hasFirstEvent && isPrefilling(inFlightRequest)) {
      this.#peerBacklog.observe(prefillDelayMs(inFlightRequest, nowMs), nowMs);
      this.#endPrefill(inFlightRequest);
    }
    if (inFlightRequest.hasFirstEvent)
      inFlightRequest.longestGapMs = Math.max(
        inFlightRequest.longestGapMs,
        activeMs - inFlightRequest.lastReceivedActiveMs,
      );
    inFlightRequest.startedMs ??= nowMs;
    inFlightRequest.hasFirstEvent ||= hasFirstEvent;
    inFlightRequest.lastReceivedActiveMs = activeMs;
    this.#lastReceivedActiveMs = activeMs;
    this.#reach?.recordReceived();
  }

  /**
   * Records that a request has ended.
   *
   * @param inFlightRequest - the request
   * @param options - whether its run time is learnt; it is by default
   */
  end(inFlightRequest: InFlightRequest, { isLearnt = true }: { isLearnt?: boolean } = {}): void {
    if (!this.inFlight.delete(inFlightRequest)) return;
    this.#ownAverage.update(this.inFlight.size, this.#clock.monotonicMs());
    if (isPrefilling(inFlightRequest)) this.#endPrefill(inFlightRequest);
    const { startedMs, sentMs, prefill, hasFirstEvent } = inFlightRequest;
    if (startedMs === undefined || !isLearnt) return;
    // A stream holds its slot from its first event on, a plain request all the time.
    const sinceMs = prefill === undefined ? sentMs : startedMs;
    if (prefill === undefined || hasFirstEvent)
      this.#runTimes.observe(this.#clock.monotonicMs() - sinceMs);
  }

  /** Records a successful request, which resets failures and ejection. */
  recordSuccess(): void {
    this.hasReportedEnd = false;
    this.#consecutiveFailures = 0;
    this.#ejectionMs = 0;
    this.#ejectedUntilMs = 0;
  }

  /**
   * Records a request that failed because of the upstream; returns whether the upstream was
   * ejected.
   */
  recordFailure(): boolean {
    this.#consecutiveFailures += 1;
    if (this.#consecutiveFailures < failuresToEject) return false;
    this.eject();
    return true;
  }

  /** Whether it sent what is no answer a short while ago. */
  get isSuspect(): boolean {
    return this.#clock.monotonicMs() - this.#lastNoAnswerMs < initialEjectionMs;
  }

  /** Records that it sent what is no answer: it is ejected at once. */
  recordNoAnswer(): void {
    this.#lastNoAnswerMs = this.#clock.monotonicMs();
    this.eject();
  }

  /**
   * Ejects the upstream temporarily, for longer with each ejection in a row.
   *
   * Guards against a burst at an upstream that restarted meanwhile and has to warm up, when its record does
   * not show it yet: it is assumed to warm up after the ejection.
   */
  eject(): void {
    this.#ejectionMs = Math.min(maxEjectionMs, Math.max(initialEjectionMs, 2 * this.#ejectionMs));
    this.#ejectedUntilMs = this.#clock.monotonicMs() + this.#ejectionMs;
    const policy = this.#warmUpPolicy();
    if (policy !== undefined) this.warmUp.assume(this.#ejectionMs + policy.durationMs);
  }

  /**
   * Finds out after a lost connection whether it has ended: it accepts no new connection, and does not merely
   * keep silent. Requests whose connections broke at the same time share one probe.
   */
  confirmEnd(): Promise<boolean> {
    const nowMs = this.#clock.monotonicMs();
    if (this.#endProbe === undefined || nowMs - this.#endProbe.atMs >= endProbeTtlMs) {
      const probe = probeAddress(this.#clock, this.address, endProbeTimeoutMs);
      this.#endProbe = { hasEnded: probe.then((outcome) => outcome === 'refused'), atMs: nowMs };
    }
    return this.#endProbe.hasEnded;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const connections = [...this.#open];
    this.#open.clear();
    this.#idle.length = 0;
    await Promise.all(connections.map(({ client }) => client.close()));
  }

  #endPrefill(request: PrefillingRequest): void {
    if (!this.#prefilling.delete(request)) return;
    // Sums of fractions drift, so an empty set starts anew.
    this.#prefillingMs =
      this.#prefilling.size === 0 ? 0 : this.#prefillingMs - request.prefill.expectedMs;
  }

  /**
   * Guards against an upstream that stops responding without closing its connections: requests keep
   * waiting while nothing at all arrives from it.
   */
  #isUnresponsive(): boolean {
    const { sinceReceivedMs, longestWaitMs } = this.activity;
    return sinceReceivedMs >= upstreamInactivityMs && longestWaitMs >= upstreamInactivityMs;
  }
}
