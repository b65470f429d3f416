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
  readonly #onInactive: (lateMs: number) => void;
  #lastActivityMs: number;
  #timer: Disposable;

  /**
   * @param clock - measures the time
   * @param timeoutMs - how long nothing may happen, in milliseconds
   * @param onInactive - called once, with how late the timer ran; not after disposal
   *
   * @example
   * using timer = new InactivityTimer(clock, 500, abort);
   */
  constructor(clock: Clock, timeoutMs: number, onInactive: (lateMs: number) => void) {
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
    const dueMs = this.#clock.monotonicMs() + delayMs;
    return this.#clock.schedule(delayMs, () => {
      const nowMs = this.#clock.monotonicMs();
      const remainingMs = this.#lastActivityMs + this.#timeoutMs - nowMs;
      if (remainingMs <= 0) this.#onInactive(nowMs - dueMs);
      else this.#timer = this.#schedule(remainingMs);
    });
  }
}
