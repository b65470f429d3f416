/**
 * The source of time for all decisions: a wall clock, a monotonic clock and timers, in milliseconds.
 *
 * `wallMs` may jump; use it only for times that leave the process (grant expiry, timestamps of
 * records and reports). `monotonicMs` never goes back; timeouts are measured with it, and so are
 * leases, both by their holder and by an instance that waits to take one over.
 */
export abstract class Clock {
  /** Milliseconds since 1970 by this machine's wall clock; may jump. */
  abstract wallMs(): number;

  /** Milliseconds since a fixed point in this process; never goes back. */
  abstract monotonicMs(): number;

  /**
   * Schedules a task to run once after a delay.
   *
   * @param delayMs - how long to wait; a negative delay counts as zero
   * @param task - what to run; it must not throw
   * @returns cancels the timer on disposal, unless it has already run
   */
  abstract schedule(delayMs: number, task: () => void): Disposable;

  /**
   * Waits for a duration, or returns early when the signal is aborted.
   *
   * @param durationMs - how long to wait
   * @param signal - ends the wait early; the promise still resolves
   */
  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const onAbort = () => {
        timer[Symbol.dispose]();
        resolve();
      };
      const timer = this.schedule(durationMs, () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      });
      signal?.addEventListener('abort', onAbort, { once: true });
    });
  }
}
