import type { AccountId, InstanceId } from '@acaciacrank/base';

/** A request for tokens to a peer, with the total that was passed on to that peer so far. */
export interface LoanRequest {
  readonly accountId: AccountId;
  /** The key of the process run that asks. */
  readonly borrower: string;
  /** The version of the configuration whose limits the borrower applies. */
  readonly limitVersion: number;
  /** The key of the process run of the peer to which {@link givenTokens} refers; empty if unknown. */
  readonly givenTo: string;
  /** The running total of tokens that the borrower passed on to that process run. */
  readonly givenTokens: number;
  /** Tokens that a waiting request needs; 0 if none waits. */
  readonly neededTokens: number;
  /** Additional tokens requested as stock. */
  readonly wantedTokens: number;
}

/**
 * The outcome of a request for tokens: `behind` means that the peer has an older configuration; the other
 * reasons why nothing was lent are those of `ReserveOutcome`.
 */
export type LoanOutcome = 'lent' | 'exhausted' | 'heldElsewhere' | 'storeAway' | 'behind';

/** The response of a peer. */
export interface LoanResponse {
  /** The key of the process run that lends. */
  readonly lender: string;
  /** The running total of tokens that it passed on to the borrower's process run. */
  readonly lentTokens: number;
  readonly outcome: LoanOutcome;
}

/** Handles the request of a peer. */
export type LoanHandler = (request: LoanRequest) => Promise<LoanResponse>;

/**
 * Communication with the other instances about prepaid tokens.
 *
 * Requests and responses may be lost or delayed. Both contain running totals, so that the next message
 * makes up for a lost one and no tokens are counted twice.
 */
export abstract class PrepaidPeers {
  /**
   * The home of an account: the instance at which its stock is concentrated.
   *
   * @param accountId - the account
   * @returns the peer; undefined if it is this instance
   */
  abstract homeOf(accountId: AccountId): InstanceId | undefined;

  /**
   * The peer to ask when neither the home nor the store can provide tokens.
   *
   * @param accountId - the account
   * @returns the first peer after the home; undefined if there is none
   */
  abstract backupOf(accountId: AccountId): InstanceId | undefined;

  /**
   * Asks a peer for tokens, or informs it of tokens that were passed on to it.
   *
   * @param peer - the peer to ask
   * @param request - the tokens to lend, and those passed on to the peer so far
   * @returns the response; undefined if none arrived in time
   */
  abstract ask(peer: InstanceId, request: LoanRequest): Promise<LoanResponse | undefined>;

  /**
   * Registers the handler for requests of peers.
   *
   * @param handler - must not throw
   * @returns a disposable that unregisters the handler
   */
  abstract serve(handler: LoanHandler): Disposable;
}
