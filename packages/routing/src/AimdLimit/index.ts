import { ConcurrencyLimit, type ReceivedReport } from '../ConcurrencyLimit/index.js';

/** Options of {@link AimdLimit}. */
export interface AimdLimitOptions {
  /** Number of slots before the first report. */
  initialSlots?: number;
  /** Slots added if this instance uses all of its slots and the upstream is full but has no queue. */
  increaseSlots?: number;
  /** Factor applied to the limit when too many requests are queued at the upstream. */
  decreaseFactor?: number;
  /** Tolerated queue at the upstream, as a fraction of its concurrency. */
  toleratedQueueFraction?: number;
  /** Minimum limit, as a fraction of this instance's even share. */
  minShareFraction?: number;
}

/**
 * Additive increase, multiplicative decrease (AIMD) based on the queue that the upstream reports.
 *
 * Instances share an upstream without communication: each starts with its even share. All see the same
 * queue and decrease by the same factor, while each that needs more increases by the same step, so that
 * the limits converge to even shares among the instances that need them. Capacity that the upstream
 * reports as free is distributed immediately, in equal parts to each instance.
 *
 * Reports lag. Only a report that was measured after the last change of the limit can change it again;
 * otherwise late reports of the same queue would decrease it several times.
 */
export class AimdLimit extends ConcurrencyLimit {
  readonly #options: Required<AimdLimitOptions>;
  #slots: number;
  #share = 1;
  #hasReport = false;
  #changedAtMs = -Infinity;
  #maxInFlight = 0;

  constructor(options: AimdLimitOptions = {}) {
    super();
    this.#options = {
      initialSlots: 2,
      increaseSlots: 0.5,
      decreaseFactor: 0.85,
      toleratedQueueFraction: 0.25,
      minShareFraction: 0.5,
      ...options,
    };
    this.#slots = this.#options.initialSlots;
  }

  override get slots(): number {
    return this.#slots;
  }

  override hasRoom(inFlightRequests: number): boolean {
    return inFlightRequests < this.#slots;
  }

  override recordInFlight(inFlightRequests: number): void {
    this.#maxInFlight = Math.max(this.#maxInFlight, inFlightRequests);
  }

  override applyReport(received: ReceivedReport, inFlightRequests: number): void {
    const { report, instances, measuredAtMs, receivedAtMs } = received;
    this.#share = report.maxRunningRequests / Math.max(1, instances);
    if (!this.#hasReport) {
      this.#hasReport = true;
      this.#setClamped(this.#share, report.maxRunningRequests);
      return;
    }
    if (measuredAtMs < this.#changedAtMs) return;
    const isFullyUsed = this.#maxInFlight >= this.#slots - 1;
    this.#maxInFlight = inFlightRequests;
    const nextSlots = this.#computeNext(received, isFullyUsed);
    if (nextSlots === this.#slots) return;
    this.#setClamped(nextSlots, report.maxRunningRequests);
    this.#changedAtMs = receivedAtMs;
  }

  override reset(): void {
    this.#slots = Math.max(1, this.#share * this.#options.minShareFraction);
    this.#maxInFlight = 0;
  }

  #computeNext({ report, instances }: ReceivedReport, isFullyUsed: boolean): number {
    const { runningRequests, waitingRequests, maxRunningRequests } = report;
    const { toleratedQueueFraction, decreaseFactor, increaseSlots } = this.#options;
    const toleratedRequests = Math.max(1, maxRunningRequests * toleratedQueueFraction);
    if (waitingRequests > toleratedRequests) return this.#slots * decreaseFactor;
    if (!isFullyUsed || waitingRequests > 0) return this.#slots;
    const freeSlots = Math.max(0, maxRunningRequests - runningRequests);
    return this.#slots + Math.max(increaseSlots, freeSlots / Math.max(1, instances));
  }

  #setClamped(slots: number, maxSlots: number): void {
    const minSlots = Math.max(1, this.#share * this.#options.minShareFraction);
    this.#slots = Math.max(minSlots, Math.min(slots, maxSlots));
  }
}
