/**
 * Schedule of a graceful shutdown: until when requests are accepted, and when it ends.
 */

/** Part of the shutdown time that is reserved for ending the process, in milliseconds. */
const processExitMarginMs = 700;
/**
 * Callers use a directory response for up to three times its TTL, so new requests arrive for that
 * long.
 */
const directoryCacheFactor = 3;
/**
 * Maximum share of the shutdown time in which requests are accepted. A stream accepted later may
 * still be running when the process ends; it is then cut off at the very end of the shutdown.
 */
const maxAcceptShare = 0.35;

/** Schedule of a graceful shutdown, in milliseconds from its start. */
export interface ShutdownPlan {
  /**
   * Until then requests are served; later ones are refused with the statement that they were not
   * run.
   */
  readonly acceptMs: number;
  /** The process ends then, even if requests are still in progress. */
  readonly endMs: number;
}

/**
 * Plans a graceful shutdown.
 *
 * @param stopLimitMs - the time after which the process is killed, in milliseconds
 * @param directoryTtlMs - how long callers cache a directory response, in milliseconds
 */
export function planShutdown(stopLimitMs: number, directoryTtlMs: number): ShutdownPlan {
  const acceptMs = Math.min(directoryCacheFactor * directoryTtlMs, maxAcceptShare * stopLimitMs);
  return { acceptMs, endMs: stopLimitMs - processExitMarginMs };
}
