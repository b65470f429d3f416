/**
 * One connection to an upstream, used by one request at a time.
 */
import { ConnectTimeoutError, type Clock } from '@acaciacrank/base';
import type { Socket } from 'node:net';
import { Client } from 'undici';
import { connectTimeoutMs, keepAliveTimeoutMs, maxKeepAliveTimeoutMs } from '../limits/index.js';
import { AbortedError } from '../AbortedError/index.js';
import { MeteredSocket } from '../MeteredSocket/index.js';

/**
 * Maximum size of header fields for the HTTP client, in bytes: more than whoever counts the bytes allows. The client
 * creates an error for each further field, which takes much processor time.
 */
const maxHeaderFieldBytes = 131_072;
/** Maximum number of bytes on a connection while no request is in progress. */
const maxIdleBytes = 1_024;

/** Gets news of a connection. */
export interface ConnectionListener {
  /** Called when it came about, or did not. */
  readonly onConnect?: (isConnected: boolean) => void;
  /** Called when the other end has closed it, in good order or not. */
  readonly onClosedByPeer?: () => void;
}

/**
 * A connection that is opened by its first request, and reopened by the next one if it was closed.
 */
export class UpstreamConnection {
  readonly client: Client;
  readonly #clock: Clock;
  readonly #address: string;
  readonly #listener: ConnectionListener;
  #wasReset = false;
  #socket: Socket | undefined;
  #openCount = 0;
  /** Opened ahead of the request that is to use it. */
  #openedSocket: Socket | undefined;
  /** Whether a request has ended since it was opened. */
  #hasServed = false;
  /** Number of bytes that came while no request was in progress. */
  #idleBytes = 0;
  #onRead: ((bytes: number) => void) | undefined;

  /**
   * @param clock - measures the time to connect
   * @param address - `IP:PORT` of the upstream
   * @param listener - gets news of it
   */
  constructor(clock: Clock, address: string, listener: ConnectionListener = {}) {
    this.#clock = clock;
    this.#address = address;
    this.#listener = listener;
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: maxHeaderFieldBytes,
      keepAliveTimeout: keepAliveTimeoutMs,
      keepAliveMaxTimeout: maxKeepAliveTimeoutMs,
      connect: (_options, callback) => {
        this.#takeOpened().then(
          (socket) => {
            callback(null, socket);
          },
          (error: unknown) => {
            callback(error as Error, null);
          },
        );
      },
    });
  }

  /**
   * Whether the operating system closed the connection with an error.
   *
   * Guards against a truncated response that looks complete: for a body without a length, which
   * ends when the connection is closed, undici treats a reset like an orderly close. An orderly
   * close does not set this flag.
   */
  get wasReset(): boolean {
    return this.#wasReset;
  }

  /** Whether it is open. */
  get isOpen(): boolean {
    return this.#socket !== undefined && !this.#socket.destroyed && !this.#socket.readableEnded;
  }

  /** Whether its end is that of a response without length or chunks, and no sign of the end of the upstream. */
  isEndExpected = false;

  /** How often it was opened: the same number means the same process at the other end. */
  get openCount(): number {
    return this.#openCount;
  }

  /** Whether the request in progress is the first one since the connection was opened. */
  get isFirstRequest(): boolean {
    return !this.#hasServed;
  }

  /**
   * Reports bytes of the response to a request, those of its framing included, once they have been parsed.
   *
   * @param onRead - called for each read, with the number of bytes
   * @returns ends the reports
   */
  watch(onRead: (bytes: number) => void): Disposable {
    this.#onRead = onRead;
    this.#idleBytes = 0;
    return {
      [Symbol.dispose]: () => {
        this.#onRead = undefined;
        this.#hasServed = true;
      },
    };
  }

  /**
   * Opens it for the next request, which is written at once then.
   *
   * @param signal - ends the attempt to open it
   * @throws the connection's error, or one that reports the end of the attempt; no byte has been sent then
   */
  async open(signal: AbortSignal): Promise<void> {
    this.#openedSocket = await this.#open(signal);
  }

  /** Closes what is open; the next request opens it anew. */
  reset(): void {
    this.#socket?.destroy();
  }

  /** Closes the connection immediately, for good. */
  destroy(): void {
    this.#openedSocket?.destroy();
    this.client.destroy().catch(() => {
      // The connection is unusable in either case.
    });
  }

  /** Returns the socket that was opened ahead, if it is still open, or a new one. */
  #takeOpened(): Promise<Socket> {
    const opened = this.#openedSocket;
    this.#openedSocket = undefined;
    return opened === undefined || opened.destroyed ? this.#open() : Promise.resolve(opened);
  }

  /** Opens the connection; the timer of undici's own connector is up to half a second late. */
  #open(signal?: AbortSignal): Promise<Socket> {
    this.#wasReset = false;
    this.isEndExpected = false;
    const [host = '', port = ''] = this.#address.split(':');
    return new Promise((resolve, reject) => {
      const socket: Socket = new MeteredSocket((bytes) => {
        this.#countParsed(socket, bytes);
      });
      socket
        .setNoDelay(true)
        .setKeepAlive(true)
        .connect({ host, port: Number(port) });
      const timer = this.#clock.scheduleActive(connectTimeoutMs, () => {
        socket.destroy(new ConnectTimeoutError(this.#address, connectTimeoutMs));
      });
      const onAbort = () => {
        socket.destroy(new AbortedError(false));
      };
      signal?.addEventListener('abort', onAbort, { once: true });
      socket.once('connect', () => {
        timer[Symbol.dispose]();
        signal?.removeEventListener('abort', onAbort);
        this.#socket = socket;
        this.#openCount += 1;
        this.#hasServed = false;
        this.#listener.onConnect?.(true);
        resolve(socket);
      });
      socket.once('end', () => {
        if (!this.isEndExpected) this.#listener.onClosedByPeer?.();
      });
      socket.once('error', (error: NodeJS.ErrnoException) => {
        timer[Symbol.dispose]();
        // Errors raised by undici itself, including the one for an orderly close, have no
        // `syscall`.
        if (error.syscall !== undefined) this.#wasReset = true;
        if (error.syscall === 'connect') this.#listener.onConnect?.(false);
        else if (error.syscall !== undefined) this.#listener.onClosedByPeer?.();
        reject(error);
      });
    });
  }

  /** Guards against bytes without end after a response, which the parser skips if they are empty lines. */
  #countParsed(socket: Socket, bytes: number): void {
    if (this.#onRead !== undefined) {
      this.#onRead(bytes);
      return;
    }
    this.#idleBytes += bytes;
    if (this.#idleBytes > maxIdleBytes) socket.destroy();
  }
}
