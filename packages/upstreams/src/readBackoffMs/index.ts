import { millisecondsInSecond } from '@acaciacrank/base';
import type { IncomingHttpHeaders } from 'node:http';

/** Statuses with which an upstream turns a request away since it has too many. */
const overloadStatuses: ReadonlySet<number> = new Set([429, 503]);

/**
 * Reads the backoff that an overloaded upstream requests.
 *
 * @returns milliseconds; undefined if the response has none in seconds
 *
 * @example
 * readBackoffMs(503, { 'retry-after': '1.5' }); // 1500
 */
export function readBackoffMs(
  status: number,
  headers: Readonly<Record<string, string | readonly string[] | undefined>> | IncomingHttpHeaders,
): number | undefined {
  if (!overloadStatuses.has(status)) return undefined;
  const values = [headers['retry-after'] ?? []].flat();
  const seconds = values.filter((value) => /^\s*\d+(\.\d+)?\s*$/.test(value)).map(Number);
  return seconds.length === 0 ? undefined : Math.max(...seconds) * millisecondsInSecond;
}
