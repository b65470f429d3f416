import {
  createRandom,
  digestText,
  DisposableStore,
  hashText,
  Metrics,
  millisecondsInSecond,
  type Clock,
  type FailureDomainId,
  type InstanceId,
  type Log,
  type Random,
  type RequestId,
} from '@acaciacrank/base';
import {
  ChatHandler,
  EngineDispatch,
  ServiceDispatch,
  ServiceHandler,
  type DirectoryResponse,
  RequestQuarantine,
} from '@acaciacrank/callers';
import {
  BudgetLedger,
  DemandGrantPolicy,
  RequestRecords,
  type GrantPolicy,
} from '@acaciacrank/ledger';
import {
  ConfigurationGossip,
  FleetRpc,
  Membership,
  NoFleetLinks,
  type FleetLinks,
  type InstanceAddresses,
} from '@acaciacrank/fleet';
import { ConfigurationWatcher } from '@acaciacrank/operators';
import type { InstanceList, ObjectStore } from '@acaciacrank/store';
import {
  AdmissionQueue,
  PrefixAffinity,
  RetryBudget,
  UpstreamRegistry,
  type UpstreamSelector,
  type UpstreamClients,
} from '@acaciacrank/routing';
import { Directory } from '../Directory/index.js';
import { EngineOrders } from '../EngineOrders/index.js';
import { FleetGrantPeers } from '../FleetGrantPeers/index.js';
import { PeerConfigurationObjects } from '../PeerConfigurationObjects/index.js';
import { PlannedStop, type StopResult } from '../PlannedStop/index.js';

/** Dependencies of an instance; each has a production and an in-process implementation. */
export interface InstanceOptions {
  instanceId: InstanceId;
  environment: string;
  clock: Clock;
  random: Random;
  store: ObjectStore;
  list: InstanceList;
  clients: UpstreamClients;
  /** Links to other instances; without them the instance runs standalone. */
  links?: FleetLinks;
  log: Log;
  metrics?: Metrics;
  failureDomain?: FailureDomainId;
  grantPolicy?: GrantPolicy;
  /** Selects the upstream for each request; prefix affinity by default. */
  selector?: UpstreamSelector;
  /** How long a started answer continues after its caller has disconnected, in milliseconds. */
  lingerMs?: number;
}

/**
 * Interval between reads of the platform's instance list, in milliseconds. Membership detects most
 * changes earlier.
 */
const listReadIntervalMs = 5 * millisecondsInSecond;

/** Connects all components of one instance, without opening any ports. */
export class Instance implements AsyncDisposable {
  readonly metrics: Metrics;
  readonly configuration: ConfigurationWatcher;
  readonly links: FleetLinks;
  readonly rpc: FleetRpc;
  readonly membership: Membership;
  readonly configurationGossip: ConfigurationGossip;
  readonly directory: Directory;
  readonly plannedStop: PlannedStop;
  readonly registry: UpstreamRegistry;
  readonly ledger: BudgetLedger;
  readonly chat: ChatHandler;
  readonly services: ServiceHandler;
  /** What is known of requests under which upstreams have ended. */
  readonly quarantine: RequestQuarantine;
  readonly orders: EngineOrders;
  readonly #options: InstanceOptions;
  readonly #owned = new DisposableStore();
  readonly #stop = new AbortController();
  #requestCount = 0;
  #openRequests = 0;

