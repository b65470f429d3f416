/**
 * A connection pool for one upstream.
 */
import {
  ClientSocket,
  ConnectTimeoutError,
  millisecondsInSecond,
  type Clock,
} from '@acaciacrank/base';
import { Agent, type buildConnector, type Dispatcher } from 'undici';

/** Options of {@link ConnectionPool}. */
export interface ConnectionPoolOptions {
  clock: Clock;
  /** Maximum number of connections. */
  connections: number;
}

/** Keep-alive timeout of idle connections, in milliseconds; below that of devices on the path. */
const keepAliveMs = 4 * millisecondsInSecond;
/** Maximum keep-alive timeout that an upstream may request, in milliseconds. */
const maxKeepAliveMs = 15 * millisecondsInSecond;
/** Timeout for establishing a connection, in milliseconds. */
const connectTimeoutMs = 2 * millisecondsInSecond;
/** After how long without bytes the operating system probes a connection, in milliseconds. */
const probeDelayMs = 60 * millisecondsInSecond;
/** Port of a URL that names none. */
const defaultPort = 80;
/**
 * Minimum age of a pool before it is replaced, in milliseconds: a younger one has only new
 * connections.
 */
const minPoolAgeMs = millisecondsInSecond;

/**
 * A pool whose connections are retired together once one of them is found to be dead.
 *
 * Guards against a device between the two ends that has lost its connection table: all pooled
 * connections are then dead at once while new ones work, and each retry that takes the next one
 * from the pool hangs too. Requests in progress on old connections continue there.
 */
export class ConnectionPool implements AsyncDisposable {
  readonly #options: ConnectionPoolOptions;
  readonly #retired = new Set<Agent>();
  #agent: Agent;
  #openedMs: number;

  constructor(options: ConnectionPoolOptions) {
    this.#options = options;
    this.#agent = createAgent(options);
    // The first pool may be replaced at any time, even if the clock starts at 0.
    this.#openedMs = -minPoolAgeMs;
  }

  /** Dispatcher for the next request. */
  get dispatcher(): Dispatcher {
    return this.#agent;
  }

  /** Replaces the pool, so that further requests use new connections. */
  retire(): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs - this.#openedMs < minPoolAgeMs) return;
    const old = this.#agent;
    this.#openedMs = nowMs;
    this.#agent = createAgent(this.#options);
    this.#retired.add(old);
    void old
      .close()
      .catch(() => undefined)
      .finally(() => this.#retired.delete(old));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([this.#agent, ...this.#retired].map((agent) => agent.destroy()));
  }
}

/** Sets timeouts for connecting and idling only; a request is bounded by whoever sends it. */
function createAgent({ clock, connections }: ConnectionPoolOptions): Agent {
  return new Agent({
    connections,
    bodyTimeout: 0,
    headersTimeout: 0,
    keepAliveTimeout: keepAliveMs,
    keepAliveMaxTimeout: maxKeepAliveMs,
    connect: (options, callback) => {
      connect(clock, options, callback);
    },
  });
}

/** Opens a connection whose request is dropped when it is aborted. */
function connect(
  clock: Clock,
  { hostname, port }: buildConnector.Options,
  callback: buildConnector.Callback,
): void {
  const socket = new ClientSocket();
  const timer = clock.scheduleActive(connectTimeoutMs, () => {
    socket.destroy(new ConnectTimeoutError(`${hostname}:${port}`, connectTimeoutMs));
  });
  const fail = (error: Error) => {
    timer[Symbol.dispose]();
    callback(error, null);
  };
  socket.once('error', fail);
  socket.once('connect', () => {
    timer[Symbol.dispose]();
    socket.off('error', fail);
    callback(null, socket);
  });
  socket.setNoDelay(true).setKeepAlive(true, probeDelayMs);
  socket.connect({ host: hostname, port: Number(port || defaultPort) });
}
