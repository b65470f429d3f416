import { millisecondsInSecond, type Clock } from '@acaciacrank/base';

/**
 * Allows so many log lines a second.
 *
 * Guards against a log that costs more than the refusals that it is about.
 *
 * @example
 * if (lines.take()) log.info(fields, 'request');
 */
export class LineBudget {
  readonly #clock: Pick<Clock, 'monotonicMs'>;
  readonly #linesPerSecond: number;
  #second = -Infinity;
  #lineCount = 0;

  constructor(clock: Pick<Clock, 'monotonicMs'>, linesPerSecond: number) {
    this.#clock = clock;
    this.#linesPerSecond = linesPerSecond;
  }

  /** Whether one more line may be written now. */
  take(): boolean {
    const second = Math.floor(this.#clock.monotonicMs() / millisecondsInSecond);
    if (second !== this.#second) {
      this.#second = second;
      this.#lineCount = 0;
    }
    this.#lineCount += 1;
    return this.#lineCount <= this.#linesPerSecond;
  }
}