  constructor(options: InstanceOptions) {
    this.#options = options;
    this.metrics = options.metrics ?? new Metrics();
    const { clock, random, store, list, clients, environment, instanceId } = options;
    // Differs after each restart. Member records call it `life`; their `incarnation` is a counter.
    const runId = Math.floor(random() * 2 ** 48).toString(36);
    const selector = options.selector ?? new PrefixAffinity();
    this.links = options.links ?? new NoFleetLinks();
    this.rpc = this.#owned.add(new FleetRpc({ links: this.links, clock }));
    this.configuration = this.#owned.add(
      new ConfigurationWatcher({
        store,
        clock,
        random,
        environment,
        instanceId,
        peers: new PeerConfigurationObjects(() => this.configurationGossip),
      }),
    );
    this.registry = this.#owned.add(
      new UpstreamRegistry({
        list,
        clients,
        clock,
        instanceId,
        instanceCount: () => this.directory.usableInstanceCount,
        outliers: { random },
        onCacheEvent: (upstream, event) => {
          selector.handleCacheEvent(upstream, event);
        },
      }),
    );
    this.membership = this.#owned.add(
      new Membership({
        clock,
        // Has its own random source, so that the number of heartbeats does not affect the values that
        // requests draw.
        random: createRandom(hashText(`membership\n${instanceId}\n${runId}`)),
        links: this.links,
        rpc: this.rpc,
        metrics: this.metrics,
        log: options.log,
        self: {
          id: instanceId,
          life: runId,
          failureDomain: options.failureDomain ?? ('' as FailureDomainId),
        },
        configurationVersion: () => this.configuration.inForce.value?.version ?? 0,
      }),
    );
    this.configurationGossip = this.#owned.add(
      new ConfigurationGossip({
        clock,
        links: this.links,
        rpc: this.rpc,
        membership: this.membership,
        metrics: this.metrics,
        configuration: {
          version: () => this.configuration.inForce.value?.version ?? 0,
          manifest: () => this.configuration.inForce.value?.manifest,
          offer: (manifest) => this.configuration.offer(manifest),
          objectText: (digest) => this.configuration.objectText(digest),
        },
      }),
    );
    this.directory = new Directory({ clock, membership: this.membership });
    this.plannedStop = new PlannedStop({
      clock,
      log: options.log,
      metrics: this.metrics,
      membership: this.membership,
      openRequests: () => this.#openRequests,
      openWork: () => this.openWork,
      closeGrants: () => this.ledger.closeAll(),
    });
    const grantPeers = new FleetGrantPeers({
      rpc: this.rpc,
      instanceId,
      life: runId,
      live: () => this.#reachablePeers(),
    });
    this.ledger = this.#owned.add(
      new BudgetLedger({
        store,
        clock,
        random,
        instanceId,
        incarnation: runId,
        policy: options.grantPolicy ?? new DemandGrantPolicy(),
        peers: grantPeers,
      }),
    );
    const sharedOptions = {
      clock,
      random,
      selector,
      metrics: this.metrics,
      ledger: this.ledger,
      registry: this.registry,
      configuration: () => this.configuration.current(),
      nextRequestId: () => this.#nextRequestId(runId),
    };
    const queue = new AdmissionQueue({
      clock,
      random,
      limit: (service) => (service === undefined ? 0 : this.registry.slots(service)),
      expectedFirstTokenMs: ({ service, priority }) =>
        service === undefined ? 0 : this.registry.averageFirstTokenMs(service, priority),
    });
    const retries = new RetryBudget({ clock, instanceCount: () => 1 + this.#peerCount });
    this.quarantine = this.#owned.add(
      new RequestQuarantine({
        rpc: this.rpc,
        links: this.links,
        clock,
        instanceId,
        live: () => [instanceId, ...this.#reachablePeers()],
        peers: () => this.#otherInstances,
        log: options.log,
        metrics: this.metrics,
      }),
    );
    const { quarantine } = this;
    const engines = new EngineDispatch({ ...sharedOptions, retries, quarantine });
    const services = new ServiceDispatch({ ...sharedOptions, retries, quarantine });
    this.chat = new ChatHandler({ ...sharedOptions, queue, engines, lingerMs: options.lingerMs });
    const records = this.#owned.add(new RequestRecords({ store, clock, instanceId }));
    this.services = new ServiceHandler({ ...sharedOptions, records, services });
    this.orders = this.#owned.add(
      new EngineOrders({
        instanceId,
        incarnation: runId,
        clock,
        metrics: this.metrics,
        store,
        registry: this.registry,
        environment,
        services: () => this.configuration.inForce.value?.index.settings.services ?? [],
        entryInstances: () => this.directory.usableInstances,
      }),
    );
  }

  /** The other instances that have not left, whether or not they can be reached. */
  get #otherInstances(): readonly InstanceId[] {
    return this.membership.members.value
      .filter(({ state }) => state !== 'left')
      .map(({ id }) => id);
  }

  /** Number of other instances that have not left, whether or not they can be reached. */
  get #peerCount(): number {
    return this.#otherInstances.length;
  }

  /** Whether new requests are accepted. */
  get isAccepting(): boolean {
    return this.plannedStop.isAccepting && this.configuration.inForce.value !== undefined;
  }

  /** Number of requests in progress. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /**
   * Number of requests in progress, plus the answers and billing operations that continue after their
   * caller has disconnected.
   */
  get openWork(): number {
    return this.#openRequests + this.chat.openAnswers + this.services.openCalls;
  }

  /**
   * Reads the configuration and the instance lists, then follows their changes.
   *
   * @param addresses - the addresses at which callers and peers reach this instance
   */
  async start(addresses: InstanceAddresses = { url: '', fleetUrl: '' }): Promise<void> {
    const { log, instanceId } = this.#options;
    const subscription = this.configuration.inForce.follow(
      (inForce) => {
        if (inForce === undefined) return;
        log.info({ version: inForce.version }, 'configuration in force');
        this.membership.declareLive();
        this.configurationGossip.announce(inForce.version);
      },
      (error) => {
        log.error({ err: error }, 'configuration stream failed');
      },
    );
    this.#owned.add(subscription);
    await this.configuration.start();
    await this.registry.start();
    this.membership.start(addresses);
    // A failure is ignored, as it is for the registry: the list is read again at the next interval.
    await this.#readList().catch(() => undefined);
    const listPolling = this.#pollList();
    this.#owned.add({ [Symbol.asyncDispose]: () => listPolling });
    this.orders.start();
    log.info({ instanceId }, 'instance ready');
  }

  /**
   * Counts a request as in progress until the result is disposed of.
   *
   * @param accountKey - API key of the caller, to count open requests per client account
   */
  beginRequest(accountKey?: string): Disposable {
    this.#openRequests += 1;
    const accountRequest = this.#beginAccountRequest(accountKey);
    return {
      [Symbol.dispose]: () => {
        this.#openRequests -= 1;
        accountRequest?.[Symbol.dispose]();
      },
    };
  }

  /**
   * Returns the instances that a caller should use.
   *
   * @param accountKey - API key of the caller
   * @param nearFailureDomain - failure domain of the caller, if it states one
   * @throws RouterError `unauthenticated`, or `storeUnavailable` before a configuration was read
   */
  findInstances(
    accountKey: string | undefined,
    nearFailureDomain: string | undefined,
  ): DirectoryResponse {
    return this.directory.answer(
      this.configuration.current().index.accountOfKey(accountKey),
      nearFailureDomain,
    );
  }

  /** Shuts down gracefully; see {@link PlannedStop}. */
  drain(limitMs: number): Promise<StopResult> {
    return this.plannedStop.run(limitMs);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    await this.#owned.dispose();
  }

  #beginAccountRequest(accountKey: string | undefined): Disposable | undefined {
    try {
      return this.directory.beginRequest(
        this.configuration.current().index.accountOfKey(accountKey),
      );
    } catch {
      // An invalid key is refused when the request is handled; here the request counts for no account.
      return undefined;
    }
  }

  /** The instances that respond. The ledger treats a suspected instance as unreachable. */
  #reachablePeers(): InstanceId[] {
    const reachableStates = ['listed', 'live', 'leaving'];
    return this.membership.members.value
      .filter((member) => reachableStates.includes(member.state))
      .map((member) => member.id);
  }

  #nextRequestId(runId: string): RequestId {
    this.#requestCount += 1;
    return `${this.#options.instanceId}.${runId}.${this.#requestCount}` as RequestId;
  }

  async #readList(): Promise<void> {
    const listed = await this.#options.list.read();
    this.membership.applyInstanceList(listed.filter((entry) => entry.role === 'entry'));
  }

  async #pollList(): Promise<void> {
    const { clock } = this.#options;
    // The instance id determines the interval, so that instances started together do not all read at
    // the same time.
    const intervalMs = listReadIntervalMs * (0.75 + hashText(this.#options.instanceId) / 2 ** 33);
    while (!this.#stop.signal.aborted) {
      await clock.sleep(intervalMs, this.#stop.signal);
      await this.#readList().catch(() => undefined);
      this.directory.forgetIdle();
    }
  }
}

/** Derives the seed of an instance's random source, so that no two instances draw the same values. */
export function instanceSeed(instanceId: InstanceId, startMs: number): number {
  return hashText(digestText(`${instanceId}\n${startMs}`));
}
