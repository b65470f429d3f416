import type { AccountId, Clock, InstanceId, Random } from '@acaciacrank/base';
import {
  PrepaidPeers,
  type LoanResponse,
  type LoanHandler,
  type LoanRequest,
} from '@acaciacrank/ledger';
import { rankByKey } from '@acaciacrank/routing';

/** Options of {@link LocalLoanNetwork}. */
export interface LocalLoanNetworkOptions {
  clock: Clock;
  random: Random;
  /** Ratio of requests, and of responses, that are lost. */
  lossRatio?: number;
  /** One-way delay of a message, in milliseconds. */
  delayMs?: number;
  /** Whether an instance is connected to the network; by default all are. */
  isConnected?: (instanceId: InstanceId) => boolean;
}

/** In-memory network between instances that lend each other prepaid tokens. */
export class LocalLoanNetwork {
  readonly #options: Required<LocalLoanNetworkOptions>;
  readonly #handlers = new Map<InstanceId, LoanHandler>();
  /** Number of requests sent, for measurements. */
  sentRequests = 0;

  constructor(options: LocalLoanNetworkOptions) {
    this.#options = { lossRatio: 0, delayMs: 1, isConnected: () => true, ...options };
  }

  /** Creates the peer client of one instance. */
  peersOf(instanceId: InstanceId): PrepaidPeers {
    return new LocalPrepaidPeers(this, instanceId);
  }

  /** Registers the handler of an instance; disposing of the result unregisters it. */
  serve(instanceId: InstanceId, handler: LoanHandler): Disposable {
    this.#handlers.set(instanceId, handler);
    return {
      [Symbol.dispose]: () => {
        if (this.#handlers.get(instanceId) === handler) this.#handlers.delete(instanceId);
      },
    };
  }

  /**
   * The home of an account, at which its stock of prepaid tokens is concentrated, as one instance sees
   * it; the instance itself if it is cut off.
   */
  homeOf(accountId: AccountId, fromInstanceId: InstanceId): InstanceId {
    return this.rankInstances(accountId, fromInstanceId)[0] ?? fromInstanceId;
  }

  /** The instances that one instance can reach, including itself, in the account's rank order. */
  rankInstances(accountId: AccountId, fromInstanceId: InstanceId): readonly InstanceId[] {
    const ids = [...this.#handlers.keys()].filter((id) => this.#isReached(fromInstanceId, id));
    const rankedInstances = rankByKey(
      accountId,
      ids.map((id) => ({ id })),
    );
    return rankedInstances.map(({ id }) => id);
  }

  /** Delivers a request and its response; undefined if either is lost. */
  async exchange(
    from: InstanceId,
    to: InstanceId,
    request: LoanRequest,
  ): Promise<LoanResponse | undefined> {
    const { clock, delayMs } = this.#options;
    this.sentRequests += 1;
    await clock.sleep(delayMs);
    const handler = this.#handlers.get(to);
    if (handler === undefined || !this.#isReached(from, to) || this.#isLost()) return undefined;
    const response = await handler(request);
    await clock.sleep(delayMs);
    return this.#isReached(from, to) && !this.#isLost() ? response : undefined;
  }

  #isReached(from: InstanceId, to: InstanceId): boolean {
    const { isConnected } = this.#options;
    return from === to || (isConnected(from) && isConnected(to));
  }

  #isLost(): boolean {
    return this.#options.random() < this.#options.lossRatio;
  }
}

class LocalPrepaidPeers extends PrepaidPeers {
  readonly #network: LocalLoanNetwork;
  readonly #instanceId: InstanceId;

  constructor(network: LocalLoanNetwork, instanceId: InstanceId) {
    super();
    this.#network = network;
    this.#instanceId = instanceId;
  }

  override homeOf(accountId: AccountId): InstanceId | undefined {
    const home = this.#network.homeOf(accountId, this.#instanceId);
    return home === this.#instanceId ? undefined : home;
  }

  override backupOf(accountId: AccountId): InstanceId | undefined {
    const [, ...rest] = this.#network.rankInstances(accountId, this.#instanceId);
    return rest.find((id) => id !== this.#instanceId);
  }

  override ask(peer: InstanceId, request: LoanRequest): Promise<LoanResponse | undefined> {
    return this.#network.exchange(this.#instanceId, peer, request);
  }

  override serve(handler: LoanHandler): Disposable {
    return this.#network.serve(this.#instanceId, handler);
  }
}
