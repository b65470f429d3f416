import type { LoadReport } from '@acaciacrank/upstreams';

/** A load report as the registry received it. */
export interface ReceivedReport {
  readonly report: LoadReport;
  /** Time of measurement, by this machine's wall clock. */
  readonly measuredAtMs: number;
  /** Time of receipt, by this machine's wall clock. */
  readonly receivedAtMs: number;
  /** Number of instances that share the upstream. */
  readonly instances: number;
}

/**
 * Limits the in-flight requests of one instance at one upstream. Each in-flight request occupies one
 * slot.
 */
export abstract class ConcurrencyLimit {
  /** Number of slots; a fraction of a slot counts towards the sum over upstreams. */
  abstract readonly slots: number;

  /** Returns whether one more request may start. */
  abstract hasRoom(inFlightRequests: number): boolean;

  /**
   * Returns the upstream's contribution to the sum of slots. In-flight requests above a lowered limit
   * count as slots, since they occupy none of the other upstreams.
   */
  countedSlots(inFlightRequests: number): number {
    return Math.max(this.slots, inFlightRequests);
  }

  /** Adapts the limit to a report with a new measurement. */
  abstract applyReport(received: ReceivedReport, inFlightRequests: number): void;

  /** Records the number of in-flight requests after one has started. */
  recordInFlight(inFlightRequests: number): void {
    void inFlightRequests;
  }

  /** Returns to a small limit after the upstream was ejected. */
  reset(): void {
    // A limit that does not adapt has no state to reset.
  }
}
