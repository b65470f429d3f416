/**
 * Reads a request's body, bounded.
 */
import { RouterError } from '@acaciacrank/base';
import type { IncomingMessage } from 'node:http';
import type { HeldBytes } from '../ByteBudget/index.js';

/**
 * Reads the whole body. How long a sender may take is bounded by the server's request timeout.
 *
 * @param request - whose body
 * @param maxBytes - the largest body
 * @param held - counts what is held
 * @throws RouterError `tooLarge` as soon as the bound is passed or announced, `overloaded`, or
 * `badRequest` when the body does not arrive whole; nothing has run then
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
  held: HeldBytes,
): Promise<Buffer> {
  const announcedBytes = Number(request.headers['content-length'] ?? 0);
  if (announcedBytes > maxBytes) throw tooLarge(maxBytes);
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
    throw new RouterError('badRequest', 'the body did not arrive whole', { cause });
  }
  return Buffer.concat(chunks);
}

function tooLarge(maxBytes: number): RouterError {
  return new RouterError('tooLarge', `the body has more than ${maxBytes} bytes`);
}
