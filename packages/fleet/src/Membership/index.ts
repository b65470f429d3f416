import {
  DisposableStore,
  millisecondsInSecond,
  StateStream,
  type Clock,
  type FailureDomainId,
  type InstanceId,
  type Log,
  type Metrics,
  type Random,
} from '@acaciacrank/base';
import type { ListedInstance } from '@acaciacrank/store';
import type { FleetLinks } from '../FleetLinks/index.js';
import type { FleetRpc } from '../FleetRpc/index.js';
import { MemberTable, type Member, type MergeResult } from '../MemberTable/index.js';
import { chooseMonitoredPeers } from '../_lib/chooseMonitoredPeers/index.js';
import { RecordRateLimiter } from '../_lib/RecordRateLimiter/index.js';
import { UpdateQueue } from '../_lib/UpdateQueue/index.js';
import type { FleetMessage, FleetMessageOf, MemberRecord } from '../types.js';

/** Identity of this instance, as its member record states it. */
export interface LocalMember {
  readonly id: InstanceId;
  /** Identifies one run of the instance's process; differs after each restart. */
  readonly life: string;
  readonly failureDomain: FailureDomainId;
}

/** Addresses of this instance, known once it listens. */
export interface InstanceAddresses {
  /** `http://IP:PORT` for callers. */
  readonly url: string;
  /** `ws://IP:PORT` for peers; empty for an instance without peers. */
  readonly fleetUrl: string;
}

/** Options of {@link Membership}. */
export interface MembershipOptions {
  clock: Clock;
  random: Random;
  links: FleetLinks;
  rpc: FleetRpc;
  metrics: Metrics;
  log: Log;
  self: LocalMember;
  /** Returns the configuration version in force on this instance; 0 for none. */
  configurationVersion: () => number;
  /** Interval between two heartbeats to one peer, in milliseconds; 1,000 by default. */
  heartbeatMs?: number;
  /** Timeout for the acknowledgement of a heartbeat, in milliseconds; 300 by default. */
  ackMs?: number;
  /** How long a suspected member has to refute the suspicion, in milliseconds; 3,000 by default. */
  suspicionMs?: number;
}

/** Number of peers that an instance sends heartbeats to, independent of the size of the fleet. */
export const monitoredPeerCount = 4;
/** Number of members that are requested to probe a peer that did not acknowledge a heartbeat. */
const indirectProbePeers = 3;
/** Maximum number of changed records in one message. */
const maxUpdateRecords = 5;
/** Maximum number of records that one message carries because the peer's view differs. */
const maxSyncRecords = 4;
/** Maximum number of records about other members sent per second, over all messages. */
const recordsPerSecond = 48;
/**
 * With more pending updates than this, updates wait for the next heartbeats instead of being sent
 * immediately. Bounds the traffic when many members change at once.
 */
const maxImmediateUpdates = 4;
/** Maximum number of recently active peers that are sent updates immediately. */
const maxRecentPeers = 2 * monitoredPeerCount;
/** A peer that sent nothing for this many heartbeat intervals is no longer a neighbour. */
const recentPeerHeartbeats = 3;
/** Jitter of the heartbeat interval in either direction, as a fraction of the interval. */
const heartbeatJitter = 0.1;
/** Delay before an immediate update, in milliseconds, so that one message carries several. */
const immediateDelayMs = 50;
/** Minimum interval between two rounds of immediate updates, in milliseconds. */
const minImmediateGapMs = 500;
/** A wait that exceeds this duration shows that the process was paused, in milliseconds. */
const pauseThresholdMs = 2 * millisecondsInSecond;

/** A message that carries member records. */
type GossipMessage = FleetMessageOf<'heartbeat' | 'heartbeatAck' | 'news'>;

/** The task that sends heartbeats to one peer. */
interface PeerMonitor {
  readonly stop: AbortController;
  readonly done: Promise<void>;
}

/**
 * Gossip-based membership and failure detection for the fleet, similar to the SWIM protocol.
 *
 * Each instance sends heartbeats to {@link monitoredPeerCount} peers rather than to all members;
 * membership changes are piggybacked on heartbeats and so reach every instance. A peer that does
 * not acknowledge a heartbeat is probed indirectly through other members. If they cannot reach it
 * either, it is suspected, and the suspicion is gossiped to all members including the suspect.
 * Unless the suspect refutes it within the suspicion timeout, each instance declares it dead on its
 * own.
 */
