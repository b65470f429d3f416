/**
 * Which headers pass through an instance.
 */

/** Headers about one connection (RFC 9110, section 7.6.1), and those that each side makes anew. */
const ownHeaders = new Set([
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
  // The account's secret key is between caller and instance.
  'authorization',
]);

type HeaderValue = string | readonly string[] | undefined;

/**
 * Leaves out what is about one connection only, also headers that `Connection` names.
 *
 * @param headers - as received, names in lower case
 * @returns the headers that the other side gets
 *
 * @example
 * endToEndHeaders({ connection: 'x-hop', 'x-hop': '1', etag: 'a' });
 * //=> { etag: 'a' }
 */
export function endToEndHeaders<Value extends HeaderValue>(
  headers: Readonly<Record<string, Value>>,
): Record<string, Exclude<Value, undefined>> {
  const named = new Set(namedByConnection(headers.connection));
  const passed = Object.entries(headers).filter(
    (entry): entry is [string, Exclude<Value, undefined>] =>
      entry[1] !== undefined && !ownHeaders.has(entry[0]) && !named.has(entry[0]),
  );
  return Object.fromEntries(passed);
}

function namedByConnection(connection: HeaderValue): string[] {
  const values = typeof connection === 'string' ? [connection] : (connection ?? []);
  return values.flatMap((value) => value.split(',').map((name) => name.trim().toLowerCase()));
}

/**
 * Like {@link endToEndHeaders}, for names and values in turn as they stood on the wire.
 *
 * @param headers - names and values in turn
 * @param isKept - whether a header, by its name in lower case, passes as well
 * @returns names and values in turn, repeated headers included
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
    if (name === 'connection') namedByConnection(value).forEach((other) => named.add(other));
  });
  const passed: string[] = [];
  forEachRawHeader(headers, (name, value, rawName) => {
    if (!ownHeaders.has(name) && !named.has(name) && isKept(name)) passed.push(rawName, value);
  });
  return passed;
}

/** Visits names and values in turn; names in lower case, and as they stood on the wire. */
export function forEachRawHeader(
  headers: readonly string[],
  visit: (name: string, value: string, rawName: string) => void,
): void {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const rawName = headers[index] ?? '';
    visit(rawName.toLowerCase(), headers[index + 1] ?? '', rawName);
  }
}
