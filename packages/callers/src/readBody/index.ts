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
  const chunks = await readChunks(request, maxBytes, held);
  const [first] = chunks;
  return chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks);
}

/** Collects the chunks by events: an asynchronous iterator costs several times as much for a short body. */
function readChunks(
  request: IncomingMessage,
  maxBytes: number,
  held: HeldBytes,
): Promise<Buffer[]> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const fail = (error: Error) => {
      request.off('data', onData);
      request.pause();
      reject(error);
    };
    const failTruncated = (cause?: Error) => {
      const options = cause === undefined ? {} : { cause };
      fail(new RouterError('badRequest', 'the request body is truncated', options));
    };
    const onData = (chunk: Buffer) => {
      bytes += chunk.byteLength;
      if (bytes > maxBytes) {
        fail(tooLarge(maxBytes));
        return;
      }
      try {
        held.take(chunk.byteLength);
      } catch (error) {
        fail(error as Error);
        return;
      }
      chunks.push(chunk);
    };
    if (request.destroyed && !request.readableEnded) {
      failTruncated();
      return;
    }
    request.on('data', onData);
    request.once('end', () => {
      resolve(chunks);
    });
    request.once('error', failTruncated);
    request.once('close', () => {
      if (!request.complete) failTruncated();
    });
  });
}

function tooLarge(maxBytes: number): RouterError {
  return new RouterError('tooLarge', `the body has more than ${maxBytes} bytes`);
}
