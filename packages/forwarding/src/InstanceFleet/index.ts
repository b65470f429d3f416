import {
  toRouterError,
  DisposableStore,
  type Clock,
  type FailureDomainId,
  type InstanceId,
  type Log,
  type Metrics,
  type Random,
} from '@acaciacrank/base';
import {
  ConfigurationGossip,
  FleetRpc,
  Membership,
  Registrations,
  RestoreWitness,
  type FleetLinks,
  type Member,
  type RegistrationsOptions,
  type GossipedConfiguration,
} from '@acaciacrank/fleet';
import type { ObjectStore } from '@acaciacrank/store';
import { LivePeerWatcher } from '../_lib/LivePeerWatcher/index.js';
import { MembershipLog } from '../_lib/MembershipLog/index.js';

/** Options of {@link InstanceFleet}. */
export interface InstanceFleetOptions {
  self: RegistrationsOptions['self'];
  store: ObjectStore;
  links: FleetLinks;
  clock: Clock;
  random: Random;
  log: Log;
  metrics: Metrics;
  /** The current configuration of this instance, which peers may request. */
  configuration: Omit<GossipedConfiguration, 'objectText'>;
  /** Whether this instance gets no new configurations from the store and needs them from peers. */
  isStoreUnavailable: () => boolean;
  /** Whether the whole fleet starts for the first time. */
  isFirstStart: boolean;
  /** The highest epoch of the store in which this instance has written again all that it held. */
  accountedEpoch: () => number;
  /** What this instance registers of requests that end upstreams, and what it does with what others have. */
  quarantine?: Required<Pick<RegistrationsOptions, 'quarantine' | 'onQuarantine'>>;
  /** Called when a peer becomes live, initially, again or after a restart. */
  onPeerLive?: (peer: InstanceId) => void;
}

/** An instance that callers may use. */
export interface CallerInstance {
  readonly instanceId: InstanceId;
  /** `http://IP:PORT` for callers. */
  readonly url: string;
  readonly failureDomain: FailureDomainId;
}

/**
 * How long a suspected instance has to respond before it is considered failed, in milliseconds.
 * Suspicion begins within 2 s of a failure and callers cache the directory response for 2 s, so
 * callers use a failed instance for less than 6 s.
 */
const suspicionMs = 2_000;

/**
 * Age of the store's list above which an instance that reaches fewer than half of the others
 * assumes that they may consider it failed, in milliseconds. Shorter than the validity of its last
 * heartbeat by more than one heartbeat interval.
 */
const staleListMs = 7_000;

/** States of a member that runs, or did until just now. */
const runningStates: ReadonlySet<Member['state']> = new Set([
  'starting',
  'live',
  'suspect',
  'leaving',
]);

/** How long the list of instances that share rate limits is used before it is derived again, in ms. */
const rateSharingTtlMs = 100;

/** The live instances, and the members from which they were derived. */
interface LiveInstances {
  readonly members: readonly Member[];
  /** Whether this instance is one of them. */
  readonly isMember: boolean;
  readonly ids: readonly InstanceId[];
  readonly inDomain: readonly InstanceId[];
}

/**
 * The instances of the fleet as seen by this one.
 *
 * The store lists the registered instances; the connections between instances show which of them
 * are live. Only the connections decide where callers are sent and which instances are queried for
 * tokens, so that this works while the store is unavailable to all or some instances. Quantities
 * that are divided by the number of instances count every instance that may be live according to
 * either source.
 */
