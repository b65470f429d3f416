import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { closeServer, listenOnLoopback } from '../listenOnLoopback/index.js';

/** What a proxy does to the bytes that pass it. */
export type ProxyMode = 'pass' | 'refuse' | 'dropForward' | 'dropBack' | 'delay';

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** Whether the way has lost track of the connection, so that nothing passes it any more. */
  isForgotten: boolean;
}

/** How long bytes are held back while the mode is `delay`, in milliseconds. */
const delayMs = 150;

/** A way to a port on loopback that can fail as networks do. */
export class FaultProxy implements AsyncDisposable {
  readonly #toPort: number;
  readonly #server: Server;
  readonly #pairs = new Set<Pair>();
  /** All open sockets, also those of forgotten connections whose other end is gone. */
  readonly #sockets = new Set<Socket>();
  #mode: ProxyMode = 'pass';

  constructor(toPort: number) {
    this.#toPort = toPort;
    this.#server = createServer((near) => {
      this.#take(near);
    });
  }

  /** Where it listens; 0 before {@link listen}. */
  get port(): number {
    return (this.#server.address() as AddressInfo | null)?.port ?? 0;
  }

  /** Begins to listen. */
  listen(): Promise<number> {
    return listenOnLoopback(this.#server);
  }

  /** Changes what happens from now on. */
  setMode(mode: ProxyMode): void {
    this.#mode = mode;
  }

  /** Ends all open connections with a reset. */
  reset(): void {
    for (const { near, far } of this.#pairs) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  /** Lets open connections fall silent for good, while new ones work. */
  forget(): void {
    for (const pair of this.#pairs) pair.isForgotten = true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    await closeServer(this.#server);
  }

  #take(near: Socket): void {
    near.on('error', () => undefined);
    if (this.#mode === 'refuse') {
      near.resetAndDestroy();
      return;
    }
    const far = connect(this.#toPort, '127.0.0.1');
    far.on('error', () => undefined);
    const pair: Pair = { near, far, isForgotten: false };
    this.#pairs.add(pair);
    this.#join(pair, near, far, 'dropForward');
    this.#join(pair, far, near, 'dropBack');
  }

  #join(pair: Pair, from: Socket, to: Socket, dropMode: ProxyMode): void {
    from.setNoDelay(true);
    this.#sockets.add(from);
    from.on('data', (bytes) => {
      if (pair.isForgotten || this.#mode === dropMode) return;
      if (this.#mode !== 'delay') to.write(bytes);
      else setTimeout(() => to.write(bytes), delayMs);
    });
    from.on('end', () => {
      if (!pair.isForgotten) to.end();
    });
    from.on('close', () => {
      this.#sockets.delete(from);
      this.#pairs.delete(pair);
      if (!pair.isForgotten) to.destroy();
    });
  }
}
