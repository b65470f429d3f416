/**
 * One connection to an upstream, for one request at a time.
 */
import { buildConnector, Client } from 'undici';
import { connectLimitMs, idleConnectionMs, longestIdleConnectionMs } from '../limits/index.js';

/** A connection that opens with its first request, and again when it was closed in between. */
export class UpstreamConnection {
  readonly client: Client;
  #wasReset = false;

  /** @param address - `IP:PORT` of the upstream */
  constructor(address: string) {
    const connect = buildConnector({ timeout: connectLimitMs });
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleConnectionMs,
      keepAliveMaxTimeout: longestIdleConnectionMs,
      connect: (options, callback) => {
        this.#wasReset = false;
        connect(options, (...result) => {
          const [, socket] = result;
          socket?.once('error', (error: NodeJS.ErrnoException) => {
            // The library's own errors, also that for an orderly end, name no system call.
            if (error.syscall !== undefined) this.#wasReset = true;
          });
          callback(...result);
        });
      },
    });
  }

  /**
   * Whether the operating system ended the connection by an error.
   *
   * Guards against an answer without a length, which ends with its connection: the HTTP library takes
   * a reset for such an end too, so that a cut body looks whole. An orderly end
   * raises none.
   */
  get wasReset(): boolean {
    return this.#wasReset;
  }

  /** Ends the connection at once. */
  drop(): void {
    this.client.destroy().catch(() => {
      // It is gone either way.
    });
  }
}
