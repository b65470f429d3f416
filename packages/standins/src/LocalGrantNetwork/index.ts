import type { Clock, InstanceId } from '@acaciacrank/base';
import {
  GrantPeers,
  type BudgetRef,
  type GrantPeerHandler,
  type TransferredTokens,
} from '@acaciacrank/ledger';

/** Options of {@link LocalGrantNetwork}. */
export interface LocalGrantNetworkOptions {
  clock: Clock;
  /** One-way delay of a message, in milliseconds. */
  delayMs?: number;
  /** Whether messages from one instance reach another; by default all do. */
  isConnected?: (from: InstanceId, to: InstanceId) => boolean;
}

/** How long an instance waits for the response of a peer, in milliseconds. */
const responseTimeoutMs = 200;

/** In-memory network between instances that exchange grants. */
export class LocalGrantNetwork {
  readonly #options: LocalGrantNetworkOptions;
  readonly #handlers = new Map<InstanceId, GrantPeerHandler>();
  /** Messages sent, for measurements. */
  messages = 0;

  constructor(options: LocalGrantNetworkOptions) {
    this.#options = options;
  }

  /** Creates the peer client of one instance. */
  peersOf(instanceId: InstanceId): GrantPeers {
    return new LocalGrantPeers(this, instanceId);
  }

  /** Registers the handler of an instance; disposing of the result unregisters it. */
  serve(instanceId: InstanceId, handler: GrantPeerHandler): Disposable {
    this.#handlers.set(instanceId, handler);
    return {
      [Symbol.dispose]: () => {
        this.#handlers.delete(instanceId);
      },
    };
  }

  /** The instances that one instance can reach, including itself. */
  reachableFrom(instanceId: InstanceId): ReadonlySet<InstanceId> {
    const all = [...this.#handlers.keys()];
    return new Set(all.filter((other) => this.#isConnected(instanceId, other)));
  }

  /** All instances with a handler, except one. */
  otherInstances(instanceId: InstanceId): InstanceId[] {
    return [...this.#handlers.keys()].filter((other) => other !== instanceId);
  }

  /** Sends a request to one peer; undefined if the request or response is lost or the response arrives too late. */
  async ask<Result>(
    from: InstanceId,
    to: InstanceId,
    operation: (handler: GrantPeerHandler) => Result | Promise<Result>,
  ): Promise<Result | undefined> {
    const { clock, delayMs = 1 } = this.#options;
    const timeout = clock.sleep(responseTimeoutMs).then(() => undefined);
    const response = async () => {
      this.messages += 1;
      await clock.sleep(delayMs);
      const handler = this.#handlers.get(to);
      if (handler === undefined || !this.#isConnected(from, to)) return timeout;
      const result = await operation(handler);
      this.messages += 1;
      await clock.sleep(delayMs);
      return this.#isConnected(to, from) ? result : timeout;
    };
    return Promise.race([response(), timeout]);
  }

  #isConnected(from: InstanceId, to: InstanceId): boolean {
    return this.#options.isConnected?.(from, to) ?? true;
  }
}

class LocalGrantPeers extends GrantPeers {
  readonly #network: LocalGrantNetwork;
  readonly #instanceId: InstanceId;

  constructor(network: LocalGrantNetwork, instanceId: InstanceId) {
    super();
    this.#network = network;
    this.#instanceId = instanceId;
  }

  override serve(handler: GrantPeerHandler): Disposable {
    return this.#network.serve(this.#instanceId, handler);
  }

  override reachable(): ReadonlySet<InstanceId> {
    return this.#network.reachableFrom(this.#instanceId);
  }

  override async recall(budget: BudgetRef, holders: readonly InstanceId[]): Promise<void> {
    const giveBack = (holder: InstanceId) =>
      this.#network.ask(this.#instanceId, holder, (handler) =>
        handler.giveBack(budget).catch(() => undefined),
      );
    await Promise.all(holders.map(giveBack));
  }

  override async requestTokens(
    budget: BudgetRef,
    tokens: number,
  ): Promise<readonly TransferredTokens[]> {
    const requestFrom = (peer: InstanceId) =>
      this.#network.ask(this.#instanceId, peer, (handler) => handler.handOver(budget, tokens));
    const peers = this.#network.otherInstances(this.#instanceId);
    const responses = await Promise.all(peers.map(requestFrom));
    return responses.flatMap((response) => response ?? []);
  }
}
