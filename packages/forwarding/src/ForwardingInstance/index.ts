import {
  describeError,
  DisposableStore,
  StateStream,
  withTimeout,
  type Clock,
  type FailureDomainId,
  type InstanceId,
  type Log,
  type Metrics,
  type Random,
  type UpstreamId,
} from '@acaciacrank/base';
import { WsFleetLinks } from '@acaciacrank/fleet';
import { PrepaidAccounts, type GrantEvent, type Lifetime } from '@acaciacrank/ledger';
import { RetryShare } from '@acaciacrank/routing';
import { ObjectFollower, type ObjectStore, type StoredObject } from '@acaciacrank/store';
import { randomBytes } from 'node:crypto';
import type { Server } from 'node:http';
import { z } from 'zod';
import {
  applyCallerLimits,
  createForwardServer,
  listenBacklog,
} from '../createForwardServer/index.js';
import { FleetPrepaidPeers } from '../FleetPrepaidPeers/index.js';
import type { ForwardCodec } from '../ForwardCodec/index.js';
import { ForwardHandler } from '../ForwardHandler/index.js';
import { InstanceFleet, type CallerInstance } from '../InstanceFleet/index.js';
import { chooseNamed } from '../_lib/chooseNamed/index.js';
import { NamedInstances } from '../_lib/NamedInstances/index.js';
import { planStop } from '../_lib/planStop/index.js';
import { RouteTable } from '../RouteTable/index.js';
import { UpstreamLimitSpread } from '../UpstreamLimitSpread/index.js';
import { UpstreamSpread } from '../UpstreamSpread/index.js';
import { UpstreamTable, type UpstreamChange } from '../UpstreamTable/index.js';

/** Where a forwarding instance listens and what it may use. */
export interface ForwardingSettings {
  readonly instanceId: InstanceId;
  readonly failureDomain: FailureDomainId;
  readonly callers: { readonly ip: string; readonly port: number };
  /** Where the links of the other instances arrive. */
  readonly fleet: { readonly ip: string; readonly port: number };
  /** Repeats that a service may receive from all instances together. */
  readonly repeats: {
    readonly perRequest: number;
    readonly free: number;
    readonly windowMs: number;
  };
  /** How long a planned stop may take, in milliseconds. */
  readonly stopLimitMs: number;
  /** How long callers keep the directory's answer at most, in milliseconds. */
  readonly directoryKeepMs: number;
}

/** Options of {@link ForwardingInstance}. */
export interface ForwardingInstanceOptions {
  settings: ForwardingSettings;
  /** Drawn anew at each start of the process. */
  runId: string;
  store: ObjectStore;
  codec: ForwardCodec;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  random?: Random;
}

/** Length of the key by which peers prove themselves, in bytes: that of the digest it goes into. */
const linkKeyBytes = 32;
/** Names the links of this path towards the product's other ones. */
const linkEnvironment = 'forwarding';
/**
 * Pings, silence and opening of links, in milliseconds. A link that went silent for good holds up the
 * tokens of a client account until another is opened; peers are a few milliseconds away.
 */
const linkTimes = { pingMs: 500, silenceMs: 1_500, connectMs: 1_000 };

/**
 * How long changes of upstreams are gathered, in milliseconds: a small part of the two seconds in
 * which an upstream that leaves must get nothing more.
 */
const gatherUpstreamsMs = 300;

/** Time kept for closing what is open at the end of a planned stop, in milliseconds. */
const lastStepsMs = 300;
/** Time kept for the end of the process itself, in milliseconds. */
const exitMs = 150;

const storedObjectSchema = z.object({ key: z.string(), version: z.number(), value: z.unknown() });

/** A part of an instance that works until it is disposed of. */
type Runnable = (Disposable | AsyncDisposable) & { run(): Promise<void> };

/** How often a planned stop looks whether it is done, in milliseconds. */
const stopPollMs = 50;

/**
 * One instance that forwards requests: its configuration, upstreams, tokens, registration and
 * callers' port, wired together.
 */
export class ForwardingInstance {
  readonly upstreams: UpstreamTable;
  readonly tokens: PrepaidAccounts;
  readonly fleet: InstanceFleet;
  /** The configuration in force; undefined while none is known. */
  readonly routes = new StateStream<RouteTable | undefined>(undefined);
  readonly #options: Required<ForwardingInstanceOptions>;
  readonly #cleanUp = new DisposableStore();
  readonly #configurationFollower: ObjectFollower;
  readonly #handler: ForwardHandler;
  readonly #server: Server;
  readonly #links: WsFleetLinks;
  readonly #limitSpread: UpstreamLimitSpread;
  readonly #named: NamedInstances;
  readonly #linkKey = randomBytes(linkKeyBytes).toString('hex');
  /** The object of the configuration in force, for peers that the store turns away. */
  #storedConfiguration: StoredObject | undefined;
  #fleetPort: number | undefined;
  #phase: 'running' | 'leaving' | 'refusing' = 'running';

