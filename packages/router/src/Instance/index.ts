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
  type DirectoryAnswer,
} from '@acaciacrank/callers';
import {
  BudgetLedger,
  DemandGrantPolicy,
  RequestRecords,
  type GrantPolicy,
} from '@acaciacrank/ledger';
import {
  ConfigurationSpread,
  FleetQuestions,
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
  type UpstreamChoice,
  type UpstreamClients,
} from '@acaciacrank/routing';
import { Directory } from '../Directory/index.js';
import { EngineOrders } from '../EngineOrders/index.js';
import { FleetGrantPeers } from '../FleetGrantPeers/index.js';
import { PeerConfigurationObjects } from '../PeerConfigurationObjects/index.js';
import { PlannedStop, type StopResult } from '../PlannedStop/index.js';

/** What an instance is made of; each part has a real and an in-process form. */
export interface InstanceOptions {
  instanceId: InstanceId;
  environment: string;
  clock: Clock;
  random: Random;
  store: ObjectStore;
  list: InstanceList;
  clients: UpstreamClients;
  /** Links to other instances; an instance without them runs alone. */
  links?: FleetLinks;
  log: Log;
  metrics?: Metrics;
  failureDomain?: FailureDomainId;
  grantPolicy?: GrantPolicy;
  choice?: UpstreamChoice;
  /** How long a begun answer runs on after its caller has gone away, in milliseconds. */
  lingerMs?: number;
}

/** How often the platform's list is read, in milliseconds; membership knows sooner. */
const listEveryMs = 5 * millisecondsInSecond;

