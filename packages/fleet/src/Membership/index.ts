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
import type { FleetQuestions } from '../FleetQuestions/index.js';
import { MemberTable, type Member, type MergeResult } from '../MemberTable/index.js';
import { chooseMonitored } from '../_lib/chooseMonitored/index.js';
import { RecordBudget } from '../_lib/RecordBudget/index.js';
import { NewsQueue } from '../_lib/NewsQueue/index.js';
import type { FleetMessage, FleetMessageOf, MemberRecord } from '../types.js';

/** What an instance says of itself when it starts. */
export interface MembershipSelf {
  readonly id: InstanceId;
  /** Differs between two lives of the same instance. */
  readonly life: string;
  readonly failureDomain: FailureDomainId;
}

/** Where an instance listens, known when it does. */
export interface InstanceAddresses {
  /** `http://IP:PORT` for callers. */
  readonly url: string;
  /** `ws://IP:PORT` for peers; empty for an instance that runs alone. */
  readonly fleetUrl: string;
}

/** Options of {@link Membership}. */
export interface MembershipOptions {
  clock: Clock;
  random: Random;
  links: FleetLinks;
  questions: FleetQuestions;
  metrics: Metrics;
  log: Log;
  self: MembershipSelf;
  /** The configuration version in force here; 0 for none. */
  configurationVersion: () => number;
  /** Time between two heartbeats to one peer, in milliseconds. */
  heartbeatMs?: number;
  /** How long an acknowledgement is waited for, in milliseconds. */
  ackMs?: number;
  /** How long a suspect has to answer, in milliseconds. */
  suspicionMs?: number;
}

/** How many peers an instance sends heartbeats to, whatever the size of the fleet. */
export const monitoredPeers = 4;
/** How many others are asked whether they reach a peer that did not acknowledge. */
const confirmingPeers = 3;
/** Bounds of one message: changes, and records of a view that differs. */
const maxNewsRecords = 5;
const maxSliceRecords = 4;
/** Records about others that leave in a second, in all messages together. */
const recordsPerSecond = 48;
/** With more changes than this under way, changes wait for heartbeats: a storm stays bounded. */
const maxUrgentChanges = 4;
/** How many of those that speak to this instance hear its changes at once. */
const maxRecentPeers = 2 * monitoredPeers;
/** A peer that was not heard for so many heartbeats is no neighbour any more. */
const rememberedHeartbeats = 3;
/** By how much of itself the time between two heartbeats varies, either way. */
const heartbeatSpread = 0.1;
/** Changes that come close together leave in one message. */
const urgentDelayMs = 50;
/** Rounds of changes that do not wait for heartbeats are at least so far apart. */
const urgentGapMs = 500;
/** A timer that is so late tells that this process was paused. */
const pauseMs = 2 * millisecondsInSecond;

type Heartbeat = FleetMessageOf<'heartbeat' | 'heartbeatAck' | 'news'>;

interface Monitoring {
  readonly stop: AbortController;
  readonly done: Promise<void>;
}

/**
 * Who is in the fleet and alive.
 *
 * Heartbeats go to {@link monitoredPeers} peers each second, not to all; what changes rides on them
 * to everybody. A peer that does not acknowledge is first looked for by way of others, then
 * suspected, which everybody hears, it included; only when it has not objected in time does each
 * instance give it up for itself.
 */
export class Membership implements AsyncDisposable {
  /** All members but this instance. */
  readonly members = new StateStream<readonly Member[]>([]);
  readonly #options: Required<MembershipOptions>;
  readonly #table: MemberTable;
  readonly #news = new NewsQueue();
  readonly #budget: RecordBudget;
  readonly #owned = new DisposableStore();
  readonly #stop = new AbortController();
  readonly #monitoring = new Map<InstanceId, Monitoring>();
  readonly #acks = new Map<number, { from: InstanceId; take: () => void }>();
  /** Configuration versions that peers told directly. */
  readonly #versions = new Map<InstanceId, { version: number; heardAtMs: number }>();
  #sequence = 0;
  #sliceAt = 0;
  #urgent: Disposable | undefined;
  #urgentAtMs = -Infinity;

