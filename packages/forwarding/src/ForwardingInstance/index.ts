import {
  ClosedClients,
  toRouterError,
  DisposableStore,
  withTimeout,
  type ClientCloseReason,
  type Clock,
  type FailureDomainId,
  type InstanceId,
  type Log,
  type MachineLimits,
  type Metrics,
  type Random,
  type ServiceName,
} from '@acaciacrank/base';
import { WsFleetLinks } from '@acaciacrank/fleet';
import { PrepaidAccounts, type GrantEvent, type ProcessRun } from '@acaciacrank/ledger';
import { planClientLimits, RetryShare, type ClientLimitPlan } from '@acaciacrank/routing';
import type { ObjectFollower, ObjectStore } from '@acaciacrank/store';
import { randomBytes } from 'node:crypto';
import type { Server } from 'node:http';
import {
  applyCallerLimits,
  createForwardServer,
  listenBacklog,
} from '../createForwardServer/index.js';
import { FleetPrepaidPeers } from '../FleetPrepaidPeers/index.js';
import { DomainDrains } from '../DomainDrains/index.js';
import type { ForwardCodec } from '../ForwardCodec/index.js';
import { ForwardHandler } from '../ForwardHandler/index.js';
import { InstanceFleet, type CallerInstance } from '../InstanceFleet/index.js';
import { ActiveConfiguration } from '../_lib/ActiveConfiguration/index.js';
import { chooseDirectoryInstances } from '../_lib/chooseDirectoryInstances/index.js';
import { createDrainFollower } from '../_lib/createDrainFollower/index.js';
import { createUpstreamFollower } from '../_lib/createUpstreamFollower/index.js';
import { DirectoryLog } from '../_lib/DirectoryLog/index.js';
import { isSameSecret } from '../_lib/isSameSecret/index.js';
import { planShutdown } from '../_lib/planShutdown/index.js';
import { ReachMonitor } from '../ReachMonitor/index.js';
import { RelayPeers } from '../RelayPeers/index.js';
import { RequestQuarantine } from '@acaciacrank/callers';
import type { RouteTable } from '../RouteTable/index.js';
import { StreamAffinity } from '../StreamAffinity/index.js';
import { UpstreamLimitGossip } from '../UpstreamLimitGossip/index.js';
import { RelayedObjectStore } from '../RelayedObjectStore/index.js';
import { PeerUpstreamSync } from '../PeerUpstreamSync/index.js';
import type { WarmUpPolicy } from '../types.js';
import { UpstreamTable } from '../UpstreamTable/index.js';
import type { UpstreamChange } from '../_lib/UpstreamChange/index.js';

/** Addresses and limits of a forwarding instance. */
export interface ForwardingSettings {
  readonly instanceId: InstanceId;
  readonly failureDomain: FailureDomainId;
  readonly callers: { readonly ip: string; readonly port: number };
  /** Address that listens for connections from other instances. */
  readonly fleet: { readonly ip: string; readonly port: number };
  /** Limits on the retries that a service may receive from all instances combined. */
  readonly repeats: {
    /** Retries allowed for each request in the window. */
    readonly perRequest: number;
    /** Additional retries allowed per window, for all instances combined. */
    readonly free: number;
    readonly windowMs: number;
  };
  /** What an upstream that warms up may get beyond the rate that it takes. */
  readonly warmUp: {
    /** Requests of all instances combined, as a multiple of the rate. */
    readonly overage: number;
    /** Requests in any second beyond that. */
    readonly slack: number;
  };
  /** What the process may use of its machine. */
  readonly machine: MachineLimits;
  /** Whether the whole fleet starts for the first time, so that nothing was ever stored. */
  readonly isFirstStart: boolean;
  /** Maximum duration of a graceful shutdown, in milliseconds. */
  readonly stopLimitMs: number;
  /** Maximum time for which callers cache a directory response, in milliseconds. */
  readonly directoryTtlMs: number;
  /** Time within which a configuration must be in force everywhere, in milliseconds. */
  readonly configurationLimitMs: number;
  /** Time within which a leaving upstream must stop getting requests, in milliseconds. */
  readonly drainLimitMs: number;
}

/** Options of {@link ForwardingInstance}. */
export interface ForwardingInstanceOptions {
  settings: ForwardingSettings;
  /** A new random id at each start of the process. */
  runId: string;
  store: ObjectStore;
  codec: ForwardCodec;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  random?: Random;
}

