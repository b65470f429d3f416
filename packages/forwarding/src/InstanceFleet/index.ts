import {
  describeError,
  DisposableStore,
  type Clock,
  type FailureDomainId,
  type InstanceId,
  type Log,
  type Metrics,
  type Random,
} from '@acaciacrank/base';
import {
  ConfigurationSpread,
  FleetQuestions,
  Membership,
  Registrations,
  type FleetLinks,
  type Member,
  type RegistrationsOptions,
  type SpreadConfiguration,
} from '@acaciacrank/fleet';
import type { ObjectStore } from '@acaciacrank/store';
import { LiveWatch } from '../_lib/LiveWatch/index.js';
import { MemberLog } from '../_lib/MemberLog/index.js';

/** Options of {@link InstanceFleet}. */
export interface InstanceFleetOptions {
  self: RegistrationsOptions['self'];
  store: ObjectStore;
  links: FleetLinks;
  clock: Clock;
  random: Random;
  log: Log;
  metrics: Metrics;
  /** The configuration in force here, which peers may ask for. */
  configuration: Omit<SpreadConfiguration, 'objectText'>;
  /** Whether the store does not tell this instance of newer configurations, so that peers must. */
  isStoreAway: () => boolean;
  /** Called when a peer becomes live, initially, again or after a restart. */
  onPeerLive?: (peer: InstanceId) => void;
}

/** An instance that callers may use. */
export interface CallerInstance {
  readonly instanceId: InstanceId;
  /** `http://IP:PORT` where callers connect. */
  readonly url: string;
  readonly failureDomain: FailureDomainId;
}

/**
 * How long an instance that nobody reaches has to answer before it is given up, in milliseconds. It
 * is noticed within 2 s, and callers keep the directory's answer for 2 s: together under 6 s.
 */
const suspicionMs = 2_000;

/**
 * Age of the store's list above which an instance that reaches fewer than half of the others assumes
 * that they may have given it up, in milliseconds. Shorter than the time for which its last heartbeat
 * counts, by more than one heartbeat interval.
 */
const staleListMs = 7_000;

/**
 * The instances of the fleet, as this one sees them.
 *
 * The store tells who is registered, and the links tell who lives. Whom callers are sent to and who is
 * asked for tokens goes by the links alone, so that neither a store that is away nor one that turns
 * some instances away decides it. What is shared by number counts whoever may live by either.
 */
export class InstanceFleet implements AsyncDisposable {
  readonly questions: FleetQuestions;
  readonly #options: InstanceFleetOptions;
  readonly #registrations: Registrations;
  readonly #membership: Membership;
  readonly #owned = new DisposableStore();

