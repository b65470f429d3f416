import { parseBackoffMs } from '@acaciacrank/base';
import type { IncomingHttpHeaders } from 'node:http';

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
  return parseBackoffMs(status, [headers['retry-after'] ?? []].flat());
}
