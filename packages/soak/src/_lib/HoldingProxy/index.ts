import { connect, createServer, type Server, type Socket } from 'node:net';
import { closeServer, listenOnLoopback } from '../listenOnLoopback/index.js';

/** One direction of a connection. */
class HeldBytes {
  readonly #to: Socket;
  #chunks: Buffer[] = [];
  #isEnded = false;
  /** Whether bytes were read in this turn of the event loop. */
  #hasJustRead = false;

  constructor(from: Socket, to: Socket, isHeld: () => boolean) {
    this.#to = to;
    from.on('data', (bytes: Buffer) => {
      this.#chunks.push(bytes);
      this.#hasJustRead = true;
      setImmediate(() => {
        this.#hasJustRead = false;
      });
      if (!isHeld()) this.release();
    });
    from.on('end', () => {
      // Libuv reads an end in good order in a later turn than the bytes before it, and reports a reset as an end
      // in the same turn if it finds both at once.
      this.#isEnded = !this.#hasJustRead;
      if (!this.#isEnded) this.#drop();
      else if (!isHeld()) this.release();
    });
    from.on('error', () => {
      this.#drop();
    });
  }

  #drop(): void {
    this.#chunks = [];
    this.#to.resetAndDestroy();
  }

  release(): void {
    for (const bytes of this.#chunks.splice(0)) this.#to.write(bytes);
    if (this.#isEnded) this.#to.end();
  }
}

/**
 * Proxy that holds bytes back for a while, as the buffers of two kernels do whose way to each other is cut: what was
 * sent is delivered before the end of its connection, but for a reset, which drops it.
 *
 * @example
 * proxy.hold();
 * proxy.release();
 */
export class HoldingProxy implements AsyncDisposable {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #directions = new Set<HeldBytes>();
  #isHeld = false;

  /** @param targetPort - where its connections lead */
  constructor(targetPort: number) {
    this.#server = createServer({ allowHalfOpen: true }, (client) => {
      const target = connect({ host: '127.0.0.1', port: targetPort, allowHalfOpen: true });
      for (const socket of [client, target]) {
        this.#sockets.add(socket);
        socket.setNoDelay(true);
        socket.on('close', () => this.#sockets.delete(socket));
      }
      this.#join(client, target);
      this.#join(target, client);
    });
  }

  /** Starts listening on a free port and returns the port. */
  listen(): Promise<number> {
    return listenOnLoopback(this.#server);
  }

  /** Holds back what is sent from now on, in both directions. */
  hold(): void {
    this.#isHeld = true;
  }

  /** Delivers what was held back. */
  release(): void {
    this.#isHeld = false;
    for (const direction of this.#directions) direction.release();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    await closeServer(this.#server);
  }

  #join(from: Socket, to: Socket): void {
    const direction = new HeldBytes(from, to, () => this.#isHeld);
    this.#directions.add(direction);
    from.on('close', () => this.#directions.delete(direction));
  }
}
