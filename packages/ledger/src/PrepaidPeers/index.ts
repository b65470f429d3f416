import type { AccountId, InstanceId } from '@acaciacrank/base';

/** What an instance asks a peer for, and what it gave that peer so far. */
export interface LoanQuestion {
  readonly accountId: AccountId;
  /** The lifetime that asks, as `lifetimeKey` names it. */
  readonly borrower: string;
  /** The version of the configuration whose limits the borrower goes by. */
  readonly limitVersion: number;
  /** The lifetime of the peer that {@link givenTokens} is for; empty where none is known. */
  readonly givenTo: string;
  /** All tokens that the borrower ever passed on to that lifetime. */
  readonly givenTokens: number;
  /** What a waiting request needs, in tokens; 0 where none waits. */
  readonly neededTokens: number;
  /** What would also be welcome as stock, in tokens. */
  readonly wantedTokens: number;
}

/** What came of a question for tokens. */
export type LoanOutcome = 'lent' | 'exhausted' | 'heldElsewhere' | 'storeAway' | 'behind';

/** A peer's answer. */
export interface LoanAnswer {
  /** The lifetime that lends. */
  readonly lender: string;
  /** All tokens that it ever passed on to the borrower's lifetime. */
  readonly lentTokens: number;
  readonly outcome: LoanOutcome;
}

/** Answers a peer's question. */
export type LoanHandler = (question: LoanQuestion) => Promise<LoanAnswer>;

/**
 * The other instances, as holders of prepaid tokens.
 *
 * Questions and answers may be lost or come late. Both carry running totals, so that the next one
 * makes good what a lost one should have told, and none counts twice.
 */
export abstract class PrepaidPeers {
  /**
   * Where the stock of an account is gathered.
   *
   * @param accountId - whose stock
   * @returns the peer; undefined where it is this instance
   */
  abstract homeOf(accountId: AccountId): InstanceId | undefined;

  /**
   * The peer to ask when neither the home nor the store can help.
   *
   * @param accountId - whose tokens
   * @returns the first peer after the home; undefined where there is none
   */
  abstract backupOf(accountId: AccountId): InstanceId | undefined;

  /**
   * Asks a peer for tokens, or tells it of tokens that it was given.
   *
   * @param peer - whom to ask
   * @param question - what for
   * @returns the answer; undefined where none came in time
   */
  abstract ask(peer: InstanceId, question: LoanQuestion): Promise<LoanAnswer | undefined>;

  /**
   * Answers what peers ask.
   *
   * @param handler - must not throw
   * @returns dispose of it to answer no more
   */
  abstract serve(handler: LoanHandler): Disposable;
}
