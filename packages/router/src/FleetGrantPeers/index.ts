import type { InstanceId } from '@acaciacrank/base';
import type { FleetRpc } from '@acaciacrank/fleet';
import {
  GrantPeers,
  type BudgetRef,
  type GrantPeerHandler,
  type TransferredTokens,
} from '@acaciacrank/ledger';

/** Options of {@link FleetGrantPeers}. */
export interface FleetGrantPeersOptions {
  rpc: FleetRpc;
  instanceId: InstanceId;
  /** Identifies this process run: a response to an earlier run of the instance is ignored. */
  life: string;
  /** The other instances that can currently be reached. */
  live: () => readonly InstanceId[];
}

/** Timeout for responses of peers, in milliseconds. Short, since a request waits for them. */
const answerTimeoutMs = 250;

/** Exchanges grants with other instances over the links between them. */
export class FleetGrantPeers extends GrantPeers {
  readonly #options: FleetGrantPeersOptions;

  constructor(options: FleetGrantPeersOptions) {
    super();
    this.#options = options;
  }

  override serve(handler: GrantPeerHandler): Disposable {
    const { rpc } = this.#options;
    const giveBackHandler = rpc.answer('giveBack', async ({ budget }) => {
      await handler.giveBack(budget);
      return { kind: 'giveBack' };
    });
    const handOverHandler = rpc.answer('handOver', ({ life, budget, tokens }) => ({
      kind: 'handOver',
      life,
      transfers: [...handler.handOver(budget, tokens)],
    }));
    return {
      [Symbol.dispose]: () => {
        giveBackHandler[Symbol.dispose]();
        handOverHandler[Symbol.dispose]();
      },
    };
  }

  override reachable(): ReadonlySet<InstanceId> {
    return new Set([this.#options.instanceId, ...this.#options.live()]);
  }

  override async recall(budget: BudgetRef, holders: readonly InstanceId[]): Promise<void> {
    const live = this.reachable();
    const reachableHolders = holders.filter((holder) => live.has(holder));
    const ask = (holder: InstanceId) =>
      this.#options.rpc
        .ask(holder, { kind: 'giveBack', budget }, { timeoutMs: answerTimeoutMs })
        .catch(() => undefined);
    await Promise.all(reachableHolders.map(ask));
  }

  override async requestTokens(
    budget: BudgetRef,
    tokens: number,
  ): Promise<readonly TransferredTokens[]> {
    const { live, instanceId } = this.#options;
    const others = live().filter((peer) => peer !== instanceId);
    const answers = await Promise.all(others.map((peer) => this.#askPeer(peer, budget, tokens)));
    return answers.flat();
  }

  /**
   * Asks one peer for tokens. Ignores a response to an earlier process run of this instance, since the
   * lifetime of its tokens would be counted from the wrong moment. Such a response carries the `life`
   * of the earlier run; its tokens remain unused until their grant expires.
   */
  async #askPeer(
    peer: InstanceId,
    budget: BudgetRef,
    tokens: number,
  ): Promise<readonly TransferredTokens[]> {
    const { rpc, life } = this.#options;
    const request = { kind: 'handOver', life, budget, tokens } as const;
    const reply = await rpc
      .ask(peer, request, { timeoutMs: answerTimeoutMs })
      .catch(() => undefined);
    return reply?.life === life ? reply.transfers : [];
  }
}
