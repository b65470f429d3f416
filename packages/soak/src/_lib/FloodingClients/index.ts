import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** What each connection of a crowd sends. */
export interface Flood {
  readonly name: string;
  readonly connections: number;
  /** Sent first, once. */
  readonly start: string;
  /** Sent after it, so many times. */
  readonly repeated: string;
  readonly times: number;
}

/** Parts are written in pieces of about this size, in bytes. */
const pieceBytes = 65_536;
/** How long a connection waits at most until all that it sends is taken from it, in milliseconds. */
const maxSendMs = 4_000;

/** A crowd of clients, each of which sends without reading what it gets, and stays connected. */
export class FloodingClients implements Disposable {
  readonly #port: number;
  readonly #sockets: Socket[] = [];
  #isDisposed = false;

  constructor(port: number) {
    this.#port = port;
  }

  /** Number of connections that are open. */
  get openCount(): number {
    return this.#sockets.filter(({ destroyed }) => !destroyed).length;
  }

  /** Sends a flood over new connections; resolves once it is sent, or no more of it is taken. */
  async send(flood: Flood): Promise<void> {
    const pieces = cutIntoPieces(flood);
    const sendings = Array.from({ length: flood.connections }, () => this.#sendOver(pieces));
    await Promise.race([Promise.all(sendings), sleep(maxSendMs)]);
  }

  async #sendOver(pieces: readonly string[]): Promise<void> {
    const socket = connect({ port: this.#port, host: '127.0.0.1' });
    socket.on('error', () => undefined);
    socket.pause();
    this.#sockets.push(socket);
    for (const piece of pieces) {
      if (socket.destroyed || this.#isDisposed) return;
      if (!socket.write(piece)) await untilDrained(socket);
    }
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    for (const socket of this.#sockets) socket.destroy();
  }
}

function cutIntoPieces({ start, repeated, times }: Flood): readonly string[] {
  const perPiece = Math.max(1, Math.floor(pieceBytes / Math.max(1, repeated.length)));
  const pieces = start === '' ? [] : [start];
  for (let sent = 0; sent < times; sent += perPiece)
    pieces.push(repeated.repeat(Math.min(perPiece, times - sent)));
  return pieces;
}

function untilDrained(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const done = () => {
      socket.off('drain', done);
      socket.off('close', done);
      resolve();
    };
    socket.once('drain', done);
    socket.once('close', done);
  });
}