/** One instance: the decisions wired together, without its ports. */
export class Instance implements AsyncDisposable {
  readonly metrics: Metrics;
  readonly configuration: ConfigurationWatcher;
  readonly links: FleetLinks;
  readonly questions: FleetQuestions;
  readonly membership: Membership;
  readonly spread: ConfigurationSpread;
  readonly directory: Directory;
  readonly plannedStop: PlannedStop;
  readonly registry: UpstreamRegistry;
  readonly ledger: BudgetLedger;
  readonly chat: ChatHandler;
  readonly services: ServiceHandler;
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
    const incarnation = Math.floor(random() * 2 ** 48).toString(36);
    const choice = options.choice ?? new PrefixAffinity();
    this.links = options.links ?? new NoFleetLinks();
    this.questions = this.#owned.add(new FleetQuestions({ links: this.links, clock }));
    this.configuration = this.#owned.add(
      new ConfigurationWatcher({
        store,
        clock,
        random,
        environment,
        instanceId,
        peers: new PeerConfigurationObjects(() => this.spread),
      }),
    );
    this.registry = this.#owned.add(
      new UpstreamRegistry({
        list,
        clients,
        clock,
        instanceId,
        usableInstances: () => this.directory.usableInstances,
        outliers: { random },
        onCacheEvent: (upstream, event) => {
          choice.learnCacheEvent(upstream, event);
        },
      }),
    );
    this.membership = this.#owned.add(
      new Membership({
        clock,
        // A source of its own: how many heartbeats passed must not change what requests draw.
        random: createRandom(hashText(`membership\n${instanceId}\n${incarnation}`)),
        links: this.links,
        questions: this.questions,
        metrics: this.metrics,
        log: options.log,
        self: {
          id: instanceId,
          life: incarnation,
          failureDomain: options.failureDomain ?? ('' as FailureDomainId),
        },
        configurationVersion: () => this.configuration.inForce.value?.version ?? 0,
      }),
    );
    this.spread = this.#owned.add(
      new ConfigurationSpread({
        clock,
        links: this.links,
        questions: this.questions,
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
    const peers = new FleetGrantPeers({
      questions: this.questions,
      instanceId,
      life: incarnation,
      live: () => this.#reachablePeers(),
    });
    this.ledger = this.#owned.add(
      new BudgetLedger({
        store,
        clock,
        random,
        instanceId,
        incarnation,
        policy: options.grantPolicy ?? new DemandGrantPolicy(),
        peers,
      }),
    );
    const shared = {
      clock,
      random,
      choice,
      metrics: this.metrics,
      ledger: this.ledger,
      registry: this.registry,
      configuration: () => this.configuration.current(),
      nextRequestId: () => this.#nextRequestId(incarnation),
    };
    const queue = new AdmissionQueue({
      clock,
      random,
      limit: (service) => (service === undefined ? 0 : this.registry.places(service)),
      expectedServeMs: ({ service, priority }) =>
        service === undefined ? 0 : this.registry.usualFirstTokenMs(service, priority),
    });
    const retries = new RetryBudget({ clock, instanceCount: () => 1 + this.#peerCount });
    const engines = new EngineDispatch({ ...shared, retries });
    const services = new ServiceDispatch({ ...shared, retries });
    this.chat = new ChatHandler({ ...shared, queue, engines, lingerMs: options.lingerMs });
    const records = new RequestRecords({ store, clock, instanceId });
    this.services = new ServiceHandler({ ...shared, records, services });
    this.orders = this.#owned.add(
      new EngineOrders({
        instanceId,
        incarnation,
        clock,
        metrics: this.metrics,
        store,
        registry: this.registry,
        environment,
        services: () => this.configuration.inForce.value?.index.settings.services ?? [],
        entries: () => this.directory.usable,
      }),
    );
  }

  /** Number of other instances that have not left, whether or not they can be reached. */
  get #peerCount(): number {
    return this.membership.members.value.filter(({ state }) => state !== 'left').length;
  }

  /** Whether new work is taken. */
  get isAccepting(): boolean {
    return this.plannedStop.isAccepting && this.configuration.inForce.value !== undefined;
  }

  /** Requests under way. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /** Requests under way, and answers and bills that go on after their caller has gone. */
  get openWork(): number {
    return this.#openRequests + this.chat.openAnswers + this.services.openCalls;
  }

  /**
   * Reads the configuration and the lists, then follows them.
   *
   * @param addresses - where callers and peers reach this instance
   */
  async start(addresses: InstanceAddresses = { url: '', fleetUrl: '' }): Promise<void> {
    const { log, instanceId } = this.#options;
    const followed = this.configuration.inForce.follow(
      (inForce) => {
        if (inForce === undefined) return;
        log.info({ version: inForce.version }, 'configuration in force');
        this.membership.serve();
        this.spread.announce(inForce.version);
      },
      (error) => {
        log.error({ err: error }, 'configuration stream failed');
      },
    );
    this.#owned.add(followed);
    await this.configuration.start();
    await this.registry.start();
    this.membership.start(addresses);
    // As for the registry: who is listed is read again soon.
    await this.#readList().catch(() => undefined);
    const following = this.#followList();
    this.#owned.add({ [Symbol.asyncDispose]: () => following });
    this.orders.start();
    log.info({ instanceId }, 'instance ready');
  }

  /**
   * Marks a request as under way; dispose of the result when it has ended.
   *
   * @param accountKey - the caller's key, for telling busy accounts from others
   */
  beginRequest(accountKey?: string): Disposable {
    this.#openRequests += 1;
    const ofAccount = this.#beginOfAccount(accountKey);
    return {
      [Symbol.dispose]: () => {
        this.#openRequests -= 1;
        ofAccount?.[Symbol.dispose]();
      },
    };
  }

  /**
   * The directory's answer for a caller.
   *
   * @throws RouterError `unauthenticated`, or `storeUnavailable` before a configuration was read
   */
  findInstances(accountKey: string | undefined, near: string | undefined): DirectoryAnswer {
    return this.directory.answer(this.configuration.current().index.accountOfKey(accountKey), near);
  }

  /** Makes a planned stop; see {@link PlannedStop}. */
  drain(limitMs: number): Promise<StopResult> {
    return this.plannedStop.run(limitMs);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    await this.#owned.dispose();
  }

  #beginOfAccount(accountKey: string | undefined): Disposable | undefined {
    try {
      return this.directory.begin(this.configuration.current().index.accountOfKey(accountKey));
    } catch {
      // The request is refused where it is looked at; here it counts for no account.
      return undefined;
    }
  }

  /** Those who answer; one under suspicion is away for the ledger's purposes. */
  #reachablePeers(): InstanceId[] {
    const answering = ['listed', 'live', 'leaving'];
    return this.membership.members.value
      .filter((member) => answering.includes(member.state))
      .map((member) => member.id);
  }

  #nextRequestId(incarnation: string): RequestId {
    this.#requestCount += 1;
    return `${this.#options.instanceId}.${incarnation}.${this.#requestCount}` as RequestId;
  }

  async #readList(): Promise<void> {
    const listed = await this.#options.list.read();
    this.membership.list(listed.filter((entry) => entry.role === 'entry'));
  }

  async #followList(): Promise<void> {
    const { clock } = this.#options;
    // Spread by the instance's own name, so that a fleet started at once does not ask at once.
    const everyMs = listEveryMs * (0.75 + hashText(this.#options.instanceId) / 2 ** 33);
    while (!this.#stop.signal.aborted) {
      await clock.sleep(everyMs, this.#stop.signal);
      await this.#readList().catch(() => undefined);
      this.directory.forgetIdle();
    }
  }
}

/** Seeds an instance's random source so that two instances never draw alike. */
export function instanceSeed(instanceId: InstanceId, startMs: number): number {
  return hashText(digestText(`${instanceId}\n${startMs}`));
}
