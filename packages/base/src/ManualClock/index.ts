import { Clock } from '../Clock/index.js';

interface Timer {
  readonly dueMs: number;
  readonly sequence: number;
  readonly task: () => void;
}

/** Number of timers to run before the event loop gets a turn for real I/O. */
const timersBetweenYields = 1_000;

/** Options of {@link ManualClock}. */
export interface ManualClockOptions {
  /** Wall time at the start, in milliseconds since 1970. */
  startWallMs?: number;
}

/**
 * A virtual clock that moves only when advanced, for tests, experiments and fault-injection runs.
 *
 * Timers run in order of their due time, and in order of creation where due times are equal, so
 * that runs with the same seed are identical.
 */
export class ManualClock extends Clock {
  #elapsedMs = 0;
  #pausedMs = 0;
  #wallOffsetMs: number;
  #lastSequence = 0;
  #timersRun = 0;
  readonly #timers: Timer[] = [];

  constructor(options: ManualClockOptions = {}) {
    super();
    this.#wallOffsetMs = options.startWallMs ?? 1_700_000_000_000;
  }

  override wallMs(): number {
    return this.#wallOffsetMs + this.#elapsedMs;
  }

  override monotonicMs(): number {
    return this.#elapsedMs;
  }

  override activeMs(): number {
    return this.#elapsedMs - this.#pausedMs;
  }

  /** Number of timers that have not run yet. */
  get pendingTimers(): number {
    return this.#timers.length;
  }

  override schedule(delayMs: number, task: () => void): Disposable {
    this.#lastSequence += 1;
    const timer: Timer = {
      dueMs: this.#elapsedMs + Math.max(0, delayMs),
      sequence: this.#lastSequence,
      task,
    };
    this.#insert(timer);
    return {
      [Symbol.dispose]: () => {
        const index = this.#timers.indexOf(timer);
        if (index >= 0) this.#timers.splice(index, 1);
      },
    };
  }

  /** Shifts the wall clock without advancing time, as a faulty time source does. */
  jumpWall(offsetMs: number): void {
    this.#wallOffsetMs += offsetMs;
  }

  /** Lets time pass while the process stands still: timers that are due meanwhile run afterwards, late. */
  pause(durationMs: number): void {
    this.#elapsedMs += durationMs;
    this.#pausedMs += durationMs;
  }

  /**
   * Advances time, running each timer at its due time and letting promises settle in between.
   *
   * @param durationMs - how far to advance
   *
   * @example
   * const clock = new ManualClock();
   * const done = clock.sleep(50);
   * await clock.advance(50);
   * await done;
   */
  async advance(durationMs: number): Promise<void> {
    const untilMs = this.#elapsedMs + durationMs;
    await yieldToEventLoop();
    while ((this.#timers[0]?.dueMs ?? Infinity) <= untilMs) await this.#runNext();
    this.#elapsedMs = untilMs;
  }

  /**
   * Advances until a promise settles, and returns its value.
   *
   * @param work - the promise to wait for
   * @param limitMs - how much virtual time may pass
   * @throws Error when the limit passes first, and whatever `work` rejects with
   */
  async runUntil<Value>(work: Promise<Value>, limitMs = 3_600_000): Promise<Value> {
    let settled = false;
    const tracked = work.finally(() => {
      settled = true;
    });
    tracked.catch(() => undefined);
    const untilMs = this.#elapsedMs + limitMs;
    await yieldToEventLoop();
    // A function, because the compiler does not see that `settled` changes during an await.
    const isSettled = () => settled;
    while (!isSettled()) {
      const nextMs = this.#timers[0]?.dueMs ?? Infinity;
      if (nextMs > untilMs) throw new Error(`nothing settled within ${limitMs} ms of virtual time`);
      await this.#runNext();
    }
    return tracked;
  }

  async #runNext(): Promise<void> {
    const next = this.#timers.shift();
    if (next === undefined) return;
    this.#elapsedMs = Math.max(this.#elapsedMs, next.dueMs);
    next.task();
    this.#timersRun += 1;
    if (this.#timersRun % timersBetweenYields === 0) await yieldToEventLoop();
    else await settlePromises();
  }

  #insert(timer: Timer): void {
    let low = 0;
    let high = this.#timers.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.#timers[middle];
      if (other !== undefined && other.dueMs <= timer.dueMs) low = middle + 1;
      else high = middle;
    }
    this.#timers.splice(low, 0, timer);
  }
}

/**
 * Waits until all pending microtasks have run. A callback passed to `nextTick` from a microtask runs
 * once the microtask queue is empty, which costs far less than a turn of the event loop.
 */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => {
    process.nextTick(resolve);
  });
}

/** Gives the event loop a turn, so that a long run does not starve real I/O. */
function yieldToEventLoop(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
