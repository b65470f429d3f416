import type { Clock } from '../Clock/index.js';

/**
 * Calls back once nothing has happened for a while in which this process ran; a pause of it does not count.
 *
 * Activity only notes the time, which is much cheaper than a new timer for each of many events: the timer
 * runs out at most once per timeout and is then set for the time that is left.
 */
export class InactivityTimer implements Disposable {
  readonly #clock: Clock;
  readonly #timeoutMs: number;
  readonly #onInactive: (lateMs: number) => void;
  #lastActivityMs: number;
  readonly #pausedBeforeMs: number;
  #timer: Disposable;

  /**
   * @param clock - measures the time
   * @param timeoutMs - how long nothing may happen, in milliseconds
   * @param onInactive - called once, with how late that is for pauses of this process; not after disposal
   *
   * @example
   * using timer = new InactivityTimer(clock, 500, abort);
   */
  constructor(clock: Clock, timeoutMs: number, onInactive: (lateMs: number) => void) {
    this.#clock = clock;
    this.#timeoutMs = timeoutMs;
    this.#onInactive = onInactive;
    this.#lastActivityMs = clock.activeMs();
    this.#pausedBeforeMs = this.#pausedMs;
    this.#timer = this.#schedule(timeoutMs);
  }

  /** Notes that something happened. */
  recordActivity(): void {
    this.#lastActivityMs = this.#clock.activeMs();
  }

  [Symbol.dispose](): void {
    this.#timer[Symbol.dispose]();
  }

  #schedule(delayMs: number): Disposable {
    return this.#clock.scheduleActive(delayMs, () => {
      const remainingMs = this.#lastActivityMs + this.#timeoutMs - this.#clock.activeMs();
      if (remainingMs > 0) this.#timer = this.#schedule(remainingMs);
      else this.#onInactive(this.#pausedMs - this.#pausedBeforeMs);
    });
  }

  /** How long this process has stood still in all. */
  get #pausedMs(): number {
    return this.#clock.monotonicMs() - this.#clock.activeMs();
  }
}
