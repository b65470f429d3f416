/**
 * One connection to an upstream, used by one request at a time.
 */
import { buildConnector, Client } from 'undici';
import { connectTimeoutMs, keepAliveTimeoutMs, maxKeepAliveTimeoutMs } from '../limits/index.js';

/**
 * A connection that is opened by its first request, and reopened by the next one if it was closed.
 */
export class UpstreamConnection {
  readonly client: Client;
  #wasReset = false;

  /** @param address - `IP:PORT` of the upstream */
  constructor(address: string) {
    const connect = buildConnector({ timeout: connectTimeoutMs });
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: keepAliveTimeoutMs,
      keepAliveMaxTimeout: maxKeepAliveTimeoutMs,
      connect: (options, callback) => {
        this.#wasReset = false;
        connect(options, (...result) => {
          const [, socket] = result;
          socket?.once('error', (error: NodeJS.ErrnoException) => {
            // Errors raised by undici itself, including the one for an orderly close, have no
            // `syscall`.
            if (error.syscall !== undefined) this.#wasReset = true;
          });
          callback(...result);
        });
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

  /** Closes the connection immediately. */
  destroy(): void {
    this.client.destroy().catch(() => {
      // The connection is unusable in either case.
    });
  }
}
