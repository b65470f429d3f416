import {
  DisposableStore,
  RouterError,
  type Clock,
  type InstanceId,
  type Log,
  type Metrics,
  type Random,
} from '@acaciacrank/base';
import type { AddressInfo } from 'node:net';
import { WebSocket, WebSocketServer } from 'ws';
import { FleetLinks } from '../FleetLinks/index.js';
import { FrameSocket } from '../_lib/FrameSocket/index.js';
import { accept, initiate, LinkRefusal, type LinkIdentity } from '../_lib/handshake/index.js';
import { decodeMessage, encodeFrame } from '../encodeMessage/index.js';
import type { FleetMessage, FleetPeer } from '../types.js';

/** Options of {@link WsFleetLinks}. */
export interface WsFleetLinksOptions extends LinkIdentity {
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Log;
  /** Time between two pings of a connection, in milliseconds. */
  pingMs?: number;
  /** A connection on which nothing was heard for so long is replaced, in milliseconds. */
  silenceMs?: number;
  /** A connection on which nothing was said for so long is closed, in milliseconds. */
  idleMs?: number;
  /** How long a connection may take to come about, in milliseconds. */
  connectMs?: number;
  /** The key that proves this instance to a peer; where there is none, this instance's own do. */
  keyOf?: (peer: InstanceId) => string | undefined;
}

/** The largest message, in bytes: an object of the store and some room. */
const maxMessageBytes = 2 * 1_048_576;
/** How many messages wait for a connection to one peer. */
const maxQueuedMessages = 128;
/** Bytes that may wait in one connection before messages are dropped. */
const maxBufferedBytes = 4 * 1_048_576;
/** Connections that others may hold open to this instance. */
const maxAcceptedConnections = 1_024;
/** Bounds of the wait before a connection is tried again, in milliseconds. */
const backOffMs = { first: 100, most: 1_000 };
/** Close code for a peer that was refused. */
const refusedCode = 4_401;

/** One peer: what waits to be sent to it, and the connection that it goes over. */
interface Peer {
  readonly id: InstanceId;
  url: string | undefined;
  readonly queue: Uint8Array[];
  /** The newest connection with a finished handshake, whichever side opened it. */
  socket: FrameSocket | undefined;
  /** Wakes the task of the peer. */
  wake: () => void;
  isStopped: boolean;
}

/**
 * Links over WebSockets: one task a peer, which connects when there is something to say.
 *
 * Connections are opened on demand and closed when idle, so that their number follows whom this
 * instance speaks to and not the size of the fleet.
 */
