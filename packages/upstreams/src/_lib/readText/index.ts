import { bytesInMebibyte, RouterError } from '@acaciacrank/base';
import type { Readable } from 'node:stream';

/** Maximum size of a response other than a stream or a call of a service, in bytes. */
const maxBytes = bytesInMebibyte;

/**
 * Reads the small body of a response as text.
 *
 * Guards against an upstream that sends bytes without end: they would be held in memory until the timeout.
 *
 * @throws RouterError `upstreamFailed` if it is too large
 *
 * @example
 * JSON.parse(await readText(answer.body));
 */
export async function readText(body: Readable): Promise<string> {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of body as AsyncIterable<Buffer>) {
    bytes += part.byteLength;
    if (bytes > maxBytes)
      throw new RouterError('upstreamFailed', `the response has more than ${maxBytes} bytes`);
    parts.push(part);
  }
  return Buffer.concat(parts).toString();
}
