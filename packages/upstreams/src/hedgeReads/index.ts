import { RouterError, type Clock } from '@acaciacrank/base';

/** Options of {@link hedgeReads}. */
export interface HedgeReadsOptions<Item> {
  clock: Clock;
  /** Opens the first connection; its signal is aborted when the connection is closed. */
  open: (signal: AbortSignal) => AsyncIterable<Item>;
  /** Opens another one that continues after the last item. */
  reopen: (signal: AbortSignal) => AsyncIterable<Item>;
  /**
   * Returns for how long nothing may arrive before another connection is opened, in milliseconds; called again for
   * each item, and with the number of connections opened in vain since the last one.
   */
  limitMs: (openedInVain: number) => number;
  /** Called before another connection is opened. */
  onSilent: () => void;
  /** Ends the reading; if its reason is a RouterError, readers get that error. */
  signal: AbortSignal;
}

/** Number of connections that are read at the same time. */
const maxConnections = 3;

/**
 * Forwards items as they arrive. While none does, opens other connections beside the silent one, and continues with
 * the one that gives an item first; the others are closed then.
 *
 * Guards against a connection whose state was lost by a device between the two ends: it stays open but never
 * delivers anything again, while a new connection would work. It may as well live, and its sender be silent for a
 * while: it is kept until another one has given something, and silence alone ends nothing.
 *
 * @returns the items
 * @throws the error of the last connection once all have failed, or the signal's reason
 *
 * @example
 * const frames = hedgeReads({ ...options, open: generate, reopen: resume });
 */
export async function* hedgeReads<Item>(options: HedgeReadsOptions<Item>): AsyncIterable<Item> {
  using reader = new HedgedReader(options);
  for (;;) {
    const result = await reader.next();
    if (result.done === true) return;
    yield result.value;
  }
}

/** Reads several connections until one of them gives an item. */
class HedgedReader<Item> implements Disposable {
  readonly #options: HedgeReadsOptions<Item>;
  readonly #connections = new Set<Connection<Item>>();
  readonly #onAbort = () => {
    this.#reject?.(reasonOf(this.#options.signal));
  };
  #resolve: ((result: IteratorResult<Item>) => void) | undefined;
  #reject: ((error: unknown) => void) | undefined;
  #openedInVain = 0;
  /** One timer serves many items; it may run out before the time at which silence is stated. */
  #timer: Disposable | undefined;
  #timerDueMs = Infinity;
  #silentAtMs = Infinity;

  constructor(options: HedgeReadsOptions<Item>) {
    this.#options = options;
    options.signal.addEventListener('abort', this.#onAbort, { once: true });
    if (!options.signal.aborted) this.#connections.add(new Connection(options.open));
  }

  /** Returns the next item of whichever connection gives one first. */
  async next(): Promise<IteratorResult<Item>> {
    const { signal } = this.#options;
    if (signal.aborted) throw reasonOf(signal);
    this.#openedInVain = 0;
    this.#expectItem();
    try {
      return await new Promise<IteratorResult<Item>>((resolve, reject) => {
        this.#resolve = resolve;
        this.#reject = reject;
        for (const connection of this.#connections) this.#read(connection);
      });
    } finally {
      this.#resolve = undefined;
      this.#reject = undefined;
      this.#silentAtMs = Infinity;
    }
  }

  [Symbol.dispose](): void {
    this.#timer?.[Symbol.dispose]();
    this.#options.signal.removeEventListener('abort', this.#onAbort);
    for (const connection of this.#connections) connection.close();
    this.#connections.clear();
  }

  #read(connection: Connection<Item>): void {
    connection.next().then(
      (result) => {
        if (this.#connections.has(connection)) this.#goOnWith(connection, result);
      },
      (error: unknown) => {
        if (this.#connections.delete(connection)) this.#handleFailure(connection, error);
      },
    );
  }

  #goOnWith(connection: Connection<Item>, result: IteratorResult<Item>): void {
    for (const other of this.#connections) if (other !== connection) this.#close(other);
    this.#resolve?.(result);
  }

  #handleFailure(connection: Connection<Item>, error: unknown): void {
    connection.close();
    if (this.#connections.size === 0) this.#reject?.(error);
  }

  #close(connection: Connection<Item>): void {
    this.#connections.delete(connection);
    connection.close();
  }

  /** Sets the time at which another connection is opened. */
  #expectItem(): void {
    const { clock, limitMs } = this.#options;
    this.#silentAtMs = clock.activeMs() + limitMs(this.#openedInVain);
    if (this.#timerDueMs > this.#silentAtMs) this.#arm();
  }

  #arm(): void {
    const { clock } = this.#options;
    this.#timer?.[Symbol.dispose]();
    this.#timerDueMs = this.#silentAtMs;
    this.#timer = clock.scheduleActive(this.#silentAtMs - clock.activeMs(), () => {
      this.#timerDueMs = Infinity;
      if (this.#silentAtMs === Infinity) return;
      if (this.#silentAtMs > clock.activeMs()) this.#arm();
      else this.#handleSilence();
    });
  }

  /** Opens another connection; of those that never gave anything, the oldest makes room for it. */
  #handleSilence(): void {
    this.#options.onSilent();
    const [, oldestReplacement] = this.#connections;
    if (this.#connections.size >= maxConnections && oldestReplacement !== undefined)
      this.#close(oldestReplacement);
    this.#openedInVain += 1;
    const connection = new Connection(this.#options.reopen);
    this.#connections.add(connection);
    this.#expectItem();
    this.#read(connection);
  }
}

/** A connection that is read item by item. */
class Connection<Item> {
  readonly #abort = new AbortController();
  readonly #iterator: AsyncIterator<Item>;

  constructor(open: (signal: AbortSignal) => AsyncIterable<Item>) {
    this.#iterator = open(this.#abort.signal)[Symbol.asyncIterator]();
  }

  next(): Promise<IteratorResult<Item>> {
    return this.#iterator.next();
  }

  /** Closes it without waiting for its reader, which may never return. */
  close(): void {
    this.#abort.abort();
    this.#iterator.return?.().catch(() => undefined);
  }
}

function reasonOf(signal: AbortSignal): RouterError {
  if (signal.reason instanceof RouterError) return signal.reason;
  return new RouterError('cancelled', 'the operation was cancelled');
}
