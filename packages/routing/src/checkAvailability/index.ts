/** What binds an upstream that may not be sent a request now. */
export type AvailabilityBound =
  'leaving' | 'domainDrained' | 'backoff' | 'limit' | 'warmUp' | 'slots' | 'connections';

/** What decides whether an upstream may be sent a request now. Waits are in milliseconds, 0 for none. */
export interface AvailabilityConditions {
  /** Whether it leaves, by its record or its own responses. */
  readonly isLeaving: boolean;
  /** Whether its failure domain is drained. */
  readonly isDomainDrained: boolean;
  /** Time until the end of the backoff that it requested from this instance. */
  readonly backoffWaitMs: number;
  /** Time until this instance's share of its rate limit allows a request. */
  readonly limitWaitMs: number;
  /** Time until this instance's share of what it takes while it warms up allows a request. */
  readonly warmUpWaitMs: number;
  /** Time until this instance's share of the slots of a brittle upstream allows a request. */
  readonly slotWaitMs: number;
  /** Whether a connection to it is idle, or may be opened. */
  readonly hasConnection: boolean;
}

/** Whether an upstream may be sent a request now, and if not, why and from when. */
export interface Availability {
  /** The strictest bound; undefined if the upstream may be sent a request now. */
  readonly bound: AvailabilityBound | undefined;
  /**
   * Time until it may be sent one, in milliseconds; 0 if it may be now, or as soon as a connection is free;
   * infinite if no end is known.
   */
  readonly waitMs: number;
}

const available: Availability = { bound: undefined, waitMs: 0 };
const leaving: Availability = { bound: 'leaving', waitMs: Infinity };
const domainDrained: Availability = { bound: 'domainDrained', waitMs: Infinity };
const noConnection: Availability = { bound: 'connections', waitMs: 0 };

/**
 * Decides whether an upstream may be sent a request now. Every request passes this, first attempts as well as
 * retries and resumed streams. The strictest bound decides, and none ends another.
 *
 * Handles an upstream that is overloaded or leaving and has stated it: it looks idle, since it refuses or
 * loses its requests, so that load alone would attract more of them.
 *
 * @example
 * checkAvailability(conditions).bound === undefined;
 */
export function checkAvailability(conditions: AvailabilityConditions): Availability {
  if (conditions.isLeaving) return leaving;
  if (conditions.isDomainDrained) return domainDrained;
  const { backoffWaitMs, limitWaitMs, warmUpWaitMs, slotWaitMs } = conditions;
  const waitMs = Math.max(backoffWaitMs, limitWaitMs, warmUpWaitMs, slotWaitMs);
  if (waitMs === 0) return conditions.hasConnection ? available : noConnection;
  if (waitMs === backoffWaitMs) return { bound: 'backoff', waitMs };
  if (waitMs === limitWaitMs) return { bound: 'limit', waitMs };
  return { bound: waitMs === warmUpWaitMs ? 'warmUp' : 'slots', waitMs };
}
