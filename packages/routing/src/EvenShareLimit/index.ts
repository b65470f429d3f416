import { ConcurrencyLimit, type ReceivedReport } from '../ConcurrencyLimit/index.js';

/**
 * Adds this instance's even share of the upstream's concurrency to the sum over upstreams, without
 * limiting any single upstream. Serves as a baseline in experiments.
 */
export class EvenShareLimit extends ConcurrencyLimit {
  #slots = 1;

  override get slots(): number {
    return this.#slots;
  }

  override hasRoom(): boolean {
    return true;
  }

  override countedSlots(): number {
    return this.#slots;
  }

  override applyReport({ report, instances }: ReceivedReport): void {
    this.#slots = report.maxRunningRequests / Math.max(1, instances);
  }
}
