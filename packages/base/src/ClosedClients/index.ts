import type { ClientCloseReason } from '../ClientConnections/index.js';
import type { Clock } from '../Clock/index.js';
import type { Log } from '../createLog/index.js';
import type { Metrics } from '../Metrics/index.js';

/** The ports of an instance at which clients connect. */
export type ClientPort = 'callers' | 'readiness' | 'directory' | 'metrics' | 'fleet' | 'operators';

/** Options of {@link ClosedClients}. */
export interface ClosedClientsOptions {
  readonly clock: Pick<Clock, 'schedule'>;
  readonly log: Log;
  readonly metrics: Pick<Metrics, 'count'>;
}

/** Interval of the log lines, in milliseconds. */
const logIntervalMs = 1_000;

/**
 * Counts the connections that are closed past a limit, and logs one line a second at most: a line for each would cost as
 * much as what the limits save.
 *
 * @example
 * closedClients.record('callers', 'tooManyRequestsAhead');
 */
export class ClosedClients {
  readonly #options: ClosedClientsOptions;
  readonly #counts = new Map<string, number>();

  constructor(options: ClosedClientsOptions) {
    this.#options = options;
  }

  /** Records one that was closed. */
  record(port: ClientPort, reason: ClientCloseReason): void {
    const series = `${port}/${reason}`;
    this.#options.metrics.count('clientsClosed', series);
    if (this.#counts.size === 0) {
      this.#options.clock.schedule(logIntervalMs, () => {
        this.#write();
      });
    }
    this.#counts.set(series, (this.#counts.get(series) ?? 0) + 1);
  }

  #write(): void {
    const counts = Object.fromEntries(this.#counts);
    this.#counts.clear();
    this.#options.log.warn({ counts }, 'connections of clients closed past their limits');
  }
}
