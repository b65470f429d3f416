/**
 * How long a planned stop takes requests, and when it ends.
 */

/** The part of a planned stop's time that is kept for ending the process, in milliseconds. */
const endMarginMs = 700;
/** Callers keep a directory answer for up to three times its time; new ones come for so long. */
const keepFactor = 3;
/**
 * The most of a stop's time in which requests are taken. A stream that is taken later may not end
 * before the process does: it shows as a stream that is cut at the very end of the stop.
 */
const acceptShare = 0.35;

/** The times of a planned stop, in milliseconds from its beginning. */
export interface StopPlan {
  /** Until then requests are served, later ones are refused as not run. */
  readonly acceptMs: number;
  /** Then the process ends, whatever is under way. */
  readonly endMs: number;
}

/**
 * Plans a stop.
 *
 * @param stopLimitMs - after this the process is killed
 * @param directoryKeepMs - how long callers keep the directory's answer
 */
export function planStop(stopLimitMs: number, directoryKeepMs: number): StopPlan {
  const acceptMs = Math.min(keepFactor * directoryKeepMs, acceptShare * stopLimitMs);
  return { acceptMs, endMs: stopLimitMs - endMarginMs };
}
