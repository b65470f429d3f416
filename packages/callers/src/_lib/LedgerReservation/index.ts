/**
 * A ledger reservation that is released or billed exactly once, whatever path a request takes.
 */
import type { Bill, BudgetLedger, Reservation, SettleRequest } from '@acaciacrank/ledger';
import { TokenReservation } from '../TokenReservation/index.js';

/**
 * Guards against a code path that never ends the reservation (its tokens stay held until the grant
 * expires, so other requests are refused wrongly) and one that ends it twice (tokens are returned
 * that do not exist, an overspend). Only the first of `settle` and `release` takes effect;
 * disposing releases a reservation that was not ended.
 */
export class LedgerReservation extends TokenReservation {
  readonly reservation: Reservation;
  readonly #ledger: BudgetLedger;
  #isEnded = false;

  constructor(ledger: BudgetLedger, reservation: Reservation) {
    super();
    this.#ledger = ledger;
    this.reservation = reservation;
  }

  /** Whether the tokens may still be spent; see {@link BudgetLedger.isSpendable}. */
  override isSpendable(): boolean {
    return !this.#isEnded && this.#ledger.isSpendable(this.reservation);
  }

  override transfer(): LedgerReservation {
    if (this.#isEnded)
      throw new Error('the reservation was already settled, released or transferred');
    this.#isEnded = true;
    return new LedgerReservation(this.#ledger, this.reservation);
  }

  override release(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#ledger.release(this.reservation);
  }

  /**
   * Writes the bill durably; the reservation counts as ended as soon as this is called.
   *
   * @throws any error of the ledger, after releasing the tokens
   */
  override async settle(request: SettleRequest): Promise<Bill> {
    if (this.#isEnded)
      throw new Error('the reservation was already settled, released or transferred');
    this.#isEnded = true;
    try {
      return await this.#ledger.settle(this.reservation, request);
    } catch (error) {
      this.#ledger.release(this.reservation);
      throw error;
    }
  }
}
