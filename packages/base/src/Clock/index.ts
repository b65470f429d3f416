/** By how much a timer that runs late shows that sockets may not have been read, in milliseconds. */
const latenessMs = 20;
/** For how long sockets are read then, in milliseconds. */
const readWaitMs = 20;

/**
 * The source of time for all decisions: a wall clock, a monotonic clock, one that leaves out pauses of this process, and
 * timers, in milliseconds.
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
   * Milliseconds in which this process ran: like {@link monotonicMs}, but for the time in which it stood still, such
   * as a stop of the process, a pause of its machine or a blocked event loop. It may lag behind a little while the
   * process is busy.
   *
   * The wait for something from others is measured with it: what they sent meanwhile has not been read yet.
   */
  activeMs(): number {
    return this.monotonicMs();
  }

  /**
   * How long what arrives from others may have waited until it is read now, in milliseconds, at most: more than some
   * ticks if this process stood still or is late with its work.
   */
  unreadMs(): number {
    return 0;
  }

  /**
   * Runs a task once all has been read that waits on open connections now.
   *
   * @param task - what to run; it must not throw
   *
   * @example
   * clock.afterReads(() => log.info({ isGone: socket.readableEnded }, 'read'));
   */
  afterReads(task: () => void): void {
    queueMicrotask(task);
  }

  /**
   * Schedules a task to run once after a delay.
   *
   * @param delayMs - how long to wait; a negative delay counts as zero
   * @param task - what to run; it must not throw
   * @returns cancels the timer on disposal, unless it has already run
   */
  abstract schedule(delayMs: number, task: () => void): Disposable;

  /**
   * Schedules a task to run once after a delay by {@link activeMs}.
   *
   * Guards against taking a pause of this process for a silence of others: after it, timers run before sockets are
   * read, so that a timer that runs late waits until these have been read.
   *
   * @param delayMs - how long to wait; a negative delay counts as zero
   * @param task - what to run; it must not throw
   * @returns cancels the timer on disposal, unless the task has already run
   *
   * @example
   * using timeout = clock.scheduleActive(300, () => socket.destroy());
   */
  scheduleActive(delayMs: number, task: () => void): Disposable {
    const dueActiveMs = this.activeMs() + delayMs;
    let timer: Disposable;
    const arm = (waitMs: number, hasWaitedForReads: boolean) => {
      const dueMs = this.monotonicMs() + waitMs;
      timer = this.schedule(waitMs, () => {
        const isLate = this.monotonicMs() - dueMs > latenessMs;
        const remainingMs = dueActiveMs - this.activeMs();
        const readMs = isLate && !hasWaitedForReads ? readWaitMs : 0;
        if (remainingMs <= 0 && readMs === 0) task();
        else arm(Math.max(remainingMs, readMs), isLate);
      });
    };
    arm(Math.max(0, delayMs), false);
    return {
      [Symbol.dispose]: () => {
        timer[Symbol.dispose]();
      },
    };
  }

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
