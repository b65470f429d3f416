import { withTimeout, type AccountId, type Clock, type InstanceId } from '@acaciacrank/base';
import type { FleetRpc } from '@acaciacrank/fleet';
import {
  PrepaidPeers,
  type LoanResponse,
  type LoanHandler,
  type LoanRequest,
} from '@acaciacrank/ledger';
import { rankByKey } from '@acaciacrank/routing';

/** Options of {@link FleetPrepaidPeers}. */
export interface FleetPrepaidPeersOptions {
  rpc: FleetRpc;
  clock: Clock;
  instanceId: InstanceId;
  /**
   * The instances that currently share the accounts, including this one; the same array until they
   * change.
   */
  live: () => readonly InstanceId[];
  /** Called when a peer stops responding, and when it responds again. */
  onReachabilityChange: (peer: InstanceId, isReached: boolean) => void;
}

/**
 * Timeout for a peer's reply, in milliseconds. A request waits for the reply; network latency is 1
 * to 3 ms.
 */
const replyTimeoutMs = 200;
/**
 * How long a peer's loan request may wait here for the store, in milliseconds. Well below {@link
 * replyTimeoutMs}, so that a slow store does not make this instance look unreachable.
 */
const storeTimeoutMs = 100;
/**
 * How long a peer that did not reply is not queried again, in milliseconds: somewhat longer than it
 * takes to detect a dead connection.
 */
const unreachableMs = 2_000;

/**
 * Requests tokens for prepaid accounts from other instances, over the connections between
 * instances.
 */
export class FleetPrepaidPeers extends PrepaidPeers {
  readonly #options: FleetPrepaidPeersOptions;
  /** The live instances by account, ranked while the list of them is {@link #rankedLive}. */
  readonly #ranks = new Map<AccountId, readonly InstanceId[]>();
  #rankedLive: readonly InstanceId[] | undefined;
  /** For each peer that did not reply, the time until which it is skipped. */
  readonly #unreachableUntilMs = new Map<InstanceId, number>();

  constructor(options: FleetPrepaidPeersOptions) {
    super();
    this.#options = options;
  }

  override homeOf(accountId: AccountId): InstanceId | undefined {
    const [first] = this.#rankInstances(accountId);
    return first === this.#options.instanceId ? undefined : first;
  }

  override backupOf(accountId: AccountId): InstanceId | undefined {
    const [, ...rest] = this.#rankInstances(accountId);
    return rest.find((id) => id !== this.#options.instanceId);
  }

  override async ask(peer: InstanceId, request: LoanRequest): Promise<LoanResponse | undefined> {
    const { rpc } = this.#options;
    try {
      const message = { kind: 'prepaidTokens', loan: request } as const;
      const { lender, lentTokens, outcome } = await rpc.ask(peer, message, {
        timeoutMs: replyTimeoutMs,
      });
      if (this.#unreachableUntilMs.delete(peer)) this.#options.onReachabilityChange(peer, true);
      return { lender, lentTokens, outcome };
    } catch {
      this.#markUnreachable(peer);
      return undefined;
    }
  }

  override serve(handler: LoanHandler): Disposable {
    return this.#options.rpc.answer('prepaidTokens', async ({ loan }) => ({
      kind: 'prepaidTokens',
      ...(await this.#handleLoanRequest(loan, handler)),
    }));
  }

  /**
   * Ranks the instances that can be reached by the rendezvous hash of an account, so that
   * instances with the same view of the fleet determine the same home without communication.
   */
  #rankInstances(accountId: AccountId): readonly InstanceId[] {
    const ranked = this.#rankLive(accountId);
    if (this.#unreachableUntilMs.size === 0) return ranked;
    return ranked.filter((id) => !this.#isUnreachable(id));
  }

  /** Ranks all live instances, once for each account until they change. */
  #rankLive(accountId: AccountId): readonly InstanceId[] {
    const live = this.#options.live();
    if (live !== this.#rankedLive) {
      this.#rankedLive = live;
      this.#ranks.clear();
    }
    const known = this.#ranks.get(accountId);
    if (known !== undefined) return known;
    const ranked = rankByKey(
      accountId,
      live.map((id) => ({ id })),
    ).map(({ id }) => id);
    this.#ranks.set(accountId, ranked);
    return ranked;
  }

  /**
   * Tokens lent after the timeout are reported by the next reply, since replies contain running
   * totals.
   */
  async #handleLoanRequest(loan: LoanRequest, handler: LoanHandler): Promise<LoanResponse> {
    const timeoutOptions = { kind: 'storeUnavailable', what: 'tokens for a peer' } as const;
    const pendingResponse = handler(loan);
    try {
      return await withTimeout(
        this.#options.clock,
        storeTimeoutMs,
        () => pendingResponse,
        timeoutOptions,
      );
    } catch {
      const totals = await handler({ ...loan, neededTokens: 0, wantedTokens: 0 });
      return { ...totals, outcome: 'storeAway' };
    }
  }

  #markUnreachable(peer: InstanceId): void {
    const { clock, onReachabilityChange } = this.#options;
    if (!this.#unreachableUntilMs.has(peer)) onReachabilityChange(peer, false);
    this.#unreachableUntilMs.set(peer, clock.monotonicMs() + unreachableMs);
  }

  #isUnreachable(peer: InstanceId): boolean {
    const untilMs = this.#unreachableUntilMs.get(peer);
    return untilMs !== undefined && this.#options.clock.monotonicMs() < untilMs;
  }
}