/**
 * Length of the key that authenticates connections between instances, in bytes: the same as the
 * digest computed from it.
 */
const linkKeyBytes = 32;
/**
 * Distinguishes connections between forwarding instances from those between the product's other
 * routers.
 */
const linkEnvironment = 'forwarding';
/**
 * Ping interval, inactivity timeout and connect timeout of connections between instances, in
 * milliseconds. A dead connection delays the tokens of a client account until another one is open;
 * peers are a few milliseconds away.
 */
const linkTimings = { pingMs: 500, silenceMs: 1_500, connectMs: 1_000 };

/**
 * For how much of the time within which a change must take effect further changes are collected before
 * they are read. Each instance makes one call to the store for each read, so changes in quick succession
 * would otherwise cost as many calls as there are changes times instances.
 */
const batchShare = { configuration: 0.2, upstreams: 0.15 } as const;

/**
 * Time reserved for closing connections and servers at the end of a graceful shutdown, in
 * milliseconds.
 */
const cleanupMarginMs = 300;
/** Time reserved for the exit of the process itself, in milliseconds. */
const exitMarginMs = 150;

/** How long requests wait after a start for what other instances have registered, in milliseconds. */
const maxInformingMs = 500;

/** A component that runs until it is disposed of. */
type Runnable = (Disposable | AsyncDisposable) & { run(): Promise<void> };

/**
 * Interval at which a graceful shutdown checks whether all requests are complete, in milliseconds.
 */
const shutdownPollMs = 50;

/**
 * One instance that forwards requests. Creates and connects its components: configuration,
 * upstreams, tokens, registration and the server for callers.
 */
export class ForwardingInstance {
  readonly upstreams: UpstreamTable;
  readonly drains: DomainDrains;
  readonly tokens: PrepaidAccounts;
  readonly fleet: InstanceFleet;
  /** What clients may hold at each port. */
  readonly clientLimits: ClientLimitPlan;
  /** Connections of clients that were closed past a limit, at any port. */
  readonly closedClients: ClosedClients;
  readonly #options: Required<ForwardingInstanceOptions>;
  readonly #disposables = new DisposableStore();
  /** For what many instances watch alike. */
  readonly #relayedStore: RelayedObjectStore;
  readonly #configuration: ActiveConfiguration;
  readonly #configurationFollower: ObjectFollower;
  readonly #handler: ForwardHandler;
  readonly #server: Server;
  readonly #links: WsFleetLinks;
  readonly #limitGossip: UpstreamLimitGossip;
  /** Whether this instance reaches upstreams. */
  readonly reach: ReachMonitor;
  /** What is known of requests under which upstreams have ended. */
  readonly quarantine: RequestQuarantine;
  /** Which runs of upstreams began streams. */
  readonly affinity: StreamAffinity;
  readonly #directoryLog: DirectoryLog;
  readonly #linkKey = randomBytes(linkKeyBytes).toString('hex');
  #fleetPort: number | undefined;
  #phase: 'running' | 'leaving' | 'refusing' = 'running';
  /** Pending until what other instances have registered is known, or could not be read for a while. */
  #informing: Promise<void> | undefined;

