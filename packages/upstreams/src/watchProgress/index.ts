import { RouterError, type Clock } from '@acaciacrank/base';

/** Options of {@link watchProgress}. */
export interface WatchProgressOptions {
  clock: Clock;
  /** Returns the current stall timeout, in milliseconds; called again for each item. */
  limitMs: () => number;
  /** Aborts the stream; if its reason is a RouterError, readers get that error. */
  signal: AbortSignal;
}

/**
 * Forwards items as they arrive, and aborts the connection if none arrives within the stall
 * timeout.
 *
 * Guards against a connection whose state was lost by a device between the two ends: it stays open
 * but never delivers anything again, while a new connection would work. The connection is aborted
 * without waiting for its reader, which may never return.
 *
 * @param open - opens the connection; its signal is aborted when the connection is abandoned
 * @param options - the timeout and the signal that ends the stream
 * @returns the items
 * @throws RouterError `upstreamFailed` on a stall, or the signal's reason
 *
 * @example
 * const frames = watchProgress((signal) => engine.generate(request, signal), options);
 */
export async function* watchProgress<Item>(
  open: (signal: AbortSignal) => AsyncIterable<Item>,
  options: WatchProgressOptions,
): AsyncIterable<Item> {
  const connection = new AbortController();
  const iterator = open(connection.signal)[Symbol.asyncIterator]();
  using stallTimer = new StallTimer(options);
  try {
    for (;;) {
      const item = await stallTimer.wait(() => iterator.next());
      if (item.done === true) return;
      yield item.value;
    }
  } finally {
    connection.abort();
    iterator.return?.().catch(() => undefined);
  }
}

/**
 * Bounds each wait by the stall timeout; a pause of this process does not count. One timer serves many waits, as there are thousands of
 * tokens.
 */
class StallTimer implements Disposable {
  readonly #options: WatchProgressOptions;
  readonly #onAbort = () => {
    this.#reject?.(reasonOf(this.#options.signal));
  };
  #reject: ((error: RouterError) => void) | undefined;
  #timer: Disposable | undefined;
  #timerDueMs = Infinity;
  #dueMs = Infinity;

  constructor(options: WatchProgressOptions) {
    this.#options = options;
    options.signal.addEventListener('abort', this.#onAbort, { once: true });
  }

  async wait<Value>(work: () => Promise<Value>): Promise<Value> {
    const { signal, clock, limitMs } = this.#options;
    if (signal.aborted) throw reasonOf(signal);
    this.#dueMs = clock.activeMs() + limitMs();
    if (this.#timerDueMs > this.#dueMs) this.#arm();
    try {
      return await new Promise<Value>((resolve, reject) => {
        this.#reject = reject;
        work().then(resolve, reject);
      });
    } finally {
      this.#reject = undefined;
      this.#dueMs = Infinity;
    }
  }

  [Symbol.dispose](): void {
    this.#timer?.[Symbol.dispose]();
    this.#options.signal.removeEventListener('abort', this.#onAbort);
  }

  #arm(): void {
    this.#timer?.[Symbol.dispose]();
    this.#timerDueMs = this.#dueMs;
    const delayMs = this.#dueMs - this.#options.clock.activeMs();
    this.#timer = this.#options.clock.scheduleActive(delayMs, () => {
      this.#handleTimer();
    });
  }

  #handleTimer(): void {
    this.#timerDueMs = Infinity;
    if (this.#dueMs === Infinity) return;
    if (this.#dueMs > this.#options.clock.activeMs()) this.#arm();
    else this.#reject?.(new RouterError('upstreamFailed', 'the connection fell silent'));
  }
}

function reasonOf(signal: AbortSignal): RouterError {
  if (signal.reason instanceof RouterError) return signal.reason;
  return new RouterError('cancelled', 'the operation was cancelled');
}
