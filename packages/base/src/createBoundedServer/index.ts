/**
 * HTTP servers that bound what their clients can make them hold.
 */
import {
  createServer,
  IncomingMessage,
  ServerResponse,
  type RequestListener,
  type Server,
  type ServerOptions,
} from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
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
  /** Sizes and timeouts of the server. */
  readonly server?: Omit<ServerOptions, 'IncomingMessage' | 'ServerResponse'>;
}

/** Interval at which {@link ClientConnections.check} is called, in milliseconds. */
const checkIntervalMs = 100;
/** How often the server looks for clients that send too slowly, in milliseconds. */
const timeoutCheckIntervalMs = 1_000;
/** Size of what was read while reads are sliced, and is not parsed, in bytes. */
const maxUnparsedBytes = 4 * bytesInMebibyte;
/** Number of chunks of one request from which on a read counts as expensive. */
const expensiveChunks = 1_024;
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
  const { connections, refuse = refuseForWantOfRoom, upgrade, takesBodies = true } = options;
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
    if (isBeyondLimit(request)) {
      connections.close(request.socket, 'tooManyRequestsAhead');
      return;
    }
    if (isBodyRefused(request)) {
      refuseBody(request.socket);
      return;
    }
    connections.remove(request.socket);
    upgrade?.(request, socket, head);
  });
  checkWhileListening(server, connections);
  return server;
}

/** A request at which the parser may stop. */
interface CheckedRequest extends IncomingMessage {
  /** Whether it is past the limit of its connection. */
  readonly isBeyondLimit: boolean;
  /** Whether it has a body, and the server takes none. */
  readonly isBodyRefused: boolean;
}

function isBeyondLimit(request: IncomingMessage): boolean {
  return (request as CheckedRequest).isBeyondLimit;
}

function isBodyRefused(request: IncomingMessage): boolean {
  return (request as CheckedRequest).isBodyRefused;
}

interface MessageOptions {
  readonly connections: ClientConnections;
  readonly slicer: ReadSlicer;
  /** Whether requests for another protocol are passed on as such. */
  readonly allowsUpgrades: boolean;
  readonly takesBodies: boolean;
}

/** Classes of the messages of one server, which count each request that is parsed, whoever answers it. */
function createMessageClasses(options: MessageOptions) {
  const { connections, slicer, allowsUpgrades, takesBodies } = options;
  class BoundedRequest extends IncomingMessage implements CheckedRequest {
    readonly isBeyondLimit: boolean;
    #chunkCount = 0;
    /** Whether the client asks for another protocol; set by the parser, also while the class above is constructed. */
    declare private isUpgradeWanted: boolean | null;

    constructor(socket: Socket) {
      super(socket);
      this.isBeyondLimit = !connections.beginRequest(socket);
    }

    /** Called by the parser with each chunk. */
    override push(chunk: unknown): boolean {
      this.#chunkCount += 1;
      if (this.#chunkCount === expensiveChunks)
        slicer.begin(connections.withoutRequests as Iterable<Socket>);
      return super.push(chunk);
    }

    get isBodyRefused(): boolean {
      return !takesBodies && hasBody(this);
    }

    /** Read by the parser once the head is complete: it stops there if this is true. */
    get upgrade(): boolean {
      if (this.isBeyondLimit || this.isBodyRefused) return true;
      const isWanted = this.isUpgradeWanted === true;
      return isWanted && (allowsUpgrades || this.method === 'CONNECT');
    }

    set upgrade(isWanted: boolean | null) {
      this.isUpgradeWanted = isWanted;
    }
  }

  class BoundedResponse<
    Request extends IncomingMessage = IncomingMessage,
  > extends ServerResponse<Request> {
    constructor(...options: ConstructorParameters<typeof ServerResponse<Request>>) {
      super(...options);
      const [{ socket }] = options;
      connections.addResponse(socket, this);
      this.on('error', ignoreError);
      this.once('close', () => {
        connections.removeResponse(socket, this);
      });
    }
  }
  return { IncomingMessage: BoundedRequest, ServerResponse: BoundedResponse };
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

function refuseBody(socket: Socket): void {
  socket.on('error', ignoreError);
  socket.end('HTTP/1.1 413 Payload Too Large\r\nConnection: close\r\n\r\n', () => socket.destroy());
}

/** A write that races with the close of its connection fails; the close ends the request. */
function ignoreError(): void {
  return undefined;
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
