import type { Clock } from '../Clock/index.js';

/**
 * Calls back once nothing has happened for a while.
 *
 * Activity only notes the time, which is much cheaper than a new timer for each of many events: the timer
 * runs out at most once per timeout and is then set for the time that is left.
 */
export class InactivityTimer implements Disposable {
  readonly #clock: Clock;
  readonly #timeoutMs: number;
  readonly #onInactive: () => void;
  #lastActivityMs: number;
  #timer: Disposable;

  /**
   * @param clock - measures the time
   * @param timeoutMs - how long nothing may happen, in milliseconds
   * @param onInactive - called once; not after disposal
   *
   * @example
   * using timer = new InactivityTimer(clock, 500, abort);
   */
  constructor(clock: Clock, timeoutMs: number, onInactive: () => void) {
    this.#clock = clock;
    this.#timeoutMs = timeoutMs;
    this.#onInactive = onInactive;
    this.#lastActivityMs = clock.monotonicMs();
    this.#timer = this.#schedule(timeoutMs);
  }

  /** Notes that something happened. */
  recordActivity(): void {
    this.#lastActivityMs = this.#clock.monotonicMs();
  }

  [Symbol.dispose](): void {
    this.#timer[Symbol.dispose]();
  }

  #schedule(delayMs: number): Disposable {
    return this.#clock.schedule(delayMs, () => {
      const remainingMs = this.#lastActivityMs + this.#timeoutMs - this.#clock.monotonicMs();
      if (remainingMs <= 0) this.#onInactive();
      else this.#timer = this.#schedule(remainingMs);
    });
  }
}