export class WsFleetLinks extends FleetLinks implements AsyncDisposable {
  readonly #options: Required<WsFleetLinksOptions>;
  readonly #peers = new Map<InstanceId, Peer>();
  readonly #sockets = new Set<FrameSocket>();
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
      ...options,
    };
  }

  /**
   * Listens for peers.
   *
   * @param address - an IP number, and a port or 0
   * @returns the port
   * @throws Error when the address is in use
   */
  async listen(address: { ip: string; port: number }): Promise<number> {
    const server = new WebSocketServer({
      host: address.ip,
      port: address.port,
      maxPayload: maxMessageBytes,
      perMessageDeflate: false,
    });
    server.on('connection', (socket) => {
      if (server.clients.size > maxAcceptedConnections) socket.terminate();
      else void this.#takeConnection(this.#frames(socket));
    });
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    server.on('error', (error) => {
      this.#options.log.warn({ err: error }, 'fleet port failed');
    });
    this.#owned.add({
      [Symbol.asyncDispose]: () =>
        new Promise<void>((resolve) => {
          for (const client of server.clients) client.terminate();
          server.close(() => {
            resolve();
          });
        }),
    });
    return (server.address() as AddressInfo).port;
  }

  override send(to: InstanceId, message: FleetMessage): void {
    const peer = this.#peerOf(to);
    const frame = encodeFrame(message);
    if (peer.socket?.isOpen === true) this.#sendNow(peer.socket, frame);
    else if (peer.queue.length >= maxQueuedMessages)
      this.#count('linkMessagesDropped', 'queueFull');
    else if (peer.url === undefined) this.#count('linkMessagesDropped', 'noAddress');
    else {
      peer.queue.push(frame);
      peer.wake();
    }
  }

  override setPeers(peers: readonly FleetPeer[]): void {
    const named = new Set(peers.map(({ id }) => id));
    for (const { id, fleetUrl } of peers) {
      if (id === this.#options.instanceId) continue;
      const peer = this.#peerOf(id);
      if (peer.url !== undefined && peer.url !== fleetUrl) peer.socket?.[Symbol.dispose]();
      peer.url = fleetUrl;
    }
    for (const peer of this.#peers.values()) {
      // A peer that connected from outside the list stays: the list may lag behind it.
      if (!named.has(peer.id) && peer.url !== undefined) this.#forget(peer);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    for (const peer of this.#peers.values()) this.#forget(peer);
    for (const socket of this.#sockets) socket[Symbol.dispose]();
    await this.#owned.dispose();
  }

  #peerOf(id: InstanceId): Peer {
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

  #forget(peer: Peer): void {
    this.#peers.delete(peer.id);
    peer.isStopped = true;
    peer.socket?.[Symbol.dispose]();
    peer.wake();
  }

  /** The task of one peer: connects while something waits, with growing jittered pauses. */
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
      // What waited is old by the time the peer is back; heartbeats and questions are made anew.
      this.#count('linkMessagesDropped', 'unreachable', peer.queue.length);
      peer.queue.length = 0;
      const pauseMs = Math.min(backOffMs.most, backOffMs.first * 2 ** Math.min(failures, 10));
      await clock.sleep(pauseMs * (0.5 + random() / 2), this.#stop.signal);
    }
  }

  async #connect(peer: Peer, url: string): Promise<boolean> {
    const socket = new WebSocket(url, {
      maxPayload: maxMessageBytes,
      perMessageDeflate: false,
      handshakeTimeout: this.#options.connectMs,
    });
    const frames = this.#frames(socket);
    try {
      await opened(socket);
      const key = this.#options.keyOf(peer.id);
      const identity = { ...this.#options, ...(key === undefined ? {} : { keys: [key] }) };
      await initiate(frames, identity, peer.id, this.#options.clock);
    } catch (error) {
      this.#refuse(frames, error);
      return false;
    }
    this.#adopt(peer, frames);
    void this.#readFrom(peer.id, frames);
    return true;
  }

  /** The task of one accepted connection. */
  async #takeConnection(frames: FrameSocket): Promise<void> {
    let from: InstanceId;
    try {
      from = await accept(frames, this.#options, this.#options.clock);
    } catch (error) {
      this.#refuse(frames, error);
      return;
    }
    this.#adopt(this.#peerOf(from), frames);
    await this.#readFrom(from, frames);
  }

  #adopt(peer: Peer, frames: FrameSocket): void {
    peer.socket = frames;
    for (const frame of peer.queue.splice(0)) this.#sendNow(frames, frame);
  }

  async #readFrom(from: InstanceId, frames: FrameSocket): Promise<void> {
    for (;;) {
      const frame = await frames.next();
      if (frame === undefined) break;
      const message = decodeMessage(frame);
      if (message === undefined) this.#count('linkMessagesRefused', from);
      else this.deliver(message, from);
    }
    this.#sockets.delete(frames);
    frames[Symbol.dispose]();
  }

  #frames(socket: WebSocket): FrameSocket {
    const { clock, pingMs, silenceMs, idleMs } = this.#options;
    const onSilent = () => {
      this.#count('linksSilent');
    };
    const frames = new FrameSocket(socket, { clock, pingMs, silenceMs, idleMs, onSilent });
    this.#sockets.add(frames);
    return frames;
  }

  #refuse(frames: FrameSocket, error: unknown): void {
    this.#sockets.delete(frames);
    if (error instanceof LinkRefusal) {
      this.#count('linksRefused', error.code);
      frames.close(refusedCode, error.code);
    } else {
      this.#count('linksFailed', error instanceof RouterError ? error.kind : 'connect');
      frames[Symbol.dispose]();
    }
  }

  /** Drops rather than waits: a peer that reads slowly must not hold this instance's memory. */
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

function opened(socket: WebSocket): Promise<void> {
  return new Promise((resolve, reject) => {
    socket.once('open', resolve);
    socket.once('error', reject);
    socket.once('close', () => {
      reject(new Error('the connection was closed'));
    });
  });
}