  constructor(options: InstanceFleetOptions) {
    this.#options = options;
    const { self, store, links, clock, random, log, metrics, configuration } = options;
    this.questions = this.#owned.add(new FleetQuestions({ links, clock }));
    this.#membership = this.#owned.add(
      new Membership({
        clock,
        random,
        links,
        questions: this.questions,
        metrics,
        log,
        self: { id: self.instanceId, life: self.runId, failureDomain: self.failureDomain },
        configurationVersion: configuration.version,
        suspicionMs,
      }),
    );
    this.#owned.add(
      new ConfigurationSpread({
        clock,
        links,
        questions: this.questions,
        membership: this.#membership,
        metrics,
        configuration: { ...configuration, objectText: () => undefined },
        isWanted: options.isStoreAway,
      }),
    );
    this.#registrations = this.#owned.add(
      new Registrations({
        store,
        clock,
        self,
        onList: (others) => {
          this.#membership.list(others);
        },
        onTry: (isListed) => {
          metrics.count('instanceLists', isListed ? 'listed' : 'failed');
        },
      }),
    );
    this.#logChanges();
  }

  /** The other instances that callers may use: those that answer, or are only doubted so far. */
  get usable(): readonly CallerInstance[] {
    return this.#members
      .filter(({ state, wasLive }) => state === 'live' || (state === 'suspect' && wasLive))
      .map(({ id, url, failureDomain }) => ({ instanceId: id, url, failureDomain }));
  }

  /** How many other instances are known that have not left, whether or not they answer. */
  get peerCount(): number {
    return this.#members.filter(({ state }) => state !== 'left').length;
  }

  /** The instances that answer each other, this one included while it does not leave. */
  get answering(): readonly InstanceId[] {
    const others = this.#idsOf('live');
    const { id, state } = this.#membership.self;
    return state === 'leaving' || state === 'left' ? others : [id, ...others];
  }

  /**
   * How many instances share what is shared by number, this one included.
   *
   * Guards against two sides of a cut that each take the whole: whoever is not reached is counted
   * while its heartbeats in the store, or the lack of any news from there, leave open that it lives.
   * Before the first list nobody knows how many there are.
   */
  get sharers(): number {
    if (this.listAgeMs === undefined) return Infinity;
    return 1 + this.#othersExcept('left').length;
  }

  /**
   * The instances that share the rate limits of upstreams, including this one where it takes part.
   *
   * Guards against two sides of a partition that each use the whole limit, as {@link sharers} does. An
   * instance does not take part while it is leaving, before it has read the list of instances, and
   * while it is cut off from the store and from most others, since they may have given it up.
   */
  get rateSharers(): readonly InstanceId[] {
    const others = this.#othersExcept('left', 'leaving');
    const { id, state } = this.#membership.self;
    const isLeaving = state === 'leaving' || state === 'left';
    return isLeaving || this.#mayBeIsolated(others.length) ? others : [id, ...others];
  }

  /** How long ago the store's list was read, in milliseconds; undefined before it ever was. */
  get listAgeMs(): number | undefined {
    return this.#registrations.listAgeMs;
  }

  /** How many other instances are seen in each state. */
  get counts(): ReadonlyMap<Member['state'], number> {
    const counts = new Map<Member['state'], number>();
    for (const { state } of this.#members) counts.set(state, (counts.get(state) ?? 0) + 1);
    return counts;
  }

  /** The key that proves this instance to a peer; undefined for one that is not registered. */
  keyOf(id: InstanceId): string | undefined {
    return this.#registrations.keyOf(id);
  }

  /** Registers, and follows the others until disposed of. */
  async run(): Promise<void> {
    const { callerAddress, fleetUrl } = this.#options.self;
    this.#membership.start({ url: `http://${callerAddress}`, fleetUrl });
    await this.#registrations.run();
  }

  /** Tells the others that callers may be sent here. */
  serve(): void {
    this.#membership.serve();
  }

  /** Tells the others that this instance takes no new callers soon. */
  leave(): void {
    this.#membership.leave();
    this.#registrations.leave().catch((thrown: unknown) => {
      const error = describeError(thrown).message;
      this.#options.log.warn({ error }, 'leaving could not be written');
    });
  }

  /** Tells the others that this instance ends now, and takes its registration out of the store. */
  async end(): Promise<void> {
    this.#membership.end();
    await this.#registrations.remove();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned.dispose();
  }

  /** Other instances that live or may live, except those in the given states. */
  #othersExcept(...states: Member['state'][]): InstanceId[] {
    const excluded = new Set(this.#idsOf(...states));
    const reached = this.#idsOf('starting', 'live', 'suspect', 'leaving');
    const others = new Set([...reached, ...this.#registrations.mayLive()]);
    return [...others].filter((id) => !excluded.has(id));
  }

  /** Whether the others may have given this instance up, or are not known yet. */
  #mayBeIsolated(otherCount: number): boolean {
    const { listAgeMs } = this;
    if (listAgeMs === undefined) return true;
    return listAgeMs > staleListMs && this.#idsOf('live').length < otherCount / 2;
  }

  get #members(): readonly Member[] {
    return this.#membership.members.value;
  }

  #idsOf(...states: Member['state'][]): InstanceId[] {
    return this.#members.filter(({ state }) => states.includes(state)).map(({ id }) => id);
  }

  #logChanges(): void {
    const { log, metrics, onPeerLive = () => undefined } = this.#options;
    const memberLog = new MemberLog({ log, metrics, listAgeMs: () => this.listAgeMs });
    const liveWatch = new LiveWatch(onPeerLive);
    const following = this.#membership.members.follow(
      (members) => {
        memberLog.note(members);
        liveWatch.note(members);
      },
      (error) => {
        log.error({ err: error }, 'member stream failed');
      },
    );
    this.#owned.add(following);
  }
}
