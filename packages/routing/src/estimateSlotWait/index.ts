/** What an instance knows of the slots of an upstream. */
export interface SlotUse {
  /** Number of requests that the upstream runs at the same time. */
  readonly slots: number;
  /** Requests of this instance in progress there. */
  readonly ownRequests: number;
  /** Requests of other instances there, running or waiting, when the upstream last reported its load. */
  readonly otherRequests: number;
  /** Age of that report, in milliseconds; infinite if there is none. */
  readonly reportAgeMs: number;
  /** For how long a request holds a slot on average, in milliseconds. */
  readonly runTimeMs: number;
}

/**
 * Estimates how long a request that is sent now waits for a slot, in milliseconds.
 *
 * Handles engines with few slots whose load other instances cause: to each instance alone such an engine
 * looks idle, but a request waits there until a stream of another instance ends. Engines that are busy
 * answer often, so their reports are recent. Of the requests that an older report tells of, the share
 * that is expected to have ended meanwhile is left out.
 *
 * @returns 0 while a slot is probably free
 *
 * @example
 * estimateSlotWait({ slots: 16, ownRequests: 2, otherRequests: 20, reportAgeMs: 50, runTimeMs: 1_300 });
 */
export function estimateSlotWait(use: SlotUse): number {
  const { slots, ownRequests, otherRequests, reportAgeMs, runTimeMs } = use;
  const stillThere = otherRequests * Math.exp(-reportAgeMs / Math.max(1, runTimeMs));
  const requestsAhead = ownRequests + stillThere - slots + 1;
  return requestsAhead <= 0 ? 0 : (requestsAhead * runTimeMs) / slots;
}
