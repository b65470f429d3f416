import type { Clock, InstanceId } from '@acaciacrank/base';
import {
  GrantPeers,
  type BudgetRef,
  type GrantPeerHandler,
  type TransferredTokens,
} from '@acaciacrank/ledger';

/** What can be wrong between instances that exchange grants. */
export interface LocalGrantNetworkOptions {
  clock: Clock;
  /** How long a message takes, in milliseconds. */
  delayMs?: number;
  /** Whether a message gets through; every one by default. */
  isConnected?: (from: InstanceId, to: InstanceId) => boolean;
}

/** How long a peer waits for answers, in milliseconds. */
const answerLimitMs = 200;

/** Instances that exchange grants in one process. */
export class LocalGrantNetwork {
  readonly #options: LocalGrantNetworkOptions;
  readonly #handlers = new Map<InstanceId, GrantPeerHandler>();
  /** Messages sent, for measurements. */
  messages = 0;

  constructor(options: LocalGrantNetworkOptions) {
    this.#options = options;
  }

  /** One instance's view of the others. */
  peersOf(instanceId: InstanceId): GrantPeers {
    return new LocalGrantPeers(this, instanceId);
  }

  /** Lets an instance answer; dispose of the result when it is gone. */
  serve(instanceId: InstanceId, handler: GrantPeerHandler): Disposable {
    this.#handlers.set(instanceId, handler);
    return {
      [Symbol.dispose]: () => {
        this.#handlers.delete(instanceId);
      },
    };
  }

  /** Who can be reached from an instance, itself too. */
  reachableFrom(instanceId: InstanceId): ReadonlySet<InstanceId> {
    const all = [...this.#handlers.keys()];
    return new Set(all.filter((other) => this.#isConnected(instanceId, other)));
  }

  /** All instances that answer, but for one. */
  others(instanceId: InstanceId): InstanceId[] {
    return [...this.#handlers.keys()].filter((other) => other !== instanceId);
  }

  /** Asks one peer; undefined when either message is lost or no answer comes in time. */
  async ask<Answer>(
    from: InstanceId,
    to: InstanceId,
    work: (handler: GrantPeerHandler) => Answer | Promise<Answer>,
  ): Promise<Answer | undefined> {
    const { clock, delayMs = 1 } = this.#options;
    const limit = clock.sleep(answerLimitMs).then(() => undefined);
    const answer = async () => {
      this.messages += 1;
      await clock.sleep(delayMs);
      const handler = this.#handlers.get(to);
      if (handler === undefined || !this.#isConnected(from, to)) return limit;
      const done = await work(handler);
      this.messages += 1;
      await clock.sleep(delayMs);
      return this.#isConnected(to, from) ? done : limit;
    };
    return Promise.race([answer(), limit]);
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
    const askOne = (peer: InstanceId) =>
      this.#network.ask(this.#instanceId, peer, (handler) => handler.handOver(budget, tokens));
    const peers = this.#network.others(this.#instanceId);
    const answers = await Promise.all(peers.map(askOne));
    return answers.flatMap((answer) => answer ?? []);
  }
}
