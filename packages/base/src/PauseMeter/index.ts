/** Interval of the ticks that a {@link PauseMeter} expects, in milliseconds. */
export const pauseTickMs = 50;
/** How long a process may take from one tick to the next without having stood still, in milliseconds. */
const maxTickGapMs = 5 * pauseTickMs;
/** How long a process may take from one tick to the next and still read its sockets in time, in milliseconds. */
const maxReadGapMs = 2 * pauseTickMs;
/** How long a process takes after a later tick to accept and read all that waits, in milliseconds. */
const catchUpMs = 250;

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
  #tickBeforeMs: number;
  /** Until when what is read may have waited longer than since the tick before the last one, and since when. */
  #catchUp = { untilMs: -Infinity, sinceMs: -Infinity };
  #wasLate = false;
  #lastReadMs = -Infinity;

  /** @param nowMs - time of the monotonic clock, from which on the process is taken to run */
  constructor(nowMs: number) {
    this.#activeMs = nowMs;
    this.#lastTickMs = nowMs;
    this.#tickBeforeMs = nowMs;
  }

  /** Records a tick; expected every {@link pauseTickMs}. */
  tick(nowMs: number): void {
    const isLate = this.#isLate(nowMs);
    this.#activeMs += this.#countedMs(nowMs);
    if (nowMs - this.#lastTickMs > maxReadGapMs)
      this.#catchUp = { untilMs: nowMs + catchUpMs, sinceMs: this.#tickBeforeMs };
    this.#tickBeforeMs = this.#lastTickMs;
    this.#lastTickMs = nowMs;
    this.#wasLate = isLate;
  }

  /**
   * Returns how long what is read now may have waited, at most: all sockets are read once between two ticks. After a
   * late tick several turns are needed: connections are accepted, then read, then read to their ends.
   */
  unreadMs(nowMs: number): number {
    const { untilMs, sinceMs } = this.#catchUp;
    return nowMs - (nowMs < untilMs ? sinceMs : this.#tickBeforeMs);
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
