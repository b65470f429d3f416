import type { GrantId, InstanceId } from '@acaciacrank/base';
import type { BudgetRef } from '../types.js';

/**
 * Tokens of a grant that its holder transferred to a peer. They remain part of that grant in the page,
 * so the page stays consistent without a write: the receiver bills against the same grant id.
 */
export interface TransferredTokens {
  readonly grantId: GrantId;
  readonly tokens: number;
  /** How long they may be spent, in milliseconds from the time of the request for them. */
  readonly remainingMs: number;
}

/** Handles requests of peers. */
export interface GrantPeerHandler {
  /** Returns the idle tokens of a budget to its page; resolves when this is durable. */
  giveBack(budget: BudgetRef): Promise<void>;
  /** Transfers up to `tokens` idle tokens, which this instance must no longer spend. */
  handOver(budget: BudgetRef, tokens: number): readonly TransferredTokens[];
}

/**
 * Communication with the other instances about grants. Messages may be lost: tokens in a lost response
 * stay unavailable until their grant expires. A response must never be processed twice.
 */
export abstract class GrantPeers {
  /**
   * Registers the handler for requests of peers.
   *
   * @returns a disposable that unregisters the handler
   */
  abstract serve(handler: GrantPeerHandler): Disposable;

  /** Instances that can be reached now, including this one; undefined if unknown. */
  abstract reachable(): ReadonlySet<InstanceId> | undefined;

  /**
   * Asks holders to return their idle tokens to the page.
   *
   * @param budget - the budget of the tokens
   * @param holders - instances that hold grants of the budget
   * @returns resolves when all holders have responded, or after a timeout
   */
  abstract recall(budget: BudgetRef, holders: readonly InstanceId[]): Promise<void>;

  /**
   * Asks all reachable peers for tokens; used while the store is unavailable.
   *
   * @param budget - the budget of the tokens
   * @param tokens - how many are missing; the peers may send more or fewer
   * @returns the tokens received before a timeout
   */
  abstract requestTokens(budget: BudgetRef, tokens: number): Promise<readonly TransferredTokens[]>;
}
