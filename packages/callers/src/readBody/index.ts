/**
 * Reads a request body up to a size limit.
 */
import { RouterError, type Clock } from '@acaciacrank/base';
import type { IncomingMessage } from 'node:http';
import type { HeldBytes } from '../BodyMemory/index.js';
import { BodyBuffer } from '../_lib/BodyBuffer/index.js';

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  /** Largest body allowed, in bytes. */
  readonly maxBytes: number;
  /** Counts the memory that the body takes. */
  readonly held: HeldBytes;
  readonly clock: Pick<Clock, 'schedule'>;
  /** Time limit for the whole body, in milliseconds: after it the request cannot be answered in time. */
  readonly timeoutMs: number;
}

/**
 * Reads the whole body.
 *
 * @param request - the request to read from
 * @param options - bounds of the body
 * @throws RouterError `tooLarge` as soon as `content-length` or the body exceeds the limit, `overloaded`,
 * `requestTimeout`, or `badRequest` if the body is truncated; the request has not run in any of these cases
 *
 * @example
 * const body = await readBody(request, { maxBytes: 4_194_304, held, clock, timeoutMs: 3_000 });
 */
export async function readBody(
  request: IncomingMessage,
  options: ReadBodyOptions,
): Promise<Buffer> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > options.maxBytes) throw tooLarge(options.maxBytes);
  const body = new BodyBuffer();
  let timer: Disposable | undefined;
  try {
    await receive(request, body, options, (expire) => {
      timer = options.clock.schedule(options.timeoutMs, expire);
    });
  } finally {
    timer?.[Symbol.dispose]();
    options.held.endReading();
  }
  return body.toBuffer();
}

/**
 * Collects the chunks by events: an asynchronous iterator costs several times as much for a short body.
 *
 * @param startTimer - called with what ends the wait, if the body is not whole once its first part has been read
 */
function receive(
  request: IncomingMessage,
  body: BodyBuffer,
  { maxBytes, held }: ReadBodyOptions,
  startTimer: (expire: () => void) => void,
): Promise<void> {
  return new Promise((resolve, reject) => {
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
      try {
        const allocatedBytes = body.append(chunk);
        if (body.bytes > maxBytes) throw tooLarge(maxBytes);
        held.take(allocatedBytes);
        if (body.isFragmented && !request.complete) held.recordFragmented();
      } catch (error) {
        fail(error as Error);
      }
    };
    if (request.destroyed && !request.readableEnded) {
      failTruncated();
      return;
    }
    request.on('data', onData);
    request.once('end', resolve);
    request.once('error', failTruncated);
    request.once('close', () => {
      if (!request.complete) failTruncated();
    });
    // What was read together with the head has been parsed by then.
    process.nextTick(() => {
      if (request.complete || request.destroyed) return;
      held.beginReading(fail);
      startTimer(() => {
        fail(new RouterError('requestTimeout', 'the body did not arrive in time'));
      });
    });
  });
}

function tooLarge(maxBytes: number): RouterError {
  return new RouterError('tooLarge', `the body has more than ${maxBytes} bytes`);
}
