/**
 * A request that was billed in an earlier attempt.
 */
import type { Bill, PageBill, SettleRequest } from '@acaciacrank/ledger';
import { TokenReservation } from '../TokenReservation/index.js';

/**
 * Represents a bill that is already written, so that a retry needs no tokens.
 *
 * Guards against a false refusal: if a first attempt used up the budget and its response was lost,
 * the retry, which is not billed, would be refused because no tokens are left to reserve.
 */
export class BilledReservation extends TokenReservation {
  readonly #bill: PageBill;

  constructor(bill: PageBill) {
    super();
    this.#bill = bill;
  }

  override isSpendable(): boolean {
    return true;
  }

  override transfer(): TokenReservation {
    return this;
  }

  override release(): void {
    // No tokens are reserved.
  }

  override settle(request: SettleRequest): Promise<Bill> {
    void request;
    const { tokens, bodyDigest } = this.#bill;
    return Promise.resolve({ tokens, unbillableTokens: 0, isRepeat: true, bodyDigest });
  }
}
