/**
 * Reads a request body up to a size limit.
 */
import { RouterError } from '@acaciacrank/base';
import type { IncomingMessage } from 'node:http';
import type { HeldBytes } from '../ByteBudget/index.js';

/**
 * Reads the whole body. The server's request timeout bounds how long this takes.
 *
 * @param request - the request to read from
 * @param maxBytes - largest body allowed
 * @param held - counts the bytes held in memory
 * @throws RouterError `tooLarge` as soon as `content-length` or the body exceeds the limit,
 * `overloaded`, or `badRequest` if the body is truncated; the request has not run in any of these
 * cases
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
  held: HeldBytes,
): Promise<Buffer> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) throw tooLarge(maxBytes);
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.byteLength;
      if (bytes > maxBytes) throw tooLarge(maxBytes);
      held.take(chunk.byteLength);
      chunks.push(chunk);
    }
  } catch (error) {
    if (error instanceof RouterError) throw error;
    const cause = error as Error;
    throw new RouterError('badRequest', 'the request body is truncated', { cause });
  }
  return Buffer.concat(chunks);
}

function tooLarge(maxBytes: number): RouterError {
  return new RouterError('tooLarge', `the body has more than ${maxBytes} bytes`);
}
