/**
 * What the connections of clients make a server hold, and which of them are closed when it is too much.
 */
import type { Clock } from '../Clock/index.js';

/** Bounds of what clients can make one server hold. */
export interface ClientLimits {
  /** Number of connections. */
  readonly maxConnections: number;
  /**
   * Number of unanswered requests of one connection; one with a large head counts as several. Also the number of requests
   * in one read of it: they were sent before any of them was answered.
   */
  readonly maxRequestsAhead: number;
  /** Number of unanswered requests of all connections, counted alike. */
  readonly maxRequests: number;
  /** Size of all request heads that have not been received whole, in bytes. */
  readonly maxHeadBytes: number;
  /** How long a client may read nothing of a response that is complete, in milliseconds. */
  readonly stallTimeoutMs: number;
}

/** Names and values of headers of an ordinary request, at most, and their size in characters. */
const ordinaryHead = { headerTexts: 128, characters: 8_192 } as const;

/** After this time in which its client reads nothing, a connection gives way to others, in milliseconds. */
const maxUnreadMs = 1_000;

/** Why the connection of a client was closed. */
export type ClientCloseReason =
  | 'tooManyConnections'
  | 'tooManyRequestsAhead'
  | 'tooManyRequests'
  | 'tooManyHeadBytes'
  | 'tooManyUnparsedBytes'
  | 'responseNotRead';

/** The part of a socket that is needed here. */
export interface ClientSocketLike {
  readonly bytesRead: number;
  readonly bytesWritten: number;
  readonly writableLength: number;
  destroy(): unknown;
}

/** The part of a response that is needed here. */
export interface ClientResponseLike {
  /** Its request: whether that was received whole, its target, and the names and values of its headers. */
  readonly req: {
    readonly complete: boolean;
    readonly url?: string | undefined;
    readonly rawHeaders: readonly string[];
  };
  readonly writableEnded: boolean;
  readonly writableFinished: boolean;
}

/** One connection of a client. */
interface Connection {
  readonly socket: ClientSocketLike;
  /** Responses that are not sent whole, in the order of their requests, and as how many requests those count. */
  readonly responses: Map<ClientResponseLike, number>;
  /** Number of their requests; one with a large head counts as several. */
  requestCount: number;
  /** Bytes that had been read when its last request ended. */
  bytesReadBefore: number;
  /** Bytes that had been read when its last request began, and how many have begun since that read. */
  lastRead: { readonly bytes: number; requestCount: number };
  /** Bytes that had been sent, and since when there are no more, while the client does not read what waits for it. */
  stall: { readonly sentBytes: number; readonly sinceMs: number } | undefined;
  isClosing: boolean;
}

/** Options of {@link ClientConnections}. */
export interface ClientConnectionsOptions {
  readonly limits: ClientLimits;
  readonly clock: Pick<Clock, 'monotonicMs'>;
  /** Called once for each connection that is closed. */
  readonly onClosed: (reason: ClientCloseReason) => void;
}

/**
 * Bounds what the clients of one server hold of its memory and descriptors.
 *
 * Guards against clients that keep no limit: past a bound a connection is closed rather than read later, since what waits
 * in the kernel counts as memory too. Connections whose clients are less likely to wait for anything go first, the oldest of
 * them: without any request, with a request that is not whole, idle, with several unanswered requests, with a response that
 * is not read. So a client with one request at a time is served beside them. Addresses do not count, since many clients
 * may share one.
 *
 * @example
 * connections.add(socket);
 * if (!connections.beginRequest(socket)) connections.close(socket, 'tooManyRequestsAhead');
 */
export class ClientConnections {
  readonly #options: ClientConnectionsOptions;
  readonly #all = new Map<ClientSocketLike, Connection>();
  /** Connections without any request so far, the oldest first. */
  readonly #fresh = new Set<Connection>();
  /** Connections between two requests, the one that has been idle for longest first. */
  readonly #idle = new Set<Connection>();
  /** Connections with unanswered requests. */
  readonly #busy = new Set<Connection>();
  /** Those of them with several, the first to have had them first. */
  readonly #ahead = new Set<Connection>();
  /** Number of connections that are being closed; they are in none of the sets. */
  #closingCount = 0;
  #requestCount = 0;

  constructor(options: ClientConnectionsOptions) {
    this.#options = options;
  }

  get clock(): Pick<Clock, 'monotonicMs'> {
    return this.#options.clock;
  }

