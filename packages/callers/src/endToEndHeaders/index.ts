/**
 * Selects the headers that an instance forwards.
 */

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that each side generates anew. */
const excludedHeaders = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'expect',
  'content-length',
  // The account's secret key must not reach upstreams.
  'authorization',
]);

type HeaderValue = string | readonly string[] | undefined;

/**
 * Removes hop-by-hop headers, including those listed in `Connection`.
 *
 * @param headers - as received, names in lower case
 * @returns the headers to forward
 *
 * @example
 * endToEndHeaders({ connection: 'x-hop', 'x-hop': '1', etag: 'a' });
 * //=> { etag: 'a' }
 */
export function endToEndHeaders<Value extends HeaderValue>(
  headers: Readonly<Record<string, Value>>,
): Record<string, Exclude<Value, undefined>> {
  const named = new Set(parseConnectionHeader(headers.connection));
  const forwarded = Object.entries(headers).filter(
    (entry): entry is [string, Exclude<Value, undefined>] =>
      entry[1] !== undefined && !excludedHeaders.has(entry[0]) && !named.has(entry[0]),
  );
  return Object.fromEntries(forwarded);
}

function parseConnectionHeader(connection: HeaderValue): string[] {
  const values = typeof connection === 'string' ? [connection] : (connection ?? []);
  return values.flatMap((value) => value.split(',').map((name) => name.trim().toLowerCase()));
}

/**
 * Like {@link endToEndHeaders}, for raw headers: alternating names and values as received.
 *
 * @param headers - alternating names and values
 * @param isKept - additional filter by name, in lower case
 * @returns alternating names and values, including repeated headers
 *
 * @example
 * endToEndRawHeaders(['ETag', 'a', 'Connection', 'close']);
 * //=> ['ETag', 'a']
 */
export function endToEndRawHeaders(
  headers: readonly string[],
  isKept: (name: string) => boolean = () => true,
): string[] {
  const named = new Set<string>();
  forEachRawHeader(headers, (name, value) => {
    if (name === 'connection') parseConnectionHeader(value).forEach((other) => named.add(other));
  });
  const forwarded: string[] = [];
  forEachRawHeader(headers, (name, value, rawName) => {
    if (!excludedHeaders.has(name) && !named.has(name) && isKept(name))
      forwarded.push(rawName, value);
  });
  return forwarded;
}

/** Visits each raw header with its name in lower case, its value and its name as received. */
export function forEachRawHeader(
  headers: readonly string[],
  visit: (name: string, value: string, rawName: string) => void,
): void {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const rawName = headers[index] ?? '';
    visit(rawName.toLowerCase(), headers[index + 1] ?? '', rawName);
  }
}

/** Returns the value of a raw header, the last one if it is repeated; undefined if there is none. */
export function rawHeaderValue(headers: readonly string[], wanted: string): string | undefined {
  let found: string | undefined;
  forEachRawHeader(headers, (name, value) => {
    if (name === wanted) found = value;
  });
  return found;
}