  constructor(options: ForwardingInstanceOptions) {
    this.#options = { random: Math.random, ...options };
    const { clock, store, settings, codec, log, metrics, random } = this.#options;
    const processRun: ProcessRun = { instanceId: settings.instanceId, runId: options.runId };
    this.clientLimits = planClientLimits(settings.machine);
    this.closedClients = new ClosedClients({ clock, log, metrics });
    this.#directoryLog = new DirectoryLog(log, metrics);
    this.#configuration = this.#createConfiguration();
    this.#links = this.#createLinks();
    this.fleet = this.#createFleet(processRun);
    this.#relayedStore = new RelayedObjectStore({
      store,
      rpc: this.fleet.rpc,
      clock,
      metrics,
      instanceId: settings.instanceId,
      liveInDomain: () => this.fleet.liveInDomain,
      limitMsOf: (prefix) =>
        prefix === this.#configuration.prefix
          ? settings.configurationLimitMs
          : settings.drainLimitMs,
    });
    this.#configurationFollower = this.#configuration.createFollower(
      this.#relayedStore,
      batchShare.configuration * settings.configurationLimitMs,
    );
    const targets = () =>
      this.upstreams.all().map(({ address, activity: { sinceReceivedMs } }) => {
        return { address, sinceReceivedMs };
      });
    this.reach = this.#disposables.add(
      new ReachMonitor({
        clock,
        random,
        log,
        metrics,
        targets,
        onReturn: () => {
          this.upstreams.clearEjections();
        },
      }),
    );
    this.upstreams = this.#createUpstreamTable();
    this.reach.onLost(() => {
      this.upstreams.closeIdleConnections();
    });
    this.drains = this.#createDomainDrains();
    this.#limitGossip = new UpstreamLimitGossip({
      links: this.#links,
      clock,
      random,
      table: this.upstreams,
      peers: () => this.#livePeers,
    });
    this.quarantine = this.#disposables.add(this.#createQuarantine());
    this.affinity = this.#disposables.add(this.#createAffinity());
    const onEvent = (event: GrantEvent) => {
      metrics.count('grants', event.what);
      log.info(event, 'grant');
    };
    const isStoreUnavailable = () => this.#isStoreUnavailable;
    const peers = this.#createPrepaidPeers();
    const ledgerOptions = {
      processRun,
      store,
      clock,
      random,
      peers,
      onEvent,
      isStoreUnavailable,
      instanceCount: () => this.fleet.sharingInstanceCount,
      restores: {
        firstEpoch: () => this.fleet.restores.firstEpoch,
        isAccounted: (epoch: number) => this.fleet.restores.isAccounted(epoch),
      },
    };
    this.tokens = new PrepaidAccounts(ledgerOptions);
    const retries = new RetryShare({
      clock,
      retriesPerRequest: settings.repeats.perRequest,
      additionalRetries: settings.repeats.free,
      windowMs: settings.repeats.windowMs,
      instanceCount: () => this.fleet.sharingInstanceCount,
    });
    this.#handler = new ForwardHandler({
      clock,
      codec,
      routes: () => this.routes,
      upstreams: this.upstreams,
      tokens: this.tokens,
      retries,
      quarantine: this.quarantine,
      untilInformed: () => this.#informing,
      reach: this.reach,
      relayPeers: this.#createRelayPeers(),
      affinity: this.affinity,
      ownDomain: settings.failureDomain,
      isPeerKey: (peer, key) => this.#isPeerKey(peer, key),
      maxHeldBytes: this.clientLimits.callers.maxHeldBytes,
      maxBufferBytes: this.clientLimits.callers.maxBufferBytes,
      isAccepting: () => this.#phase !== 'refusing',
      isLeaving: () => this.#phase !== 'running',
      random,
      log,
      metrics,
    });
    const onBadRequest = () => {
      metrics.count('badRequests');
    };
    const onHandlerFailed = (thrown: unknown) => {
      metrics.count('failedHandlers', 'forward');
      log.error({ error: toRouterError(thrown).fullStack }, 'request handler failed');
    };
    this.#server = createForwardServer({
      handler: this.#handler,
      limits: this.clientLimits.callers,
      clock,
      random,
      onClosed: (reason) => {
        this.closedClients.record('callers', reason);
      },
      onRefused: () => {
        metrics.count('requests', 'overloaded');
      },
      onBadRequest,
      onHandlerFailed,
    });
  }

  /**
   * Whether callers should be sent here: a configuration is known and no shutdown was requested.
   */
  get isReady(): boolean {
    return this.#phase === 'running' && this.routes !== undefined;
  }

  /** The configuration in force; undefined until the first one is known. */
  get routes(): RouteTable | undefined {
    return this.#configuration.routes.value;
  }

  /** The port on which callers connect; undefined before {@link start}. */
  get callersPort(): number | undefined {
    const address = this.#server.address();
    return typeof address === 'object' && address !== null ? address.port : undefined;
  }

  /** The port for connections from other instances; undefined before {@link start}. */
  get fleetPort(): number | undefined {
    return this.#fleetPort;
  }

  /** Epoch of the store, as last reported by it; 0 if it reports none. */
  get storeEpoch(): number {
    return this.#options.store.epochs.value;
  }

  /** Number of requests whose response is not complete. */
  get underWay(): number {
    return this.#handler.underWay;
  }

  /** Returns the instances that callers should use; empty if they should ask another directory. */
  callerInstances(): readonly CallerInstance[] {
    const { instanceId, failureDomain, callers } = this.#options.settings;
    const self = { instanceId, failureDomain, url: `http://${callers.ip}:${callers.port}` };
    const instances = chooseDirectoryInstances<CallerInstance>({
      self,
      isReady: this.isReady,
      isShortOfTokens: this.#handler.isShortOfTokens,
      isReachingUpstreams: this.reach.reach.state !== 'unreached',
      isStoreUnavailable: this.#isStoreUnavailable,
      usablePeers: this.fleet.usablePeers,
      peerCount: this.fleet.peerCount,
    });
    this.#directoryLog.record(instances.map((one) => one.instanceId));
    return instances;
  }

  /** Starts listening and following the store. */
  async start(): Promise<void> {
    const { callers, fleet } = this.#options.settings;
    const { ip, port } = callers;
    this.#fleetPort = await this.#links.listen(fleet);
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host: ip, port, backlog: listenBacklog }, resolve);
    });
    this.#disposables.add(this.#links);
    this.#disposables.add(this.#relayedStore);
    this.#disposables.add(this.drains);
    this.#disposables.add(this.#followRestores());
    const upstreams = this.#followUpstreams();
    this.#startTask('configuration', this.#configurationFollower);
    this.#startTask('upstreams', upstreams);
    this.#startTask('drains', this.#followDrains());
    this.#startTask('fleet', this.fleet);
    this.#informing = this.#waitForFirstList();
    this.#startTask('upstreams of peers', this.#createPeerUpstreamSync(upstreams));
    this.#startTask('upstream limits', this.#limitGossip);
    this.#startTask('tokens', this.tokens);
  }

  /**
   * Shuts down in phases: leaves the directory, then refuses new requests, then ends.
   *
   * Callers cache the directory response for a while, so their requests are served until no cached
   * response lists this instance; later ones are refused with the statement that they were not run.
   */
  async stop(): Promise<void> {
    const { clock, log, settings } = this.#options;
    const startedMs = clock.monotonicMs();
    const plan = planShutdown(settings.stopLimitMs, settings.directoryTtlMs);
    const endMs = startedMs + plan.endMs;
    const acceptUntilMs = startedMs + plan.acceptMs;
    this.#phase = 'leaving';
    log.info({ underWay: this.underWay, stopLimitMs: settings.stopLimitMs }, 'stopping');
    this.fleet.leave();
    while (clock.monotonicMs() < endMs) {
      const nowMs = clock.monotonicMs();
      if (nowMs >= acceptUntilMs) this.#phase = 'refusing';
      if (nowMs >= acceptUntilMs && this.underWay === 0) break;
      await clock.sleep(shutdownPollMs);
    }
    const shutdownDeadlineMs = startedMs + settings.stopLimitMs;
    const releaseTokensAndRegistration = () =>
      Promise.allSettled([this.tokens.close(), this.fleet.end()]);
    await this.#runShutdownStep(
      shutdownDeadlineMs - cleanupMarginMs,
      'returning tokens',
      releaseTokensAndRegistration,
    );
    this.#server.close();
    this.#server.closeIdleConnections();
    await this.#runShutdownStep(shutdownDeadlineMs - exitMarginMs, 'closing connections', () =>
      this.#disposables.dispose(),
    );
    log.info({ underWay: this.underWay }, 'stopped');
  }

  /**
   * Runs one of the last steps of a graceful shutdown, with a deadline.
   *
   * Guards against a store that does not respond to the last writes, and against a peer whose
   * connection hangs while it is closed: waiting for either would last until the process is killed
   * at an arbitrary point, so that it is still running after its shutdown time. Tokens that are not
   * returned count as spent.
   */
  async #runShutdownStep(endMs: number, what: string, work: () => Promise<unknown>): Promise<void> {
    const { clock, log } = this.#options;
    const remainingMs = Math.max(0, endMs - clock.monotonicMs());
    try {
      const options = { kind: 'deadlineExceeded', what, countsPauses: true } as const;
      await withTimeout(clock, remainingMs, work, options);
    } catch (thrown) {
      log.warn({ error: toRouterError(thrown).message }, 'a planned stop was cut short');
    }
  }

  #createConfiguration(): ActiveConfiguration {
    const { clock, codec, log, metrics, random } = this.#options;
    const onApplied = (table: RouteTable) => {
      this.fleet.declareLive();
      this.tokens.setLimits(table.prepaidLimits(), table.configuration.version);
      applyCallerLimits(this.#server, table.configuration.limits);
    };
    return new ActiveConfiguration({ clock, codec, onApplied, log, metrics, random });
  }

  #createFleet({ instanceId, runId }: ProcessRun): InstanceFleet {
    const { store, clock, random, settings, log, metrics } = this.#options;
    const { callers, fleet, failureDomain } = settings;
    const self = {
      instanceId,
      runId,
      callerAddress: `${callers.ip}:${callers.port}`,
      failureDomain,
      fleetUrl: `ws://${fleet.ip}:${fleet.port}`,
      linkKey: this.#linkKey,
    };
    const configuration = {
      version: () => this.#configuration.version,
      manifest: () => this.#configuration.stored,
      offer: (stored: unknown) => this.#configuration.applyFromPeer(stored),
    };
    const isStoreUnavailable = () => this.#isStoreUnavailable;
    const links = this.#links;
    const shared = { store, links, clock, random, log, metrics };
    const onPeerLive = (peer: InstanceId) => {
      this.#limitGossip.sendAllTo(peer);
      this.quarantine.sendAllTo(peer);
    };
    return new InstanceFleet({
      ...shared,
      self,
      configuration,
      isStoreUnavailable,
      isFirstStart: settings.isFirstStart,
      accountedEpoch: () => this.tokens.accountedEpoch,
      quarantine: {
        quarantine: () => this.quarantine.registered,
        onQuarantine: (run, registered) => {
          this.quarantine.addRegistered(run, registered);
        },
      },
      onPeerLive,
    });
  }

  /** Guards against a request that ends upstreams at an instance that has just started, while the others know of it. */
  async #waitForFirstList(): Promise<void> {
    const { clock } = this.#options;
    await Promise.race([this.fleet.firstList, clock.sleep(maxInformingMs)]);
    this.#informing = undefined;
  }

  /** Tells the holders of state that the store returned from an older copy. */
  #followRestores(): Disposable {
    const { store, log, metrics } = this.#options;
    return store.epochs.followRestores((epoch, previousEpoch) => {
      this.upstreams.markStoreRestored();
      this.drains.markStoreRestored();
      metrics.count('storeRestores');
      log.warn({ previousEpoch, epoch }, 'store came back from an older copy');
    });
  }

  /** Whether calls of this instance to the store fail; not shown by a watch through a peer. */
  get #isStoreUnavailable(): boolean {
    const { isLost } = this.#configurationFollower;
    const isRelayed = this.#relayedStore.isRelayed(this.#configuration.prefix);
    return isLost || (isRelayed && this.fleet.isListFailing);
  }

  #createUpstreamTable(): UpstreamTable {
    const { clock, log, metrics, settings } = this.#options;
    const { instanceId } = settings;
    return new UpstreamTable({
      clock,
      reach: this.reach.reach,
      limitSharing: { instanceId, sharers: () => this.fleet.rateSharingInstances },
      instanceCount: () => this.fleet.sharingInstanceCount,
      maxConnections: (service) => this.routes?.service(service)?.maxConnections ?? Infinity,
      warmUp: (service) => this.#warmUpOf(service),
      onChange: (change) => {
        metrics.count('upstreamChanges', change.what);
        log.info(change, 'upstream');
        if (change.what === 'startedAgain') this.#handler.forgetCachedParts(change.upstreamId);
        if (isLimitChange(change) && change.toldBy === undefined) this.#announceLimit(change);
      },
    });
  }

  #createRelayPeers(): RelayPeers {
    const { clock, random, settings } = this.#options;
    const { instanceId } = settings;
    const peers = () => this.fleet.usablePeers;
    // A peer that is known by its link only, not yet by its registration, knows the key of this instance.
    const keyOf = (peer: InstanceId) => this.fleet.linkKeyOf(peer) ?? this.#linkKey;
    return this.#disposables.add(new RelayPeers({ clock, random, instanceId, peers, keyOf }));
  }

  /** Whether a key is the link key of this instance, or the one that a peer has registered. */
  #isPeerKey(peer: InstanceId, key: string): boolean {
    const registered = this.fleet.linkKeyOf(peer);
    if (registered !== undefined && isSameSecret(key, registered)) return true;
    return isSameSecret(key, this.#linkKey);
  }

  #createAffinity(): StreamAffinity {
    const { clock, metrics, settings } = this.#options;
    return new StreamAffinity({
      rpc: this.fleet.rpc,
      links: this.#links,
      clock,
      metrics,
      instanceId: settings.instanceId,
      live: () => this.fleet.liveInstances,
    });
  }

  #createQuarantine(): RequestQuarantine {
    const { clock, log, metrics, settings } = this.#options;
    const { instanceId } = settings;
    const live = () => this.fleet.liveInstances;
    return new RequestQuarantine({
      rpc: this.fleet.rpc,
      links: this.#links,
      clock,
      instanceId,
      live,
      peers: () => this.fleet.otherInstances,
      onBlame: () => {
        this.fleet.registerNow();
      },
      exchange: () => this.fleet.exchangeNow(),
      log,
      metrics,
    });
  }

  #warmUpOf(service: ServiceName): WarmUpPolicy | undefined {
    const { overage, slack } = this.#options.settings.warmUp;
    const traits = this.routes?.service(service)?.warmUp;
    if (traits === undefined) return undefined;
    return { ...traits, maxPerSecond: traits.requestsPerSecond * overage + slack };
  }

  #createDomainDrains(): DomainDrains {
    const { clock, log, metrics } = this.#options;
    const services = () => this.routes?.configuration.services.map(({ name }) => name) ?? [];
    return new DomainDrains({ clock, table: this.upstreams, services, log, metrics });
  }

  #followDrains(): ObjectFollower {
    const { clock, codec, random } = this.#options;
    const prefix = codec.domainDrainPrefix;
    return createDrainFollower({
      store: this.#relayedStore,
      clock,
      prefix,
      drains: this.drains,
      random,
    });
  }

  #announceLimit({ upstreamId }: UpstreamChange): void {
    const upstream = this.upstreams.get(upstreamId);
    if (upstream !== undefined) this.#limitGossip.announce(upstream);
  }

  get #livePeers(): readonly InstanceId[] {
    return this.fleet.liveInstances.filter((id) => id !== this.#options.settings.instanceId);
  }

  #createLinks(): WsFleetLinks {
    const { settings, clock, random, metrics, log } = this.#options;
    const identity = {
      instanceId: settings.instanceId,
      environment: linkEnvironment,
      keys: [this.#linkKey],
      keyOf: (peer: InstanceId) => this.fleet.linkKeyOf(peer),
    };
    const onClosed = (reason: ClientCloseReason) => {
      this.closedClients.record('fleet', reason);
    };
    const limits = this.clientLimits.fleet;
    const shared = { clock, random, metrics, log };
    return new WsFleetLinks({ ...identity, ...linkTimings, ...shared, limits, onClosed });
  }

  #createPrepaidPeers(): FleetPrepaidPeers {
    const { settings, clock, log, metrics } = this.#options;
    return new FleetPrepaidPeers({
      rpc: this.fleet.rpc,
      clock,
      instanceId: settings.instanceId,
      live: () => this.fleet.liveInstances,
      onReachabilityChange: (peer, isReached) => {
        metrics.count('peerReach', isReached ? 'regained' : 'lost');
        log.info({ peer, isReached }, isReached ? 'peer answers again' : 'peer does not answer');
      },
    });
  }

  #followUpstreams(): ObjectFollower {
    const { clock, codec, log, metrics, random, settings } = this.#options;
    return createUpstreamFollower({
      store: this.#relayedStore,
      table: this.upstreams,
      batchDelayMs: batchShare.upstreams * settings.drainLimitMs,
      clock,
      codec,
      log,
      metrics,
      random,
    });
  }

  #createPeerUpstreamSync(follower: ObjectFollower): PeerUpstreamSync {
    const { clock, random } = this.#options;
    return new PeerUpstreamSync({
      rpc: this.fleet.rpc,
      clock,
      random,
      table: this.upstreams,
      drains: this.drains,
      isStoreUnavailable: () => follower.isLost,
      peers: () => this.#livePeers,
    });
  }

  /**
   * Runs a background task. A task that fails is a defect: it is logged and the process keeps
   * running.
   */
  #startTask(task: string, runnable: Runnable): void {
    this.#disposables.add(runnable);
    runnable.run().catch((thrown: unknown) => {
      const { metrics, log } = this.#options;
      metrics.count('failedTasks', task);
      log.error({ task, error: toRouterError(thrown).fullStack }, 'task failed');
    });
  }
}

function isLimitChange({ what }: UpstreamChange): boolean {
  return what === 'limitNamed' || what === 'limitChanged' || what === 'limitWithdrawn';
}