export class Membership implements AsyncDisposable {
  /** All members but this instance. */
  readonly members = new StateStream<readonly Member[]>([]);
  readonly #options: Required<MembershipOptions>;
  readonly #table: MemberTable;
  readonly #pendingUpdates = new UpdateQueue();
  readonly #recordLimiter: RecordRateLimiter;
  readonly #owned = new DisposableStore();
  readonly #stop = new AbortController();
  readonly #monitors = new Map<InstanceId, PeerMonitor>();
  readonly #pendingAcks = new Map<number, { from: InstanceId; acknowledge: () => void }>();
  /** For each peer, the configuration version in its latest message, and when that was received. */
  readonly #lastMessages = new Map<InstanceId, { version: number; receivedAtMs: number }>();
  #sequence = 0;
  #syncOffset = 0;
  #immediateTimer: Disposable | undefined;
  #lastImmediateAtMs = -Infinity;

  constructor(options: MembershipOptions) {
    this.#options = { heartbeatMs: 1_000, ackMs: 300, suspicionMs: 3_000, ...options };
    const { clock, self, suspicionMs } = this.#options;
    this.#recordLimiter = new RecordRateLimiter(clock, recordsPerSecond);
    this.#table = new MemberTable({
      clock,
      suspicionMs,
      // Starting from the wall clock puts the incarnation above that of any earlier run. If the
      // clock was set back, gossiped records of the earlier run raise the incarnation above theirs.
      self: {
        ...self,
        url: '',
        fleetUrl: '',
        incarnation: Math.max(1, Math.floor(clock.wallMs())),
        state: 'starting',
        isSuspect: false,
      },
    });
  }

  /** The record of this instance. */
  get self(): MemberRecord {
    return this.#table.self;
  }

  /** Peers that this instance monitors or has recently received messages from. */
  get neighbours(): InstanceId[] {
    return [...new Set([...this.#monitors.keys(), ...this.#recentPeers()])];
  }

  /**
   * Starts sending heartbeats and acknowledging those of peers.
   *
   * @param addresses - where callers and peers connect to this instance
   */
  start(addresses: InstanceAddresses): void {
    const { links, rpc } = this.#options;
    this.#table.setAddresses(addresses);
    this.#owned.add(
      links.subscribe((message, from) => {
        this.#handleMessage(message, from);
      }),
    );
    this.#owned.add(
      rpc.answer('probe', async ({ target }) => ({
        kind: 'probe',
        isReachable: await this.#probe(target),
      })),
    );
    const expiryTask = this.#runExpiry();
    const reconnectTask = this.#probeUnreachable();
    this.#owned.add({ [Symbol.asyncDispose]: () => expiryTask });
    this.#owned.add({ [Symbol.asyncDispose]: () => reconnectTask });
  }

  /** Applies the platform's list of entry instances. */
  applyInstanceList(entries: readonly ListedInstance[]): void {
    if (this.#table.applyInstanceList(entries)) this.#publish();
  }

  /** Changes the state of this instance from `starting` to `live`: it now accepts requests. */
  declareLive(): void {
    if (this.self.state === 'starting') this.#setOwnState('live');
  }

  /** Changes the state of this instance to `leaving`: it will soon stop accepting new callers. */
  leave(): void {
    this.#setOwnState('leaving');
  }

  /**
   * Changes the state of this instance to `left` and notifies the neighbours at once, so that none of
   * them has to detect the shutdown by missing heartbeats.
   */
  end(): void {
    this.#setOwnState('left');
    this.#sendUpdates();
  }

  /**
   * Returns the configuration version in force at a member.
   *
   * @returns undefined when it is unknown, since only peers that exchange messages report it
   */
  configurationVersionOf(id: InstanceId): number | undefined {
    return this.#lastMessages.get(id)?.version;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    this.#immediateTimer?.[Symbol.dispose]();
    const tasks = [...this.#monitors.values()];
    for (const { stop } of tasks) stop.abort();
    await Promise.all(tasks.map(({ done }) => done));
    await this.#owned.dispose();
  }

  /** Sends heartbeats to one peer until aborted. */
  async #monitorPeer(id: InstanceId, signal: AbortSignal): Promise<void> {
    const { clock, random, heartbeatMs } = this.#options;
    // Probes at once: an instance that has just started has no records of other members to gossip
    // until it receives them, and one that takes over from a failed observer has no time to lose.
    await this.#checkPeer(id, signal);
    await clock.sleep(random() * heartbeatMs, signal);
    while (!signal.aborted) {
      const startedMs = clock.monotonicMs();
      const silenceMs = startedMs - (this.#lastMessages.get(id)?.receivedAtMs ?? -Infinity);
      const intervalMs = heartbeatMs * (1 + heartbeatJitter * (2 * random() - 1));
      // Any message within the interval proves that the peer is alive, as an acknowledgement does.
      // Of two peers that monitor each other, the one whose timer fires first probes for both.
      if (silenceMs < intervalMs) {
        await clock.sleep(intervalMs - silenceMs, signal);
        continue;
      }
      await this.#checkPeer(id, signal);
      await clock.sleep(heartbeatMs - (clock.monotonicMs() - startedMs), signal);
    }
  }

  /** Suspects a peer that neither this instance nor another member reaches. */
  async #checkPeer(id: InstanceId, signal: AbortSignal): Promise<void> {
    const { clock, heartbeatMs } = this.#options;
    const startedMs = clock.monotonicMs();
    const isReached = (await this.#probe(id)) || (await this.#probeIndirectly(id));
    const tookMs = clock.monotonicMs() - startedMs;
    // If this process was paused, the acknowledgement may have arrived and not been read yet, so
    // its absence proves nothing.
    if (!isReached && !signal.aborted && tookMs < pauseThresholdMs + heartbeatMs) this.#suspect(id);
  }

  /** Sends a heartbeat and resolves with whether it was acknowledged in time. */
  #probe(id: InstanceId): Promise<boolean> {
    const { clock, links, ackMs } = this.#options;
    this.#sequence += 1;
    const sequence = this.#sequence;
    return new Promise((resolve) => {
      const finish = (isReached: boolean) => {
        timer[Symbol.dispose]();
        this.#pendingAcks.delete(sequence);
        resolve(isReached);
      };
      const timer = clock.scheduleActive(ackMs, () => {
        finish(false);
      });
      const acknowledge = () => {
        finish(true);
      };
      this.#pendingAcks.set(sequence, { from: id, acknowledge });
      links.send(id, this.#createGossipMessage('heartbeat', sequence, id));
    });
  }

  /**
   * Asks other members to probe a peer that did not acknowledge a heartbeat.
   *
   * Prevents false positives caused by a single bad link: only this instance misses the
   * acknowledgements, while other members still reach the peer.
   */
  async #probeIndirectly(id: InstanceId): Promise<boolean> {
    const { rpc, ackMs, metrics } = this.#options;
    metrics.count('heartbeatsMissed');
    const relays = this.#pickRandom(
      indirectProbePeers,
      (member) => member.id !== id && canRelayProbes(member),
    );
    const timeoutMs = 2 * ackMs;
    const answers = relays.map((relay) =>
      rpc.ask(relay.id, { kind: 'probe', target: id }, { timeoutMs }).then(
        ({ isReachable }) => isReachable,
        () => false,
      ),
    );
    const isReached = (await Promise.all(answers)).some(Boolean);
    if (isReached) metrics.count('heartbeatsConfirmedByOthers');
    return isReached;
  }

  /**
   * Probes one random member per heartbeat interval that is dead, suspected or only listed, so that
   * a healed partition is noticed.
   */
  async #probeUnreachable(): Promise<void> {
    const { clock, random, heartbeatMs } = this.#options;
    await clock.sleep(random() * heartbeatMs, this.#stop.signal);
    while (!this.#stop.signal.aborted) {
      const [unreachable] = this.#pickRandom(1, ({ state, id }) => {
        const isUnreachable = state === 'dead' || state === 'listed' || state === 'suspect';
        return isUnreachable && !this.#monitors.has(id);
      });
      if (
        unreachable !== undefined &&
        !(await this.#probe(unreachable.id)) &&
        !this.#stop.signal.aborted
      ) {
        if (!(await this.#probeIndirectly(unreachable.id))) this.#suspect(unreachable.id);
      }
      await clock.sleep(heartbeatMs, this.#stop.signal);
    }
  }

  /** Periodically declares suspects dead whose suspicion timeout has passed. */
  async #runExpiry(): Promise<void> {
    const { clock, log, metrics, heartbeatMs } = this.#options;
    while (!this.#stop.signal.aborted) {
      const startedMs = clock.monotonicMs();
      await clock.sleep(heartbeatMs / 4, this.#stop.signal);
      if (clock.monotonicMs() - startedMs > pauseThresholdMs) {
        metrics.count('pausesNoticed');
        this.#table.restartSuspicions();
      }
      const expiredIds = this.#table.expire();
      for (const id of expiredIds) {
        metrics.count('membersGivenUp');
        log.warn({ member: id }, 'member given up');
      }
      if (expiredIds.length > 0) this.#publish();
      this.#forgetInactivePeers();
    }
  }

  #forgetInactivePeers(): void {
    const { clock, heartbeatMs } = this.#options;
    const cutoffMs = clock.monotonicMs() - recentPeerHeartbeats * heartbeatMs;
    for (const [id, { receivedAtMs }] of this.#lastMessages) {
      if (receivedAtMs < cutoffMs) this.#lastMessages.delete(id);
    }
  }

  #handleMessage(message: FleetMessage, from: InstanceId): void {
    if (message.kind === 'heartbeat') {
      this.#handleGossip(message, from);
      const ack = this.#createGossipMessage(
        'heartbeatAck',
        message.sequence,
        from,
        message.viewHash,
      );
      this.#options.links.send(from, ack);
    } else if (message.kind === 'heartbeatAck') {
      this.#handleGossip(message, from);
      const pendingAck = this.#pendingAcks.get(message.sequence);
      if (pendingAck?.from === from) pendingAck.acknowledge();
    } else if (message.kind === 'news') {
      this.#handleGossip(message, from);
    }
  }

  #handleGossip({ records, configurationVersion }: GossipMessage, from: InstanceId): void {
    this.#lastMessages.set(from, {
      version: configurationVersion,
      receivedAtMs: this.#options.clock.monotonicMs(),
    });
    const results = records.map((record) => this.#merge(record));
    if (results.some((result) => result !== 'unchanged')) this.#publish();
  }

  #merge(record: MemberRecord): MergeResult {
    const { metrics, log } = this.#options;
    const result = this.#table.merge(record);
    if (result === 'unchanged') return result;
    this.#queueUpdate(record.id);
    if (result === 'suspectedHere') return 'unchanged';
    if (result === 'selfRaised') metrics.count('suspicionsRefuted');
    if (result === 'selfContested') {
      metrics.count('idContested');
      log.warn({ otherLife: record.life }, 'another life of this instance id was heard of');
    }
    return result;
  }

  #suspect(id: InstanceId): void {
    const result = this.#table.suspect(id);
    if (result === 'unchanged') return;
    this.#options.metrics.count('membersSuspected');
    this.#queueUpdate(id);
    this.#publish();
  }

  #setOwnState(state: MemberRecord['state']): void {
    this.#table.setOwnState(state);
    this.#queueUpdate(this.#table.self.id);
  }

  /** Queues a changed record, and schedules an immediate update unless too many are pending. */
  #queueUpdate(id: InstanceId): void {
    this.#pendingUpdates.add(id);
    if (this.#immediateTimer !== undefined || this.#pendingUpdates.size > maxImmediateUpdates)
      return;
    if (this.#stop.signal.aborted) return;
    const { clock } = this.#options;
    const remainingGapMs = this.#lastImmediateAtMs + minImmediateGapMs - clock.monotonicMs();
    this.#immediateTimer = clock.schedule(Math.max(immediateDelayMs, remainingGapMs), () => {
      this.#immediateTimer = undefined;
      this.#lastImmediateAtMs = clock.monotonicMs();
      this.#sendUpdates();
    });
  }

  #sendUpdates(): void {
    for (const id of this.neighbours) {
      this.#options.links.send(id, this.#createGossipMessage('news', 0, id));
    }
  }

  /**
   * Creates a message with the configuration version and as many member records as the limits allow.
   *
   * @param peerViewHash - hash of the peer's view; by default the peer's view is taken to be equal, and
   *   no records are added to reconcile the two
   */
  #createGossipMessage<Kind extends GossipMessage['kind']>(
    kind: Kind,
    sequence: number,
    to: InstanceId,
    peerViewHash = this.#table.hash,
  ) {
    const peerRecord = this.#table.record(to);
    const isDoubted = peerRecord?.isSuspect === true || peerRecord?.state === 'left';
    // Sends the peer any suspicion of it or record of its earlier run, so that it can refute it, and no updates,
    // which it most likely does not receive.
    const ids = new Set([this.#table.self.id, ...(isDoubted ? [to] : this.#takeUpdates())]);
    if (peerViewHash !== this.#table.hash) for (const id of this.#nextSyncIds()) ids.add(id);
    const records = [...ids].flatMap((id) => this.#table.record(id) ?? []);
    const configurationVersion = this.#options.configurationVersion();
    return { kind, sequence, configurationVersion, viewHash: this.#table.hash, records };
  }

  #takeUpdates(): InstanceId[] {
    const wanted = Math.min(maxUpdateRecords, this.#pendingUpdates.size);
    return this.#pendingUpdates.take(this.#recordLimiter.take(wanted));
  }

  /**
   * Returns the next few member ids in round-robin order. Peers whose views differ exchange their
   * whole views slice by slice this way (anti-entropy).
   */
  #nextSyncIds(): InstanceId[] {
    const ids = this.#table.knownIds();
    const count = this.#recordLimiter.take(Math.min(maxSyncRecords, ids.length));
    const start = this.#syncOffset;
    this.#syncOffset = (start + count) % Math.max(1, ids.length);
    // Wraps around, so that each id has its turn whatever their number.
    return Array.from({ length: count }, (_, index) => ids[(start + index) % ids.length]).filter(
      (id) => id !== undefined,
    );
  }

  #publish(): void {
    const others = this.#table.others();
    this.#options.links.setPeers(
      others.filter(({ state, fleetUrl }) => state !== 'left' && fleetUrl !== ''),
    );
    this.#updateMonitors(others);
    this.members.set(others);
  }

  /** Starts and stops peer monitors so that they match the current members. */
  #updateMonitors(others: readonly Member[]): void {
    if (this.#stop.signal.aborted || this.self.fleetUrl === '') return;
    const monitoredIds = this.#chooseMonitoredIds(others);
    for (const [id, { stop }] of this.#monitors) {
      if (monitoredIds.has(id)) continue;
      stop.abort();
      this.#monitors.delete(id);
    }
    for (const id of monitoredIds) {
      if (this.#monitors.has(id)) continue;
      const stop = new AbortController();
      this.#monitors.set(id, { stop, done: this.#monitorPeer(id, stop.signal) });
    }
  }

  /**
   * Chooses the peers to monitor: among all that may run, and besides among those that are not suspected.
   *
   * Guards against a member that is monitored by nobody after its observers failed together with it: those next
   * to them take over when they are suspected, not only when they are given up.
   */
  #chooseMonitoredIds(others: readonly Member[]): ReadonlySet<InstanceId> {
    const choose = (members: readonly Member[]) => {
      const ids = members.map(({ id }) => id);
      return chooseMonitoredPeers(this.#options.self.id, ids, monitoredPeerCount);
    };
    const possible = others.filter(({ state, fleetUrl }) => {
      return state !== 'dead' && state !== 'left' && fleetUrl !== '';
    });
    const unsuspected = possible.filter(({ state }) => state !== 'suspect');
    const chosen = choose(possible);
    if (unsuspected.length === possible.length) return new Set(chosen);
    return new Set([...chosen, ...choose(unsuspected)]);
  }

  #recentPeers(): InstanceId[] {
    return [...this.#lastMessages.keys()]
      .filter((id) => this.#table.member(id)?.state !== 'left')
      .slice(-maxRecentPeers);
  }

  #pickRandom(count: number, isEligible: (member: Member) => boolean): Member[] {
    const eligible = this.members.value.filter(
      (member) => member.fleetUrl !== '' && isEligible(member),
    );
    const picked: Member[] = [];
    while (picked.length < count && eligible.length > 0) {
      const index = Math.floor(this.#options.random() * eligible.length);
      picked.push(...eligible.splice(index, 1));
    }
    return picked;
  }
}

/** Whether the member is expected to reply, so that it can be requested to probe another one. */
function canRelayProbes({ state }: Member): boolean {
  return state === 'live' || state === 'leaving' || state === 'starting';
}