  constructor(options: ForwardingInstanceOptions) {
    this.#options = { random: Math.random, ...options };
    const { clock, store, settings, codec, log, metrics, random } = this.#options;
    const lifetime: Lifetime = { instanceId: settings.instanceId, runId: options.runId };
    this.#named = new NamedInstances(log, metrics);
    this.#links = this.#createLinks();
    this.fleet = this.#createFleet(lifetime);
    this.#configurationFollower = this.#followConfiguration();
    this.upstreams = this.#createUpstreamTable();
    this.#limitSpread = new UpstreamLimitSpread({
      links: this.#links,
      clock,
      random,
      table: this.upstreams,
      peers: () => this.#answeringPeers,
    });
    const onEvent = (event: GrantEvent) => {
      metrics.count('grants', event.what);
      log.info(event, 'grant');
    };
    const isStoreAway = () => this.#configurationFollower.isLost;
    const peers = this.#createPrepaidPeers();
    const ledger = { lifetime, store, clock, random, peers, onEvent, isStoreAway };
    this.tokens = new PrepaidAccounts(ledger);
    const retries = new RetryShare({
      clock,
      repeatsPerRequest: settings.repeats.perRequest,
      freeRepeats: settings.repeats.free,
      windowMs: settings.repeats.windowMs,
      instanceCount: () => this.fleet.sharers,
    });
    this.#handler = new ForwardHandler({
      clock,
      codec,
      routes: () => this.routes.value,
      upstreams: this.upstreams,
      tokens: this.tokens,
      retries,
      ownDomain: settings.failureDomain,
      isAccepting: () => this.#phase !== 'refusing',
      isLeaving: () => this.#phase !== 'running',
      random,
      log,
      metrics,
    });
    const onBadRequest = () => {
      metrics.count('badRequests');
    };
    this.#server = createForwardServer({ handler: this.#handler, onBadRequest });
  }

  /** Whether callers should come: a configuration is known and no stop was asked for. */
  get isReady(): boolean {
    return this.#phase === 'running' && this.routes.value !== undefined;
  }

  /** The port on which callers connect; undefined before {@link start}. */
  get callersPort(): number | undefined {
    const address = this.#server.address();
    return typeof address === 'object' && address !== null ? address.port : undefined;
  }

  /** The port on which links of other instances arrive; undefined before {@link start}. */
  get fleetPort(): number | undefined {
    return this.#fleetPort;
  }

  /** Requests that have no final answer yet. */
  get underWay(): number {
    return this.#handler.underWay;
  }

  /** The instances that callers should use; none where they should ask another directory. */
  callerInstances(): readonly CallerInstance[] {
    const { instanceId, failureDomain, callers } = this.#options.settings;
    const self = { instanceId, failureDomain, url: `http://${callers.ip}:${callers.port}` };
    const named = chooseNamed<CallerInstance>({
      self,
      isReady: this.isReady,
      isShortOfTokens: this.#handler.isShortOfTokens,
      isStoreAway: this.#configurationFollower.isLost,
      usable: this.fleet.usable,
      peerCount: this.fleet.peerCount,
    });
    this.#named.note(named.map((one) => one.instanceId));
    return named;
  }

  /** Begins to listen and to follow the store. */
  async start(): Promise<void> {
    const { callers, fleet } = this.#options.settings;
    const { ip, port } = callers;
    this.#fleetPort = await this.#links.listen(fleet);
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host: ip, port, backlog: listenBacklog }, resolve);
    });
    this.#cleanUp.add(this.#links);
    const upstreams = this.#followUpstreams();
    this.#runUntilStop('configuration', this.#configurationFollower);
    this.#runUntilStop('upstreams', upstreams);
    this.#runUntilStop('fleet', this.fleet);
    this.#runUntilStop('upstreams of peers', this.#createUpstreamSpread(upstreams));
    this.#runUntilStop('upstream limits', this.#limitSpread);
    this.#runUntilStop('tokens', this.tokens);
  }

  /**
   * Leaves in steps: out of the directory first, then no new requests, then none at all.
   *
   * Callers keep the directory's old answer for a while, so their requests are served until none can
   * come by it; what comes later is refused as not run.
   */
  async stop(): Promise<void> {
    const { clock, log, settings } = this.#options;
    const startedMs = clock.monotonicMs();
    const plan = planStop(settings.stopLimitMs, settings.directoryKeepMs);
    const endMs = startedMs + plan.endMs;
    const acceptUntilMs = startedMs + plan.acceptMs;
    this.#phase = 'leaving';
    log.info({ underWay: this.underWay, stopLimitMs: settings.stopLimitMs }, 'stopping');
    this.fleet.leave();
    while (clock.monotonicMs() < endMs) {
      const nowMs = clock.monotonicMs();
      if (nowMs >= acceptUntilMs) this.#phase = 'refusing';
      if (nowMs >= acceptUntilMs && this.underWay === 0) break;
      await clock.sleep(stopPollMs);
    }
    const limitMs = startedMs + settings.stopLimitMs;
    const giveUp = () => Promise.allSettled([this.tokens.close(), this.fleet.end()]);
    await this.#within(limitMs - lastStepsMs, 'giving stock back', giveUp);
    this.#server.close();
    this.#server.closeIdleConnections();
    await this.#within(limitMs - exitMs, 'closing', () => this.#cleanUp.dispose());
    log.info({ underWay: this.underWay }, 'stopped');
  }

  /**
   * Does a last step of a planned stop, for as long as there is time.
   *
   * Guards against a store that does not answer the last writes, and against a peer whose connection
   * hangs halfway: waited for, either would last until the process is killed, in the middle of
   * whatever it does. It shows as a process that is still there when its time is over. Stock that is
   * not given back counts as spent.
   */
  async #within(endMs: number, what: string, work: () => Promise<unknown>): Promise<void> {
    const { clock, log } = this.#options;
    const leftMs = Math.max(0, endMs - clock.monotonicMs());
    try {
      await withTimeout(clock, leftMs, work, { kind: 'deadlineExceeded', what });
    } catch (thrown) {
      log.warn({ error: describeError(thrown).message }, 'a planned stop was cut short');
    }
  }

  #createFleet({ instanceId, runId }: Lifetime): InstanceFleet {
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
      version: () => this.routes.value?.configuration.version ?? 0,
      manifest: () => this.#storedConfiguration,
      offer: (stored: unknown) => this.#applyPeerConfiguration(stored),
    };
    const isStoreAway = () => this.#configurationFollower.isLost;
    const links = this.#links;
    const shared = { store, links, clock, random, log, metrics };
    const onPeerLive = (peer: InstanceId) => {
      this.#limitSpread.sendAllTo(peer);
    };
    return new InstanceFleet({ ...shared, self, configuration, isStoreAway, onPeerLive });
  }

  #createUpstreamTable(): UpstreamTable {
    const { clock, log, metrics, settings } = this.#options;
    const { instanceId } = settings;
    return new UpstreamTable({
      clock,
      limitSharing: { instanceId, sharers: () => this.fleet.rateSharers },
      instanceCount: () => this.fleet.sharers,
      maxConnections: (service) => this.routes.value?.service(service)?.maxConnections ?? Infinity,
      onChange: (change) => {
        metrics.count('upstreamChanges', change.what);
        log.info(change, 'upstream');
        if (change.what === 'startedAgain') this.#handler.forgetHeld(change.upstreamId);
        if (isLimitChange(change) && change.toldBy === undefined) this.#announceLimit(change);
      },
    });
  }

  #announceLimit({ upstreamId }: UpstreamChange): void {
    const upstream = this.upstreams.get(upstreamId);
    if (upstream !== undefined) this.#limitSpread.announce(upstream);
  }

  get #answeringPeers(): readonly InstanceId[] {
    return this.fleet.answering.filter((id) => id !== this.#options.settings.instanceId);
  }

  #createLinks(): WsFleetLinks {
    const { settings, clock, random, metrics, log } = this.#options;
    const identity = {
      instanceId: settings.instanceId,
      environment: linkEnvironment,
      keys: [this.#linkKey],
      keyOf: (peer: InstanceId) => this.fleet.keyOf(peer),
    };
    return new WsFleetLinks({ ...identity, ...linkTimes, clock, random, metrics, log });
  }

  #createPrepaidPeers(): FleetPrepaidPeers {
    const { settings, clock, log, metrics } = this.#options;
    return new FleetPrepaidPeers({
      questions: this.fleet.questions,
      clock,
      instanceId: settings.instanceId,
      live: () => this.fleet.answering,
      onReach: (peer, isReached) => {
        metrics.count('peerReach', isReached ? 'regained' : 'lost');
        log.info({ peer, isReached }, isReached ? 'peer answers again' : 'peer does not answer');
      },
    });
  }

  #followConfiguration(): ObjectFollower {
    const { store, clock, codec, log, random } = this.#options;
    const take = (stored: StoredObject | undefined) => {
      if (stored?.key === codec.configurationKey) this.#applyConfiguration(stored);
    };
    return new ObjectFollower({
      store,
      clock,
      random,
      prefix: codec.configurationKey.slice(0, codec.configurationKey.indexOf('/') + 1),
      // Several large versions in one answer would delay the one that counts over a narrow link.
      isNewestEnough: true,
      onSnapshot: ({ objects }) => {
        objects.forEach(take);
      },
      onChange: ({ object }) => {
        take(object);
      },
      onLost: (error) => {
        log.warn({ error: error.message }, 'store lost for the configuration');
      },
      onRegained: (awayMs) => {
        log.info({ awayMs: Math.round(awayMs) }, 'store regained for the configuration');
      },
    });
  }

  /** Takes the object of a newer configuration that a peer has in force. */
  #applyPeerConfiguration(offered: unknown): boolean {
    const parsed = storedObjectSchema.safeParse(offered);
    if (!parsed.success || parsed.data.key !== this.#options.codec.configurationKey) return false;
    return this.#applyConfiguration(parsed.data);
  }

  /**
   * Puts a configuration in force; never an older one than was in force in this life.
   *
   * @returns whether it came into force
   */
  #applyConfiguration(stored: StoredObject): boolean {
    const { codec, log, metrics } = this.#options;
    try {
      const configuration = codec.readConfiguration(stored);
      const inForce = this.routes.value?.configuration.version;
      if (inForce !== undefined && configuration.version <= inForce) return false;
      const table = new RouteTable(configuration);
      this.#storedConfiguration = stored;
      this.routes.set(table);
      this.fleet.serve();
      this.tokens.setLimits(table.prepaidLimits(), configuration.version);
      applyCallerLimits(this.#server, configuration.limits);
      metrics.count('configurations', 'applied');
      log.info({ version: configuration.version, was: inForce }, 'configuration in force');
      return true;
    } catch (thrown) {
      metrics.count('configurations', 'refused');
      log.error({ error: describeError(thrown).message }, 'configuration refused');
      return false;
    }
  }

  #followUpstreams(): ObjectFollower {
    const { store, clock, codec, log, metrics, random } = this.#options;
    const read = (stored: StoredObject) => {
      const record = codec.readUpstream(stored);
      if (record === undefined) {
        metrics.count('unreadableUpstreams');
        log.warn({ key: stored.key, version: stored.version }, 'upstream record left out');
      }
      return record;
    };
    const idOf = (key: string) => key.slice(codec.upstreamPrefix.length) as UpstreamId;
    return new ObjectFollower({
      store,
      clock,
      random,
      prefix: codec.upstreamPrefix,
      gatherMs: gatherUpstreamsMs,
      onSnapshot: ({ objects }) => {
        this.upstreams.replaceAll(objects.map(read).filter((record) => record !== undefined));
      },
      onChange: ({ key, object }) => {
        const record = object === undefined ? undefined : read(object);
        if (record === undefined) this.upstreams.remove(idOf(key));
        else this.upstreams.put(record);
      },
      onLost: (error) => {
        this.upstreams.loseStore();
        log.warn({ error: error.message }, 'store lost for upstreams');
      },
      onRegained: (awayMs) => {
        this.upstreams.regainStore();
        log.info({ awayMs: Math.round(awayMs) }, 'store regained for upstreams');
      },
    });
  }

  #createUpstreamSpread(follower: ObjectFollower): UpstreamSpread {
    const { clock, random } = this.#options;
    return new UpstreamSpread({
      questions: this.fleet.questions,
      clock,
      random,
      table: this.upstreams,
      isStoreAway: () => follower.isLost,
      peers: () => this.#answeringPeers,
    });
  }

  /** A task that ends by an error is a defect; the process goes on and says so. */
  #runUntilStop(task: string, part: Runnable): void {
    this.#cleanUp.add(part);
    part.run().catch((thrown: unknown) => {
      const { metrics, log } = this.#options;
      metrics.count('failedTasks', task);
      log.error({ task, error: describeError(thrown).fullStack }, 'task failed');
    });
  }
}

function isLimitChange({ what }: UpstreamChange): boolean {
  return what === 'limitNamed' || what === 'limitChanged' || what === 'limitWithdrawn';
}