  constructor(options: MembershipOptions) {
    this.#options = { heartbeatMs: 1_000, ackMs: 300, suspicionMs: 3_000, ...options };
    const { clock, self, suspicionMs } = this.#options;
    this.#budget = new RecordBudget(clock, recordsPerSecond);
    this.#table = new MemberTable({
      clock,
      suspicionMs,
      // Later lives begin above earlier ones; where a clock was set back, hearsay of the former
      // life raises it.
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

  /** What this instance says of itself. */
  get self(): MemberRecord {
    return this.#table.self;
  }

  /** Whom this instance exchanges heartbeats with. */
  get neighbours(): InstanceId[] {
    return [...new Set([...this.#monitoring.keys(), ...this.#recentPeers()])];
  }

  /**
   * Starts to send heartbeats and to answer those of others.
   *
   * @param addresses - where others reach this instance
   */
  start(addresses: InstanceAddresses): void {
    const { links, questions } = this.#options;
    this.#table.setAddresses(addresses);
    this.#owned.add(
      links.receive((message, from) => {
        this.#take(message, from);
      }),
    );
    this.#owned.add(
      questions.answer('probe', async ({ target }) => ({
        kind: 'probe',
        isReachable: await this.#probe(target),
      })),
    );
    const housekeeping = this.#keepHouse();
    const lookingFor = this.#lookForLost();
    this.#owned.add({ [Symbol.asyncDispose]: () => housekeeping });
    this.#owned.add({ [Symbol.asyncDispose]: () => lookingFor });
  }

  /** Takes the platform's list of entry instances. */
  list(entries: readonly ListedInstance[]): void {
    if (this.#table.list(entries)) this.#publish();
  }

  /** Tells the fleet that this instance takes requests, once it has a configuration. */
  serve(): void {
    if (this.self.state === 'starting') this.#declare('live');
  }

  /** Tells the fleet that this instance takes no new callers soon. */
  leave(): void {
    this.#declare('leaving');
  }

  /** Tells the fleet that this instance ends now; nobody needs to find out by silence. */
  end(): void {
    this.#declare('left');
    this.#sendNews();
  }

  /**
   * The configuration version that a member has in force.
   *
   * @returns undefined when it is not known: only peers that exchange heartbeats tell each other
   */
  configurationVersionOf(id: InstanceId): number | undefined {
    return this.#versions.get(id)?.version;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    this.#urgent?.[Symbol.dispose]();
    const tasks = [...this.#monitoring.values()];
    for (const { stop } of tasks) stop.abort();
    await Promise.all(tasks.map(({ done }) => done));
    await this.#owned.dispose();
  }

  /** The task of one monitored peer. */
  async #monitor(id: InstanceId, signal: AbortSignal): Promise<void> {
    const { clock, random, heartbeatMs } = this.#options;
    // An instance that has just started names nobody before it has heard of them.
    void this.#probe(id);
    await clock.sleep(random() * heartbeatMs, signal);
    while (!signal.aborted) {
      const startedMs = clock.monotonicMs();
      const silentMs = startedMs - (this.#versions.get(id)?.heardAtMs ?? -Infinity);
      const allowedMs = heartbeatMs * (1 + heartbeatSpread * (2 * random() - 1));
      // What was heard just now proves as much as an acknowledgement; of two that monitor each other
      // the one whose turn comes first speaks for both.
      if (silentMs < allowedMs) {
        await clock.sleep(allowedMs - silentMs, signal);
        continue;
      }
      const isReached = (await this.#probe(id)) || (await this.#confirm(id));
      const tookMs = clock.monotonicMs() - startedMs;
      // After a pause of this process the acknowledgement may wait unread: it proves nothing.
      if (!isReached && !signal.aborted && tookMs < pauseMs + heartbeatMs) this.#suspect(id);
      await clock.sleep(heartbeatMs - tookMs, signal);
    }
  }

  /** Sends a heartbeat and waits for its acknowledgement. */
  #probe(id: InstanceId): Promise<boolean> {
    const { clock, links, ackMs } = this.#options;
    this.#sequence += 1;
    const sequence = this.#sequence;
    return new Promise((resolve) => {
      const finish = (isReached: boolean) => {
        timer[Symbol.dispose]();
        this.#acks.delete(sequence);
        resolve(isReached);
      };
      const timer = clock.schedule(ackMs, () => {
        finish(false);
      });
      const take = () => {
        finish(true);
      };
      this.#acks.set(sequence, { from: id, take });
      links.send(id, this.#heartbeat('heartbeat', sequence, id));
    });
  }

  /**
   * Asks others whether they reach a peer that did not acknowledge.
   *
   * Guards against a false death by one bad link: it shows as missing acknowledgements here alone,
   * while others still reach the peer.
   */
  async #confirm(id: InstanceId): Promise<boolean> {
    const { questions, ackMs, metrics } = this.#options;
    metrics.count('heartbeatsMissed');
    const confirmers = this.#pick(
      confirmingPeers,
      (member) => member.id !== id && isUsable(member),
    );
    const timeoutMs = 2 * ackMs;
    const answers = confirmers.map((confirmer) =>
      questions.ask(confirmer.id, { kind: 'probe', target: id }, { timeoutMs }).then(
        ({ isReachable }) => isReachable,
        () => false,
      ),
    );
    const isReached = (await Promise.all(answers)).some(Boolean);
    if (isReached) metrics.count('heartbeatsConfirmedByOthers');
    return isReached;
  }

  /** Probes who was given up or never heard of, so that a healed partition is noticed. */
  async #lookForLost(): Promise<void> {
    const { clock, random, heartbeatMs } = this.#options;
    await clock.sleep(random() * heartbeatMs, this.#stop.signal);
    while (!this.#stop.signal.aborted) {
      const [lost] = this.#pick(1, ({ state, id }) => {
        const isLost = state === 'dead' || state === 'listed' || state === 'suspect';
        return isLost && !this.#monitoring.has(id);
      });
      if (lost !== undefined && !(await this.#probe(lost.id)) && !this.#stop.signal.aborted) {
        if (!(await this.#confirm(lost.id))) this.#suspect(lost.id);
      }
      await clock.sleep(heartbeatMs, this.#stop.signal);
    }
  }

  /** Gives up suspects whose time is over. */
  async #keepHouse(): Promise<void> {
    const { clock, log, metrics, heartbeatMs } = this.#options;
    while (!this.#stop.signal.aborted) {
      const startedMs = clock.monotonicMs();
      await clock.sleep(heartbeatMs / 4, this.#stop.signal);
      if (clock.monotonicMs() - startedMs > pauseMs) {
        metrics.count('pausesNoticed');
        this.#table.restartSuspicions();
      }
      const died = this.#table.expire();
      for (const id of died) {
        metrics.count('membersGivenUp');
        log.warn({ member: id }, 'member given up');
      }
      if (died.length > 0) this.#publish();
      this.#forgetSilent();
    }
  }

  #forgetSilent(): void {
    const { clock, heartbeatMs } = this.#options;
    const sinceMs = clock.monotonicMs() - rememberedHeartbeats * heartbeatMs;
    for (const [id, { heardAtMs }] of this.#versions) {
      if (heardAtMs < sinceMs) this.#versions.delete(id);
    }
  }

  #take(message: FleetMessage, from: InstanceId): void {
    if (message.kind === 'heartbeat') {
      this.#hear(message, from);
      const ack = this.#heartbeat('heartbeatAck', message.sequence, from, message.viewHash);
      this.#options.links.send(from, ack);
    } else if (message.kind === 'heartbeatAck') {
      this.#hear(message, from);
      const waiting = this.#acks.get(message.sequence);
      if (waiting?.from === from) waiting.take();
    } else if (message.kind === 'news') {
      this.#hear(message, from);
    }
  }

  #hear({ records, configurationVersion }: Heartbeat, from: InstanceId): void {
    this.#versions.set(from, {
      version: configurationVersion,
      heardAtMs: this.#options.clock.monotonicMs(),
    });
    const results = records.map((record) => this.#merge(record));
    if (results.some((result) => result !== 'unchanged')) this.#publish();
  }

  #merge(record: MemberRecord): MergeResult {
    const { metrics, log } = this.#options;
    const result = this.#table.merge(record);
    if (result === 'unchanged') return result;
    this.#tell(record.id);
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
    this.#tell(id);
    this.#publish();
  }

