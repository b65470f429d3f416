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
  /** Average number of requests of other instances there, if they use it as this instance does. */
  readonly usualOtherRequests: number;
  /** For how long a request holds a slot on average, in milliseconds. */
  readonly runTimeMs: number;
}

/**
 * Estimates how long a request that is sent now waits for a slot, in milliseconds.
 *
 * Handles engines with few slots whose load other instances cause: to each instance alone such an engine
 * looks idle, but a request waits there until a stream of another instance ends. A recent report shows
 * their requests. The older it is, the more the usual number counts: all instances place by the same rules
 * and see the same mix of prompts, so the others use the engine about as much as this one did on average.
 * Without that, a prompt part that many prompts share would move from engine to engine as reports age.
 *
 * @returns 0 while a slot is probably free
 *
 * @example
 * estimateSlotWait({ slots: 16, ownRequests: 2, otherRequests: 20, reportAgeMs: 50, runTimeMs: 1_300 });
 */
export function estimateSlotWait(use: SlotUse): number {
  const { slots, ownRequests, otherRequests, reportAgeMs, usualOtherRequests, runTimeMs } = use;
  const reportWeight = Math.exp(-reportAgeMs / Math.max(1, runTimeMs));
  const others = reportWeight * otherRequests + (1 - reportWeight) * usualOtherRequests;
  const requestsAhead = ownRequests + others - slots + 1;
  return requestsAhead <= 0 ? 0 : (requestsAhead * runTimeMs) / slots;
}
