import { millisecondsInSecond } from '../constants/index.js';

/** Statuses with which an upstream turns a request away since it has too many. */
const overloadStatuses: ReadonlySet<number> = new Set([429, 503]);

/**
 * Parses the backoff that an overloaded upstream requests. A time of any length is read: it is bounded where it is
 * applied.
 *
 * @param status - HTTP status of the response
 * @param retryAfter - values of its `Retry-After` headers, in seconds; of several the longest applies
 * @returns milliseconds; undefined if the response has none in seconds
 *
 * @example
 * parseBackoffMs(503, ['1.5']); // 1500
 */
export function parseBackoffMs(status: number, retryAfter: readonly string[]): number | undefined {
  if (!overloadStatuses.has(status)) return undefined;
  const seconds = retryAfter.filter((value) => /^\s*\d+(\.\d+)?\s*$/.test(value)).map(Number);
  return seconds.length === 0 ? undefined : Math.max(...seconds) * millisecondsInSecond;
}
