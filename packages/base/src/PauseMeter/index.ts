/** Interval of the ticks that a {@link PauseMeter} expects, in milliseconds. */
export const pauseTickMs = 50;
/** How long a process may take from one tick to the next without having stood still, in milliseconds. */
const maxTickGapMs = 5 * pauseTickMs;

/**
 * Measures the time in which a process ran, from ticks of a timer: one that is late shows that the process stood
 * still.
 *
 * The time of a pause is left out from its start on, so that whoever reads it first after a pause sees none of it. A
 * process whose ticks are always late is busy rather than paused: its time continues, at most {@link maxTickGapMs} for
 * each tick, so that waits end.
 *
 * @example
 * const meter = new PauseMeter(0);
 * meter.tick(50);
 * meter.activeMs(1_550);
 * //=> 50
 */
export class PauseMeter {
  #activeMs: number;
  #lastTickMs: number;
  #wasLate = false;
  #lastReadMs = -Infinity;

  /** @param nowMs - time of the monotonic clock, from which on the process is taken to run */
  constructor(nowMs: number) {
    this.#activeMs = nowMs;
    this.#lastTickMs = nowMs;
  }

  /** Records a tick; expected every {@link pauseTickMs}. */
  tick(nowMs: number): void {
    const isLate = this.#isLate(nowMs);
    this.#activeMs += this.#countedMs(nowMs);
    this.#lastTickMs = nowMs;
    this.#wasLate = isLate;
  }

  /** Returns the time in which the process ran; never goes back. */
  activeMs(nowMs: number): number {
    this.#lastReadMs = Math.max(this.#lastReadMs, this.#activeMs + this.#countedMs(nowMs));
    return this.#lastReadMs;
  }

  #isLate(nowMs: number): boolean {
    return nowMs - this.#lastTickMs > maxTickGapMs;
  }

  /** How much of the time since the last tick the process ran. */
  #countedMs(nowMs: number): number {
    if (!this.#isLate(nowMs)) return nowMs - this.#lastTickMs;
    return this.#wasLate ? maxTickGapMs : 0;
  }
}
