/**
 * The tokens reserved for one request.
 */
import type { Bill, SettleRequest } from '@acaciacrank/ledger';

/**
 * Tokens that a request may use; disposing releases them unless they were settled or transferred.
 */
export abstract class TokenReservation implements Disposable {
  /** Whether the request may still be dispatched against these tokens. */
  abstract isSpendable(): boolean;

  /** Transfers ownership to a new object, which must settle or release; this one no longer does. */
  abstract transfer(): TokenReservation;

  /**
   * Returns the tokens to the budget; does nothing if they were settled, released or transferred.
   */
  abstract release(): void;

  /** Writes the bill durably. */
  abstract settle(request: SettleRequest): Promise<Bill>;

  [Symbol.dispose](): void {
    this.release();
  }
}