  /** Sockets of the connections that have no unanswered request. */
  get withoutRequests(): readonly ClientSocketLike[] {
    return [...this.#withoutRequests()].map(({ socket }) => socket);
  }

  /** Number of connections. */
  get connectionCount(): number {
    return this.#all.size;
  }

  /** Number of requests whose responses are not sent whole. */
  get requestCount(): number {
    return this.#requestCount;
  }

  /** Whether there is room for the requests that have begun; the last one is to be refused otherwise. */
  get hasRoom(): boolean {
    return this.#requestCount <= this.#options.limits.maxRequests;
  }

  /** Adds a connection that was accepted; another one, or this one if all are in use, is closed if there are too many. */
  add(socket: ClientSocketLike): void {
    const { maxConnections } = this.#options.limits;
    if (this.#openCount >= maxConnections) this.#makeRoom();
    const connection: Connection = {
      socket,
      responses: new Map(),
      requestCount: 0,
      bytesReadBefore: socket.bytesRead,
      lastRead: { bytes: socket.bytesRead, requestCount: 0 },
      stall: undefined,
      isClosing: false,
    };
    this.#all.set(socket, connection);
    this.#fresh.add(connection);
    if (this.#openCount > maxConnections) this.#close(connection, 'tooManyConnections');
  }

  /** Removes a connection that is closed. */
  remove(socket: ClientSocketLike): void {
    const connection = this.#all.get(socket);
    if (connection === undefined) return;
    this.#all.delete(socket);
    if (connection.isClosing) this.#closingCount -= 1;
    else this.#removeFromSets(connection);
    this.#countRequests(connection, -connection.requestCount);
    connection.responses.clear();
  }

  /**
   * Records that the head of a request was received.
   *
   * @returns false if its connection is to be closed, since it has sent too many requests ahead
   */
  beginRequest(socket: ClientSocketLike): boolean {
    const connection = this.#all.get(socket);
    if (connection === undefined || connection.isClosing) return false;
    const { maxRequestsAhead } = this.#options.limits;
    if (countInRead(connection) > maxRequestsAhead) return false;
    return connection.requestCount < maxRequestsAhead;
  }

  /** Records the response to a request that has begun. */
  addResponse(socket: ClientSocketLike, response: ClientResponseLike): void {
    const connection = this.#all.get(socket);
    if (connection === undefined) return;
    const count = requestsOf(response);
    connection.responses.set(response, count);
    this.#countRequests(connection, count);
    if (connection.isClosing) return;
    this.#setBusy(connection);
    if (connection.requestCount > 1) this.#ahead.add(connection);
    if (!this.hasRoom) this.#makeRoomForRequest(connection);
  }

  /** Records that a response was sent whole, or is given up. */
  removeResponse(socket: ClientSocketLike, response: ClientResponseLike): void {
    const connection = this.#all.get(socket);
    const count = connection?.responses.get(response);
    if (connection === undefined || count === undefined) return;
    connection.responses.delete(response);
    this.#countRequests(connection, -count);
    connection.stall = undefined;
    if (connection.isClosing) return;
    if (connection.requestCount <= 1) this.#ahead.delete(connection);
    if (connection.responses.size > 0) return;
    connection.bytesReadBefore = socket.bytesRead;
    this.#busy.delete(connection);
    this.#idle.add(connection);
  }

  /** Responses of a connection that are not sent whole. */
  responsesOf(socket: ClientSocketLike): readonly ClientResponseLike[] {
    return [...(this.#all.get(socket)?.responses.keys() ?? [])];
  }

  /** Closes a connection for a reason. */
  close(socket: ClientSocketLike, reason: ClientCloseReason): void {
    const connection = this.#all.get(socket);
    if (connection !== undefined) this.#close(connection, reason);
  }

  /** Closes connections whose clients do not read, and those with the most of a head if all heads are too large. */
  check(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const connection of this.#busy) this.#checkStall(connection, nowMs);
    this.#checkHeads();
  }

  #countRequests(connection: Connection, count: number): void {
    if (connection.isClosing) return;
    connection.requestCount += count;
    this.#requestCount += count;
  }

  #setBusy(connection: Connection): void {
    this.#fresh.delete(connection);
    this.#idle.delete(connection);
    this.#busy.add(connection);
  }

  #makeRoom(): void {
    const victim =
      firstOf(this.#fresh) ??
      this.#findReceiving() ??
      firstOf(this.#idle) ??
      firstOf(this.#ahead) ??
      this.#findUnread();
    if (victim !== undefined) this.#close(victim, 'tooManyConnections');
  }

  /** If there is no other connection to close, only the last request is refused. */
  #makeRoomForRequest(last: Connection): void {
    const victim = firstOf(this.#ahead) ?? this.#findReceiving() ?? this.#findUnread();
    if (victim !== undefined && victim !== last) this.#close(victim, 'tooManyRequests');
  }

  /** Returns the oldest connection with a request that is not whole. */
  #findReceiving(): Connection | undefined {
    for (const connection of this.#busy) {
      for (const { req } of connection.responses.keys()) if (!req.complete) return connection;
    }
    return undefined;
  }

  /** Returns the oldest connection whose client has read nothing for a while of what waits for it. */
  #findUnread(): Connection | undefined {
    const sinceMs = this.#options.clock.monotonicMs() - maxUnreadMs;
    for (const connection of this.#busy)
      if ((connection.stall?.sinceMs ?? Infinity) <= sinceMs) return connection;
    return undefined;
  }

  /** Whoever writes a response that is not complete has a time limit of its own. */
  #checkStall(connection: Connection, nowMs: number): void {
    const { socket, responses, stall } = connection;
    if (socket.writableLength === 0) {
      connection.stall = undefined;
      return;
    }
    const sentBytes = socket.bytesWritten - socket.writableLength;
    if (stall?.sentBytes !== sentBytes) {
      connection.stall = { sentBytes, sinceMs: nowMs };
      return;
    }
    const [response] = responses.keys();
    const isComplete = response?.writableEnded === true && !response.writableFinished;
    if (isComplete && nowMs - stall.sinceMs >= this.#options.limits.stallTimeoutMs)
      this.#close(connection, 'responseNotRead');
  }

  #checkHeads(): void {
    const { maxHeadBytes } = this.#options.limits;
    let totalBytes = 0;
    for (const connection of this.#withoutRequests()) totalBytes += headBytesOf(connection);
    if (totalBytes <= maxHeadBytes) return;
    for (const connection of [...this.#withoutRequests()]) {
      const headBytes = headBytesOf(connection);
      if (headBytes > 0) this.#close(connection, 'tooManyHeadBytes');
      totalBytes -= headBytes;
      if (totalBytes <= maxHeadBytes) return;
    }
  }

  *#withoutRequests(): Iterable<Connection> {
    yield* this.#fresh;
    yield* this.#idle;
  }

  get #openCount(): number {
    return this.#all.size - this.#closingCount;
  }

  /** Its requests leave room at once for the one for which it gives way: they end in the same turn of the event loop. */
  #close(connection: Connection, reason: ClientCloseReason): void {
    if (connection.isClosing) return;
    this.#countRequests(connection, -connection.requestCount);
    connection.isClosing = true;
    this.#closingCount += 1;
    this.#removeFromSets(connection);
    this.#options.onClosed(reason);
    connection.socket.destroy();
  }

  #removeFromSets(connection: Connection): void {
    this.#fresh.delete(connection);
    this.#idle.delete(connection);
    this.#busy.delete(connection);
    this.#ahead.delete(connection);
  }
}

/**
 * Counts a request that begins, and returns how many have begun in the same read.
 *
 * Guards against requests that are answered while the rest of their read is parsed: however few of them are unanswered at
 * a time, hundreds keep all other clients waiting.
 */
function countInRead(connection: Connection): number {
  const { bytesRead } = connection.socket;
  if (connection.lastRead.bytes !== bytesRead)
    connection.lastRead = { bytes: bytesRead, requestCount: 0 };
  connection.lastRead.requestCount += 1;
  return connection.lastRead.requestCount;
}

/** Guards against requests with thousands of headers, or large ones, each of which holds as much as many ordinary ones. */
function requestsOf({ req: { url = '', rawHeaders } }: ClientResponseLike): number {
  let characters = url.length;
  for (const text of rawHeaders) characters += text.length;
  return Math.max(
    1,
    Math.ceil(rawHeaders.length / ordinaryHead.headerTexts),
    Math.ceil(characters / ordinaryHead.characters),
  );
}

/** Bytes of a head that is not complete, at most. */
function headBytesOf({ socket, bytesReadBefore }: Connection): number {
  return socket.bytesRead - bytesReadBefore;
}

function firstOf(connections: ReadonlySet<Connection>): Connection | undefined {
  const [first] = connections;
  return first;
}
