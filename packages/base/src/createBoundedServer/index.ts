/**
 * HTTP servers that bound what their clients can make them hold.
 */
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { createMessageClasses, stopReasonOf } from '../_lib/createMessageClasses/index.js';
import { refuseAtHead, refuseBody } from '../_lib/refuseAtHead/index.js';
import type { ClientConnections } from '../ClientConnections/index.js';
import { bytesInMebibyte } from '../constants/index.js';
import { ReadSlicer } from '../ReadSlicer/index.js';

/** Takes over a connection whose client has asked for another protocol. */
export type UpgradeListener = (request: IncomingMessage, socket: Duplex, head: Buffer) => void;

/** Options of {@link createBoundedServer}. */
export interface CreateBoundedServerOptions {
  /** The connections of the server, with their limits. */
  readonly connections: ClientConnections;
  /** Answers a request for which there is no room; it is not run. Answered with 503 by default. */
  readonly refuse?: RequestListener;
  /** Takes over connections to another protocol; requests for one are answered as any other by default. */
  readonly upgrade?: UpgradeListener;
  /** Whether requests may have bodies; true by default. Otherwise one with a body is answered 413, and nothing of it is read. */
  readonly takesBodies?: boolean;
  /** Whether there is room for a body of so many bytes, 0 if unknown; there is by default. It is refused before it is read. */
  readonly hasRoomForBody?: (bytes: number) => boolean;
  /** Sizes and timeouts of the server. */
  readonly server?: Omit<ServerOptions, 'IncomingMessage' | 'ServerResponse'>;
}

/** Interval at which {@link ClientConnections.check} is called, in milliseconds. */
const checkIntervalMs = 100;
/** How often the server looks for clients that send too slowly, in milliseconds. */
const timeoutCheckIntervalMs = 1_000;
/** Size of what was read while reads are sliced, and is not parsed, in bytes. */
const maxUnparsedBytes = 4 * bytesInMebibyte;
/** When a client that was refused for want of room may return, in seconds. */
const retryAfterS = 1;

/**
 * Creates an HTTP server that closes connections past its limits, for every port.
 *
 * Guards against requests that are sent ahead: one read holds thousands of them. The parser continues to the end of what
 * was read even if the handler closes the connection, and Node answers some of them without the handler. The first
 * request past the limit is therefore marked as a change of protocol, at which the parser stops.
 *
 * @param options - the connections and what else differs from port to port
 * @param listener - answers requests
 * @returns a server that does not listen yet
 *
 * @example
 * createBoundedServer({ connections }, (request, response) => response.end('fine')).listen(8080);
 */
export function createBoundedServer(
  options: CreateBoundedServerOptions,
  listener: RequestListener,
): Server {
  const { connections, refuse = refuseForWantOfRoom, upgrade } = options;
  const { takesBodies = true, hasRoomForBody = () => true } = options;
  const slicer = new ReadSlicer({
    clock: connections.clock,
    maxUnparsedBytes,
    onExcess: (socket) => {
      connections.close(socket, 'tooManyUnparsedBytes');
    },
  });
  const settings: ServerOptions = {
    connectionsCheckingInterval: timeoutCheckIntervalMs,
    ...options.server,
    ...createMessageClasses({
      connections,
      slicer,
      allowsUpgrades: upgrade !== undefined,
      takesBodies,
      hasRoomForBody,
    }),
  };
  const server = createServer(settings, (request, response) => {
    if (connections.hasRoom) listener(request, response);
    else refuse(request, response);
  });
  server.on('connection', (socket: Socket) => {
    connections.add(socket);
    if (slicer.isActive) slicer.slice(socket);
    socket.once('close', () => {
      endConnection(connections, socket);
    });
  });
  server.on('upgrade', (request, socket, head) => {
    const reason = stopReasonOf(request);
    if (reason === undefined) {
      connections.remove(request.socket);
      upgrade?.(request, socket, head);
    } else if (reason === 'beyondLimit' || connections.responsesOf(request.socket).length > 0) {
      // The next response on the connection belongs to an earlier request.
      connections.close(request.socket, 'tooManyRequestsAhead');
    } else {
      refuseAtHead(request, reason === 'noRoomForBody' ? refuse : refuseBody);
    }
  });
  checkWhileListening(server, connections);
  return server;
}

/** Guards against work for requests of a closed connection: Node closes only the response that is being sent. */
function endConnection(connections: ClientConnections, socket: Socket): void {
  const responses = connections.responsesOf(socket) as readonly ServerResponse[];
  connections.remove(socket);
  for (const response of responses) {
    if (response.socket !== null || response.writableFinished) continue;
    response.destroy();
    response.emit('close');
  }
}

function checkWhileListening(server: Server, connections: ClientConnections): void {
  let timer: NodeJS.Timeout | undefined;
  server.on('listening', () => {
    timer = setInterval(() => {
      connections.check();
    }, checkIntervalMs).unref();
  });
  server.on('close', () => {
    clearInterval(timer);
  });
}

const refuseForWantOfRoom: RequestListener = (_request, response) => {
  const headers = { connection: 'close', 'content-length': 0, 'retry-after': String(retryAfterS) };
  response.writeHead(503, headers).end();
};
