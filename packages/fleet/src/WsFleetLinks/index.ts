import {
  bytesInMebibyte,
  ClientConnections,
  createBoundedServer,
  DisposableStore,
  millisecondsInSecond,
  RouterError,
  type ClientCloseReason,
  type ClientLimits,
  type Clock,
  type InstanceId,
  type Log,
  type Metrics,
  type Random,
} from '@acaciacrank/base';
import type { IncomingMessage, Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { WebSocket, WebSocketServer } from 'ws';
import { FleetLinks } from '../FleetLinks/index.js';
import { FrameSocket } from '../_lib/FrameSocket/index.js';
import {
  acceptHandshake,
  initiateHandshake,
  LinkRefusedError,
  type LinkIdentity,
} from '../_lib/handshake/index.js';
import { decodeMessage, encodeFrame } from '../encodeMessage/index.js';
import type { FleetMessage, FleetPeer } from '../types.js';

/** Options of {@link WsFleetLinks}. */
export interface WsFleetLinksOptions extends LinkIdentity {
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Log;
  /** Interval between two pings of a connection, in milliseconds; 1,000 by default. */
  pingMs?: number;
  /**
   * A connection on which nothing is received for this long is terminated, and replaced at the next
   * send, in milliseconds; 3,000 by default.
   */
  silenceMs?: number;
  /** A connection without messages for this long is closed, in milliseconds; 60,000 by default. */
  idleMs?: number;
  /** Timeout for establishing a connection, in milliseconds; 3,000 by default. */
  connectMs?: number;
  /** Returns the key that authenticates this instance to a peer; undefined to use `keys`. */
  keyOf?: (peer: InstanceId) => string | undefined;
  /** Limits of what connections may hold; {@link defaultLinkLimits} by default. */
  limits?: LinkLimits;
  /** Called for each connection that is closed past a limit. */
  onClosed?: (reason: ClientCloseReason) => void;
}

/** Limits of the connections that others open. */
export interface LinkLimits extends ClientLimits {
  /** Number of connections of authenticated peers. Up to `maxConnections` others may be in their handshake. */
  readonly maxPeers: number;
}

/** Limits for a machine with 256 MiB of memory. */
export const defaultLinkLimits: LinkLimits = {
  maxConnections: 32,
  maxRequestsAhead: 4,
  maxRequests: 32,
  maxHeadBytes: 2 * bytesInMebibyte,
  stallTimeoutMs: 10 * millisecondsInSecond,
  maxPeers: 1_024,
};

/** Timeouts of the HTTP requests that open links, in milliseconds. */
const httpTimeouts = { headersTimeout: 3_000, requestTimeout: 3_000 } as const;
/** What a connection may send before its peer is authenticated, in bytes: some hundred are needed. */
const maxHandshakeBytes = 8_192;

/** Maximum message size, in bytes: fits an object of the store with room to spare. */
const maxMessageBytes = 2 * 1_048_576;
/** Maximum number of messages that wait for a connection to one peer. */
const maxQueuedMessages = 128;
/** Maximum bytes buffered in one connection; beyond that, messages are dropped. */
const maxBufferedBytes = 4 * 1_048_576;
/** Bounds of the exponential back-off between connection attempts, in milliseconds. */
const backOffMs = { initial: 100, max: 1_000 };
/** HTTP status for a request at the port of links that opens none. */
const upgradeRequiredStatus = 426;
/** WebSocket close code for a peer that failed authentication. */
const refusedCloseCode = 4_401;

/** A peer with its send queue and its current connection. */
interface Peer {
  readonly id: InstanceId;
  url: string | undefined;
  readonly queue: Uint8Array[];
  /** The latest connection with a completed handshake, whichever side opened it. */
  socket: FrameSocket | undefined;
  /** Wakes the connection task of the peer. */
  wake: () => void;
  isStopped: boolean;
}

/**
 * Links over WebSockets, with one task per peer that connects when messages are queued.
 *
 * Connections are opened on demand and closed when idle, so that their number depends on how many
 * peers this instance exchanges messages with and not on the size of the fleet.
 */
export class WsFleetLinks extends FleetLinks implements AsyncDisposable {
  readonly #options: Required<WsFleetLinksOptions>;
  readonly #peers = new Map<InstanceId, Peer>();
  readonly #sockets = new Set<FrameSocket>();
  /** Connections whose peers are not authenticated yet, the oldest first. */
  readonly #handshakes = new Set<FrameSocket>();
  /** Number of connections of authenticated peers that they have opened. */
  #acceptedPeerCount = 0;
  readonly #owned = new DisposableStore();
  readonly #stop = new AbortController();

  constructor(options: WsFleetLinksOptions) {
    super();
    this.#options = {
      pingMs: 1_000,
      silenceMs: 3_000,
      idleMs: 60_000,
      connectMs: 3_000,
      keyOf: () => undefined,
      limits: defaultLinkLimits,
      onClosed: () => undefined,
      ...options,
    };
  }

  /**
   * Listens for peers.
   *
   * @param address - an IP address, and a port or 0 for any free port
   * @returns the port it listens on
   * @throws Error when the address is in use
   */
  async listen(address: { ip: string; port: number }): Promise<number> {
    const webSockets = new WebSocketServer({
      noServer: true,
      maxPayload: maxMessageBytes,
      perMessageDeflate: false,
    });
    webSockets.on('connection', (socket, request) => {
      this.#accept(this.#createFrameSocket(socket), request.socket);
    });
    const server = this.#createServer(webSockets);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(address.port, address.ip, resolve);
    });
    server.on('error', (error) => {
      this.#options.log.warn({ err: error }, 'fleet port failed');
    });
    this.#owned.add({
      [Symbol.asyncDispose]: () =>
        new Promise<void>((resolve) => {
          for (const client of webSockets.clients) client.terminate();
          server.close(() => {
            resolve();
          });
          server.closeAllConnections();
        }),
    });
    return (server.address() as AddressInfo).port;
  }

  override send(to: InstanceId, message: FleetMessage): void {
    const peer = this.#getOrAddPeer(to);
    const frame = this.#encode(message);
    if (frame === undefined) return;
    if (peer.socket?.isOpen === true) this.#sendNow(peer.socket, frame);
    else if (peer.queue.length >= maxQueuedMessages)
      this.#count('linkMessagesDropped', 'queueFull');
    else if (peer.url === undefined) this.#count('linkMessagesDropped', 'noAddress');
    else {
      peer.queue.push(frame);
      peer.wake();
    }
  }

  /** Guards against a value from outside, nested too deeply to be encoded, that ends the process of whoever passes it on. */
  #encode(message: FleetMessage): Uint8Array | undefined {
    try {
      return encodeFrame(message);
    } catch {
      this.#count('linkMessagesDropped', 'unencodable');
      return undefined;
    }
  }

  override setPeers(peers: readonly FleetPeer[]): void {
    const listedIds = new Set(peers.map(({ id }) => id));
    for (const { id, fleetUrl } of peers) {
      if (id === this.#options.instanceId) continue;
      const peer = this.#getOrAddPeer(id);
      if (peer.url !== undefined && peer.url !== fleetUrl) peer.socket?.[Symbol.dispose]();
      peer.url = fleetUrl;
    }
    for (const peer of this.#peers.values()) {
      // Peers that connected without having been listed are kept, since the list may lag.
      if (!listedIds.has(peer.id) && peer.url !== undefined) this.#removePeer(peer);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    for (const peer of this.#peers.values()) this.#removePeer(peer);
    for (const socket of this.#sockets) socket[Symbol.dispose]();
    await this.#owned.dispose();
  }

  #getOrAddPeer(id: InstanceId): Peer {
    const known = this.#peers.get(id);
    if (known !== undefined) return known;
    const peer: Peer = {
      id,
      url: undefined,
      queue: [],
      socket: undefined,
      wake: () => undefined,
      isStopped: false,
    };
    this.#peers.set(id, peer);
    void this.#runPeer(peer);
    return peer;
  }

  #removePeer(peer: Peer): void {
    this.#peers.delete(peer.id);
    peer.isStopped = true;
    peer.socket?.[Symbol.dispose]();
    peer.wake();
  }

  /** Connects to one peer while messages are queued, with jittered exponential back-off. */
  async #runPeer(peer: Peer): Promise<void> {
    const { clock, random } = this.#options;
    let failures = 0;
    while (!peer.isStopped) {
      if (peer.queue.length === 0 || peer.url === undefined || peer.socket?.isOpen === true) {
        await new Promise<void>((resolve) => {
          peer.wake = resolve;
        });
        continue;
      }
      const isConnected = await this.#connect(peer, peer.url);
      failures = isConnected ? 0 : failures + 1;
      if (isConnected) continue;
      // Queued messages are outdated once the peer is back; heartbeats and requests are created
      // again.
      this.#count('linkMessagesDropped', 'unreachable', peer.queue.length);
      peer.queue.length = 0;
      const delayMs = Math.min(backOffMs.max, backOffMs.initial * 2 ** Math.min(failures, 10));
      await clock.sleep(delayMs * (0.5 + random() / 2), this.#stop.signal);
    }
  }

  async #connect(peer: Peer, url: string): Promise<boolean> {
    const socket = new WebSocket(url, {
      maxPayload: maxMessageBytes,
      perMessageDeflate: false,
      handshakeTimeout: this.#options.connectMs,
    });
    const frameSocket = this.#createFrameSocket(socket);
    try {
      await waitUntilOpen(socket);
      const key = this.#options.keyOf(peer.id);
      const identity = { ...this.#options, ...(key === undefined ? {} : { keys: [key] }) };
      await initiateHandshake(frameSocket, identity, peer.id, this.#options.clock);
    } catch (error) {
      this.#closeFailedConnection(frameSocket, error);
      return false;
    }
    this.#setConnection(peer, frameSocket);
    void this.#readMessages(peer.id, frameSocket);
    return true;
  }

  /** Creates the server on which peers open links; any other request is answered that it should be one. */
  #createServer(webSockets: WebSocketServer): Server {
    const connections = new ClientConnections(this.#options);
    return createBoundedServer(
      {
        connections,
        server: httpTimeouts,
        takesBodies: false,
        upgrade: (request: IncomingMessage, socket, head) => {
          webSockets.handleUpgrade(request, socket, head, (webSocket) => {
            webSockets.emit('connection', webSocket, request);
          });
        },
      },
      (_request, response) => {
        response.writeHead(upgradeRequiredStatus, { connection: 'close' }).end();
      },
    );
  }

  /** Closes the oldest connection in its handshake if there are too many: that of a peer takes some milliseconds. */
  #accept(frameSocket: FrameSocket, socket: Socket): void {
    const { limits, onClosed } = this.#options;
    const [oldest] = this.#handshakes;
    if (oldest !== undefined && this.#handshakes.size >= limits.maxConnections) {
      onClosed('tooManyConnections');
      oldest[Symbol.dispose]();
      this.#handshakes.delete(oldest);
    }
    if (this.#acceptedPeerCount >= limits.maxPeers) {
      onClosed('tooManyConnections');
      frameSocket[Symbol.dispose]();
      this.#sockets.delete(frameSocket);
      return;
    }
    void this.#acceptConnection(frameSocket, socket);
  }

  /** Performs the handshake on an accepted connection and reads its messages. */
  async #acceptConnection(frameSocket: FrameSocket, socket: Socket): Promise<void> {
    let from: InstanceId;
    this.#handshakes.add(frameSocket);
    const bound = limitReceivedBytes(socket, maxHandshakeBytes, () => {
      this.#options.onClosed('tooManyHeadBytes');
      frameSocket[Symbol.dispose]();
    });
    try {
      from = await acceptHandshake(frameSocket, this.#options, this.#options.clock);
    } catch (error) {
      this.#closeFailedConnection(frameSocket, error);
      return;
    } finally {
      bound[Symbol.dispose]();
      this.#handshakes.delete(frameSocket);
    }
    this.#setConnection(this.#getOrAddPeer(from), frameSocket);
    this.#acceptedPeerCount += 1;
    await this.#readMessages(from, frameSocket);
    this.#acceptedPeerCount -= 1;
  }

  #setConnection(peer: Peer, frameSocket: FrameSocket): void {
    peer.socket = frameSocket;
    for (const frame of peer.queue.splice(0)) this.#sendNow(frameSocket, frame);
  }

  async #readMessages(from: InstanceId, frameSocket: FrameSocket): Promise<void> {
    for (;;) {
      const frame = await frameSocket.next();
      if (frame === undefined) break;
      const message = decodeMessage(frame);
      if (message === undefined) this.#count('linkMessagesRefused', from);
      else this.deliver(message, from);
    }
    this.#sockets.delete(frameSocket);
    frameSocket[Symbol.dispose]();
  }

  #createFrameSocket(socket: WebSocket): FrameSocket {
    const { clock, pingMs, silenceMs, idleMs } = this.#options;
    const onSilent = () => {
      this.#count('linksSilent');
    };
    const frameSocket = new FrameSocket(socket, { clock, pingMs, silenceMs, idleMs, onSilent });
    this.#sockets.add(frameSocket);
    return frameSocket;
  }

  #closeFailedConnection(frameSocket: FrameSocket, error: unknown): void {
    this.#sockets.delete(frameSocket);
    if (error instanceof LinkRefusedError) {
      this.#count('linksRefused', error.code);
      frameSocket.close(refusedCloseCode, error.code);
    } else {
      this.#count('linksFailed', error instanceof RouterError ? error.kind : 'connect');
      frameSocket[Symbol.dispose]();
    }
  }

  /** Drops the message if too much is buffered, so that a slow peer cannot exhaust the memory. */
  #sendNow(socket: FrameSocket, frame: Uint8Array): void {
    if (socket.bufferedBytes > maxBufferedBytes) {
      this.#count('linkMessagesDropped', 'slowPeer');
      return;
    }
    socket.send(frame);
    this.#count('linkMessagesSent');
    this.#count('linkBytesSent', '', frame.length);
  }

  #count(metric: string, series = '', by = 1): void {
    this.#options.metrics.count(metric, series, by);
  }
}

/** Calls back once a socket has received more than some bytes, unless disposed of before. */
function limitReceivedBytes(socket: Socket, maxBytes: number, onExcess: () => void): Disposable {
  const startBytes = socket.bytesRead;
  const check = () => {
    if (socket.bytesRead - startBytes <= maxBytes) return;
    socket.off('data', check);
    onExcess();
  };
  socket.prependListener('data', check);
  return { [Symbol.dispose]: () => void socket.off('data', check) };
}

function waitUntilOpen(socket: WebSocket): Promise<void> {
  return new Promise((resolve, reject) => {
    socket.once('open', resolve);
    socket.once('error', reject);
    socket.once('close', () => {
      reject(new Error('the connection was closed before it opened'));
    });
  });
}
