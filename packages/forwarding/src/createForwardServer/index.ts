import { createServer, type Server } from 'node:http';
import type { ForwardHandler } from '../ForwardHandler/index.js';
import type { CallerLimits } from '../types.js';

/** Options of {@link createForwardServer}. */
export interface CreateForwardServerOptions {
  handler: Pick<ForwardHandler, 'handle'>;
  /** Called for bytes that are no request. */
  onBadRequest: () => void;
}

/** Header bytes taken at most; the configuration bounds proper callers to less. */
const maxHeaderBytes = 65_536;
/** How long a whole request may take to arrive, in milliseconds. */
const requestLimitMs = 60_000;
/** Connections that wait to be accepted: a burst of callers opens many at once. */
export const listenBacklog = 1_024;

/**
 * The HTTP server that callers of forwarded requests speak to.
 *
 * @param options - the handler behind it
 * @returns a server that does not listen yet
 *
 * @example
 * createForwardServer({ handler, onBadRequest }).listen(8080, '10.0.0.5');
 */
export function createForwardServer(options: CreateForwardServerOptions): Server {
  const server = createServer(
    { maxHeaderSize: maxHeaderBytes, requestTimeout: requestLimitMs },
    (request, response) => {
      // A write that races with the caller's leaving shows here; the close event ends the work.
      response.on('error', () => undefined);
      void options.handler.handle(request, response);
    },
  );
  server.on('clientError', (_error, socket) => {
    options.onBadRequest();
    if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n');
    else socket.destroy();
  });
  return server;
}

/** Takes over what a configuration says of callers. */
export function applyCallerLimits(server: Server, limits: CallerLimits): void {
  server.headersTimeout = limits.headerTimeoutMs;
  server.keepAliveTimeout = limits.idleTimeoutMs;
}
