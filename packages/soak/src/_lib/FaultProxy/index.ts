import { connect, createServer, type Server, type Socket } from 'node:net';
import { closeServer, listenOnLoopback } from '../listenOnLoopback/index.js';

/**
 * What a proxy does with connections and data: forward them, refuse new connections, drop the data to
 * the target (`dropForward`) or from it (`dropBack`), or delay the data in both directions.
 */
export type ProxyMode = 'pass' | 'refuse' | 'dropForward' | 'dropBack' | 'delay';

interface ProxiedConnection {
  readonly clientSocket: Socket;
  readonly targetSocket: Socket;
  /** Whether data and closes are no longer forwarded, as if the network had lost the connection's state. */
  isSilenced: boolean;
}

/** Delay of data in the mode `delay`. */
const delayMs = 150;

/** TCP proxy to a loopback port that simulates network faults. */
export class FaultProxy implements AsyncDisposable {
  readonly #targetPort: number;
  readonly #server: Server;
  readonly #connections = new Set<ProxiedConnection>();
  /** All open sockets, including those of silenced connections whose other socket is closed. */
  readonly #sockets = new Set<Socket>();
  #mode: ProxyMode = 'pass';
  /** Number of calls of {@link hold} that have not been released. */
  #holds = 0;
  #port = 0;
  #isDisposed = false;

  constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer((clientSocket) => {
      this.#accept(clientSocket);
    });
  }

  /** Port that the proxy listens on; 0 before {@link listen}. */
  get port(): number {
    return this.#port;
  }

  /** Starts listening on a free port and returns the port. */
  async listen(): Promise<number> {
    this.#port = await listenOnLoopback(this.#server);
    return this.#port;
  }

  /** Resets all connections and refuses new ones, as after the end of the target's process. */
  goDown(): void {
    this.reset();
    this.#server.close();
  }

  /** Listens again on the same port, unless it is disposed of. */
  comeBack(): void {
    if (!this.#isDisposed && !this.#server.listening) this.#server.listen(this.#port, '127.0.0.1');
  }

  /** Changes the mode, also for open connections. */
  setMode(mode: ProxyMode): void {
    this.#mode = mode;
  }

  /** Keeps all connections open, new ones included, and reads and writes nothing until it is released as often. */
  hold(): void {
    this.#holds += 1;
    for (const socket of this.#sockets) socket.pause();
  }

  /** Goes on after {@link hold}; what was sent meanwhile is forwarded. */
  release(): void {
    this.#holds -= 1;
    if (this.#holds > 0) return;
    for (const socket of this.#sockets) socket.resume();
  }

  /** Closes all open connections with a TCP reset. */
  reset(): void {
    for (const { clientSocket, targetSocket } of this.#connections) {
      clientSocket.resetAndDestroy();
      targetSocket.resetAndDestroy();
    }
  }

  /** Permanently stops forwarding on the open connections; new ones work. */
  silenceConnections(): void {
    for (const connection of this.#connections) connection.isSilenced = true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#isDisposed = true;
    for (const socket of this.#sockets) socket.destroy();
    await closeServer(this.#server);
  }

  #accept(clientSocket: Socket): void {
    clientSocket.on('error', () => undefined);
    if (this.#mode === 'refuse') {
      clientSocket.resetAndDestroy();
      return;
    }
    const targetSocket = connect(this.#targetPort, '127.0.0.1');
    targetSocket.on('error', () => undefined);
    const connection: ProxiedConnection = {
      clientSocket,
      targetSocket,
      isSilenced: false,
    };
    this.#connections.add(connection);
    this.#relay(connection, clientSocket, targetSocket, 'dropForward');
    this.#relay(connection, targetSocket, clientSocket, 'dropBack');
  }

  #relay(connection: ProxiedConnection, from: Socket, to: Socket, dropMode: ProxyMode): void {
    from.setNoDelay(true);
    this.#sockets.add(from);
    if (this.#holds > 0) from.pause();
    from.on('data', (bytes) => {
      if (connection.isSilenced || this.#mode === dropMode) return;
      if (this.#mode !== 'delay') to.write(bytes);
      else setTimeout(() => to.write(bytes), delayMs);
    });
    from.on('end', () => {
      if (!connection.isSilenced) to.end();
    });
    from.on('close', () => {
      this.#sockets.delete(from);
      this.#connections.delete(connection);
      if (!connection.isSilenced) to.destroy();
    });
  }
}
