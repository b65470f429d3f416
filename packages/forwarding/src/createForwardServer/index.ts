import {
  ClientConnections,
  createBoundedServer,
  type ClientConnectionsOptions,
  type Random,
} from '@acaciacrank/base';
import { createOverloadError, guardRequests, writeError } from '@acaciacrank/callers';
import type { Server } from 'node:http';
import type { ForwardHandler } from '../ForwardHandler/index.js';
import type { CallerLimits } from '../types.js';

/** Options of {@link createForwardServer}. */
export interface CreateForwardServerOptions extends ClientConnectionsOptions {
  handler: Pick<ForwardHandler, 'handle' | 'connections' | 'hasRoomForBody'>;
  /** Called with what the handler throws; it is a defect. */
  onHandlerFailed: (thrown: unknown) => void;
  /** Called for bytes that are not a valid HTTP request. */
  onBadRequest: () => void;
  /** Source of the jitter in retry times. */
  random: Random;
  /** Called for each request that is refused since there is no room for it. */
  onRefused: () => void;
}

/** Maximum size of the request headers in bytes; the configured limit for callers is lower. */
const maxHeaderBytes = 65_536;
/** Timeout for receiving a complete request, in milliseconds. */
const requestTimeoutMs = 60_000;
/** Maximum number of connections waiting to be accepted; a burst of callers opens many at once. */
export const listenBacklog = 1_024;

/**
 * Creates the HTTP server for callers' requests.
 *
 * @param options - the request handler, limits and callbacks
 * @returns a server that does not listen yet
 *
 * @example
 * createForwardServer({ handler, limits, clock, ...callbacks }).listen(8080, '10.0.0.5');
 */
export function createForwardServer(options: CreateForwardServerOptions): Server {
  const server = createBoundedServer(
    {
      connections: new ClientConnections(options),
      server: { maxHeaderSize: maxHeaderBytes, requestTimeout: requestTimeoutMs },
      refuse: (_request, response) => {
        options.onRefused();
        writeError(response, createOverloadError(), options.random);
      },
      hasRoomForBody: (bytes) => options.handler.hasRoomForBody(bytes),
    },
    guardRequests(
      (request, response) => options.handler.handle(request, response),
      options.onHandlerFailed,
    ),
  );
  options.handler.connections.watch(server);
  server.on('clientError', (_error, socket) => {
    options.onBadRequest();
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    // A client that keeps its side open would keep the connection.
    socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n', () => socket.destroy());
  });
  return server;
}

/** Applies the configured limits for callers to a server. */
export function applyCallerLimits(server: Server, limits: CallerLimits): void {
  server.headersTimeout = limits.headerTimeoutMs;
  server.keepAliveTimeout = limits.idleTimeoutMs;
}