  #declare(state: MemberRecord['state']): void {
    this.#table.declare(state);
    this.#tell(this.#table.self.id);
  }

  /** Spreads a change at once, unless so many are under way that heartbeats must do. */
  #tell(id: InstanceId): void {
    this.#news.add(id);
    if (this.#urgent !== undefined || this.#news.size > maxUrgentChanges) return;
    if (this.#stop.signal.aborted) return;
    const { clock } = this.#options;
    const gapMs = this.#urgentAtMs + urgentGapMs - clock.monotonicMs();
    this.#urgent = clock.schedule(Math.max(urgentDelayMs, gapMs), () => {
      this.#urgent = undefined;
      this.#urgentAtMs = clock.monotonicMs();
      this.#sendNews();
    });
  }

  #sendNews(): void {
    for (const id of this.neighbours) {
      this.#options.links.send(id, this.#heartbeat('news', 0, id));
    }
  }

  #heartbeat<Kind extends Heartbeat['kind']>(
    kind: Kind,
    sequence: number,
    to: InstanceId,
    theirHash = this.#table.hash,
  ) {
    const newsCount = this.#budget.take(Math.min(maxNewsRecords, this.#news.size));
    const ids = new Set([this.#table.self.id, ...this.#news.take(newsCount)]);
    // A peer hears what is said of it or of its former life, so that it can object.
    const ofPeer = this.#table.record(to);
    if (ofPeer?.isSuspect === true || ofPeer?.state === 'left') ids.add(to);
    if (theirHash !== this.#table.hash) for (const id of this.#nextSlice()) ids.add(id);
    const records = [...ids].flatMap((id) => this.#table.record(id) ?? []);
    const configurationVersion = this.#options.configurationVersion();
    return { kind, sequence, configurationVersion, viewHash: this.#table.hash, records };
  }

  /** The next few members in turn; peers whose views differ walk through each other's this way. */
  #nextSlice(): InstanceId[] {
    const ids = this.#table.knownIds();
    const count = this.#budget.take(Math.min(maxSliceRecords, ids.length));
    const start = this.#sliceAt % Math.max(1, ids.length);
    this.#sliceAt = start + count;
    return ids.slice(start, start + count);
  }

  #publish(): void {
    const others = this.#table.others();
    this.#options.links.setPeers(
      others.filter(({ state, fleetUrl }) => state !== 'left' && fleetUrl !== ''),
    );
    this.#superviseMonitoring(others);
    this.members.set(others);
  }

  /** Starts and ends the tasks of monitored peers as the fleet changes. */
  #superviseMonitoring(others: readonly Member[]): void {
    if (this.#stop.signal.aborted || this.self.fleetUrl === '') return;
    const candidates = others.filter(({ state, fleetUrl }) => {
      return state !== 'dead' && state !== 'left' && fleetUrl !== '';
    });
    const ids = candidates.map(({ id }) => id);
    const wanted = new Set(chooseMonitored(this.#options.self.id, ids, monitoredPeers));
    for (const [id, { stop }] of this.#monitoring) {
      if (wanted.has(id)) continue;
      stop.abort();
      this.#monitoring.delete(id);
    }
    for (const id of wanted) {
      if (this.#monitoring.has(id)) continue;
      const stop = new AbortController();
      this.#monitoring.set(id, { stop, done: this.#monitor(id, stop.signal) });
    }
  }

  #recentPeers(): InstanceId[] {
    return [...this.#versions.keys()]
      .filter((id) => this.#table.member(id)?.state !== 'left')
      .slice(-maxRecentPeers);
  }

  #pick(count: number, isWanted: (member: Member) => boolean): Member[] {
    const found = this.members.value.filter((member) => member.fleetUrl !== '' && isWanted(member));
    const picked: Member[] = [];
    while (picked.length < count && found.length > 0) {
      const at = Math.floor(this.#options.random() * found.length);
      picked.push(...found.splice(at, 1));
    }
    return picked;
  }
}

function isUsable({ state }: Member): boolean {
  return state === 'live' || state === 'leaving' || state === 'starting';
}