export class InstanceFleet implements AsyncDisposable {
  readonly rpc: FleetRpc;
  /** What is known about restores of the store. */
  readonly restores: RestoreWitness;
  readonly #options: InstanceFleetOptions;
  readonly #registrations: Registrations;
  /** The live instances, by the members from which they were derived. */
  #live: LiveInstances | undefined;
  /** The instances that share rate limits, and when they were derived. */
  #rateSharing: { readonly ids: readonly InstanceId[]; readonly atMs: number } | undefined;
  #isListFailing = false;
  #resolveFirstList: () => void = () => undefined;
  readonly #firstList = new Promise<void>((resolve) => {
    this.#resolveFirstList = resolve;
  });
  readonly #membership: Membership;
  readonly #disposables = new DisposableStore();

  constructor(options: InstanceFleetOptions) {
    this.#options = options;
    const { self, store, links, clock, random, log, metrics, configuration } = options;
    this.rpc = this.#disposables.add(new FleetRpc({ links, clock }));
    this.#membership = this.#disposables.add(
      new Membership({
        clock,
        random,
        links,
        rpc: this.rpc,
        metrics,
        log,
        self: { id: self.instanceId, life: self.runId, failureDomain: self.failureDomain },
        configurationVersion: configuration.version,
        suspicionMs,
      }),
    );
    this.#disposables.add(
      new ConfigurationGossip({
        clock,
        links,
        rpc: this.rpc,
        membership: this.#membership,
        metrics,
        configuration: { ...configuration, objectText: () => undefined },
        isFetchEnabled: options.isStoreUnavailable,
      }),
    );
    this.restores = new RestoreWitness({
      clock,
      isFirstStart: options.isFirstStart,
      ownAccountedEpoch: options.accountedEpoch,
    });
    this.#registrations = this.#disposables.add(
      new Registrations({
        store,
        clock,
        self,
        restores: () => this.restores.report,
        ...options.quarantine,
        onRegistrations: (others) => {
          const epoch = store.epochs.value;
          const wasAccounted = this.restores.isAccounted(epoch);
          this.restores.applyRuns(epoch, others);
          if (wasAccounted || !this.restores.isAccounted(epoch)) return;
          log.info({ epoch }, 'all grants from before the restore are known');
        },
        onList: (others) => {
          this.#membership.applyInstanceList(others);
        },
        onListAttempt: (isListed) => {
          this.#isListFailing = !isListed;
          if (isListed) this.#resolveFirstList();
          metrics.count('instanceLists', isListed ? 'listed' : 'failed');
        },
      }),
    );
    this.#logChanges();
  }

  /**
   * The other instances that callers may use: live ones, and suspected ones that were live before.
   */
  get usablePeers(): readonly CallerInstance[] {
    return this.#members
      .filter(({ state, wasLive }) => state === 'live' || (state === 'suspect' && wasLive))
      .map(({ id, url, failureDomain }) => ({ instanceId: id, url, failureDomain }));
  }

  /** Number of other known instances that have not left, reachable or not. */
  get peerCount(): number {
    return this.#members.filter(({ state }) => state !== 'left').length;
  }

  /**
   * The live instances, including this one unless it is leaving; the same array until they change.
   */
  get liveInstances(): readonly InstanceId[] {
    return this.#currentLive.ids;
  }

  /** Those of the {@link liveInstances} that are in the failure domain of this one. */
  get liveInDomain(): readonly InstanceId[] {
    return this.#currentLive.inDomain;
  }

  get #currentLive(): LiveInstances {
    const { id, state } = this.#membership.self;
    const isMember = state !== 'leaving' && state !== 'left';
    if (this.#live?.members !== this.#members || this.#live.isMember !== isMember) {
      const { failureDomain } = this.#options.self;
      const others = this.#members.filter((member) => member.state === 'live');
      const own = isMember ? [id] : [];
      const near = others.filter((member) => member.failureDomain === failureDomain);
      this.#live = {
        members: this.#members,
        isMember,
        ids: [...own, ...others.map((member) => member.id)],
        inDomain: [...own, ...near.map((member) => member.id)],
      };
    }
    return this.#live;
  }

  /** All other instances that may serve callers, those included that are leaving or cannot be reached. */
  get otherInstances(): readonly InstanceId[] {
    return this.#othersExcept('left');
  }

  /**
   * Number of instances among which quantities are divided, including this one.
   *
   * Guards against two sides of a network partition that each use the whole quantity: an
   * unreachable instance is counted as long as its heartbeats in the store, or missing news from
   * the store, mean that it may be live. Infinite before the first list, since the number of
   * instances is not known.
   */
  get sharingInstanceCount(): number {
    if (this.listAgeMs === undefined) return Infinity;
    return 1 + this.otherInstances.length;
  }

  /**
   * The instances that share the rate limits of upstreams, including this one if it takes part.
   *
   * Guards against two sides of a partition that each use the whole limit, as {@link sharingInstanceCount} does.
   * An instance does not take part while it is leaving, before it has read the list of instances,
   * and while it is cut off from the store and from most others, since they may consider it failed.
   * The same array is returned until the instances change.
   */
  get rateSharingInstances(): readonly InstanceId[] {
    const nowMs = this.#options.clock.monotonicMs();
    if (this.#rateSharing !== undefined && nowMs - this.#rateSharing.atMs < rateSharingTtlMs) {
      return this.#rateSharing.ids;
    }
    const derived = this.#deriveRateSharing();
    const known = this.#rateSharing?.ids;
    const ids = known !== undefined && hasSameItems(known, derived) ? known : derived;
    this.#rateSharing = { ids, atMs: nowMs };
    return ids;
  }

  #deriveRateSharing(): readonly InstanceId[] {
    const others = this.#othersExcept('left', 'leaving');
    const { id, state } = this.#membership.self;
    const isLeaving = state === 'leaving' || state === 'left';
    return isLeaving || this.#mayBeIsolated(others.length) ? others : [id, ...others];
  }

  /**
   * Time since the store's list was last read, in milliseconds; undefined before the first read.
   */
  get listAgeMs(): number | undefined {
    return this.#registrations.listAgeMs;
  }

  /** Resolves when the store's list of instances, and what they have registered, was read for the first time. */
  get firstList(): Promise<void> {
    return this.#firstList;
  }

  /** Whether the last attempt to read the list from the store failed. */
  get isListFailing(): boolean {
    return this.#isListFailing;
  }

  /** Number of other instances in each state. */
  get counts(): ReadonlyMap<Member['state'], number> {
    const counts = new Map<Member['state'], number>();
    for (const { state } of this.#members) counts.set(state, (counts.get(state) ?? 0) + 1);
    return counts;
  }

  /**
   * Returns the registered key with which this instance authenticates to a peer; undefined if the
   * peer is not registered.
   */
  linkKeyOf(id: InstanceId): string | undefined {
    return this.#registrations.linkKeyOf(id);
  }

  /** Registers this instance and follows the others until disposed of. */
  async run(): Promise<void> {
    const { callerAddress, fleetUrl } = this.#options.self;
    this.#membership.start({ url: `http://${callerAddress}`, fleetUrl });
    await this.#registrations.run();
  }

  /** Writes the registration of this instance now, since what it says has changed. */
  registerNow(): void {
    this.#registrations.writeNow().catch(() => {
      // The next heartbeat writes it.
    });
  }

  /** Writes the registration of this instance, and reads those of the others. */
  exchangeNow(): Promise<void> {
    return this.#registrations.exchangeNow();
  }

  /** Announces to the others that this instance accepts callers. */
  declareLive(): void {
    this.#membership.declareLive();
  }

  /** Announces to the others that this instance is leaving and will soon accept no new callers. */
  leave(): void {
    this.#membership.leave();
    this.#registrations.leave().catch((thrown: unknown) => {
      const error = toRouterError(thrown).message;
      this.#options.log.warn({ error }, 'leaving could not be written');
    });
  }

  /**
   * Announces to the others that this instance ends now, and deletes its registration from the
   * store.
   */
  async end(): Promise<void> {
    this.#membership.end();
    await this.#registrations.remove();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#disposables.dispose();
  }

  /** Returns the other instances that are or may be live, except those in the given states. */
  #othersExcept(...states: Member['state'][]): InstanceId[] {
    const excluded = new Set(this.#idsOf(...states));
    const reached = this.#idsOf('starting', 'live', 'suspect', 'leaving');
    const others = new Set([...reached, ...this.#registrations.possiblyRunning()]);
    return [...others].filter((id) => !excluded.has(id));
  }

  /** Whether the others may consider this instance failed, or are not known yet. */
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
    const membershipLog = new MembershipLog({ log, metrics, listAgeMs: () => this.listAgeMs });
    const livePeerWatcher = new LivePeerWatcher(onPeerLive);
    const subscription = this.#membership.members.follow(
      (members) => {
        membershipLog.update(members);
        livePeerWatcher.update(members);
        for (const { life, state } of members)
          if (life !== '' && runningStates.has(state)) this.restores.recordRun(life);
      },
      (error) => {
        log.error({ err: error }, 'member stream failed');
      },
    );
    this.#disposables.add(subscription);
  }
}

function hasSameItems(one: readonly InstanceId[], other: readonly InstanceId[]): boolean {
  return one.length === other.length && one.every((id, index) => id === other[index]);
}
