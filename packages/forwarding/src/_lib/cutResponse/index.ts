import type { Clock } from '@acaciacrank/base';
import type { ServerResponse } from 'node:http';

/** Time for the caller to read what was sent before a reset discards it, in milliseconds. */
const readTimeMs = 50;

/**
 * Closes the connection of a response that is not complete.
 *
 * Guards against a caller that takes a part for the whole: a response without length or chunks is complete once its
 * connection is closed in good order, so that only a reset shows that it is not.
 *
 * @param response - a response whose head has been sent
 * @param clock - measures the time until the reset
 *
 * @example
 * if (response.headersSent) cutResponse(response, clock);
 */
export function cutResponse(response: ServerResponse, clock: Clock): void {
  const isFramed = response.useChunkedEncodingByDefault || response.hasHeader('content-length');
  if (isFramed) {
    response.destroy();
    return;
  }
  const { socket } = response;
  clock.schedule(readTimeMs, () => socket?.resetAndDestroy());
}
