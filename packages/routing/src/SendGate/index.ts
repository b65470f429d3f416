import type { Clock, Metrics } from '@acaciacrank/base';

/** Options of {@link SendGate}. */
export interface SendGateOptions {
  readonly clock: Pick<Clock, 'unreadMs' | 'afterReads'>;
  readonly metrics: Metrics;
}

/** How long the end of a caller's connection may have waited unread when its request is sent, in milliseconds. */
export const maxUnreadMs = 150;
/** Number of requests that are let through after each read of all connections. */
const maxPerRead = 32;

/**
 * Holds requests back, while an instance is late, until it has read what waits on its connections.
 *
 * Guards against work for callers that have left: an instance that stood still, or has more work than processor time,
 * reads a request before the end of its connection, which stands right behind it. Only some requests are let through
 * after each read, since the work for many of them would let further ends wait. An instance that is in time holds
 * nothing back.
 *
 * @example
 * await gate.enter();
 * if (disconnect.isGone) return;
 */
export class SendGate {
  readonly #options: SendGateOptions;
  readonly #waiting: (() => void)[] = [];
  #isReading = false;

  constructor(options: SendGateOptions) {
    this.#options = options;
  }

  /** Whether what waits on connections may not have been read for a while. */
  get isLate(): boolean {
    return this.#options.clock.unreadMs() > maxUnreadMs;
  }

  /**
   * Returns what to wait for before a request is sent or other work is done for it; undefined for nothing.
   *
   * @param isLate - whether the request is known to have waited long; by default whether the instance is late
   */
  enter({ isLate = this.isLate }: { readonly isLate?: boolean } = {}): Promise<void> | undefined {
    if (!isLate) return undefined;
    const { clock, metrics } = this.#options;
    const unreadMs = clock.unreadMs();
    metrics.record('lateReadMs', 'held', unreadMs);
    return new Promise((resolve) => {
      this.#waiting.push(resolve);
      if (!this.#isReading) this.#read();
    });
  }

  #read(): void {
    this.#isReading = true;
    // Those that are added from now on may have arrived with what is read next, and their ends after it.
    const held = this.#waiting.splice(0, maxPerRead);
    this.#options.clock.afterReads(() => {
      for (const release of held) release();
      this.#isReading = false;
      if (this.#waiting.length > 0) this.#read();
    });
  }
}
