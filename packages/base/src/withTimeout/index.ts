import type { Clock } from '../Clock/index.js';
import type { ErrorKind } from '../errorKinds/index.js';
import { RouterError } from '../RouterError/index.js';

/** Options of {@link withTimeout}. */
export interface WithTimeoutOptions {
  /** The kind of the error that is thrown on timeout. */
  kind: ErrorKind;
  /** What the work does, for the error message, for example `reading a page`. */
  what: string;
  /** A signal that also aborts the work. */
  signal?: AbortSignal;
  /**
   * Maximum total time for work that keeps making progress, in milliseconds. It equals the timeout by
   * default, so that progress does not extend the time.
   */
  maxTotalMs?: number;
  /**
   * Whether a pause of this process counts, as for a deadline that others set; false by default, since what came
   * meanwhile has not been read yet.
   */
  countsPauses?: boolean;
}

/**
 * Runs work with a timeout; the signal passed to the work is aborted on timeout.
 *
 * Each call of `onProgress` restarts the timeout, up to `maxTotalMs` in total.
 *
 * @param clock - measures the time
 * @param timeoutMs - how long the work may take without progress, in milliseconds
 * @param work - the work to run; it should stop when its signal is aborted
 * @param options - the error's kind and text, an outer signal and the maximum total time
 * @returns the result of the work
 * @throws RouterError of the given kind on timeout, and whatever `work` rejects with
 *
 * @example
 * const page = await withTimeout(clock, 2_000, (signal) => fetchPage(signal), {
 *   kind: 'storeUnavailable',
 *   what: 'reading a page',
 * });
 */
export async function withTimeout<Value>(
  clock: Clock,
  timeoutMs: number,
  work: (signal: AbortSignal, onProgress: () => void) => Promise<Value>,
  options: WithTimeoutOptions,
): Promise<Value> {
  const controller = new AbortController();
  const { countsPauses = false, maxTotalMs = timeoutMs } = options;
  const nowMs = () => (countsPauses ? clock.monotonicMs() : clock.activeMs());
  const deadlineMs = nowMs() + maxTotalMs;
  const onOuterAbort = () => {
    controller.abort();
  };
  options.signal?.addEventListener('abort', onOuterAbort, { once: true });
  let timer: Disposable | undefined;
  let restartTimer: () => void = () => undefined;
  const timeout = new Promise<never>((_, reject) => {
    const onTimeout = () => {
      controller.abort();
      reject(new RouterError(options.kind, `${options.what} took longer than ${timeoutMs} ms`));
    };
    restartTimer = () => {
      timer?.[Symbol.dispose]();
      const delayMs = Math.min(timeoutMs, deadlineMs - nowMs());
      timer = countsPauses
        ? clock.schedule(delayMs, onTimeout)
        : clock.scheduleActive(delayMs, onTimeout);
    };
    restartTimer();
  });
  const onProgress = () => {
    if (!controller.signal.aborted) restartTimer();
  };
  try {
    return await Promise.race([work(controller.signal, onProgress), timeout]);
  } finally {
    timer?.[Symbol.dispose]();
    options.signal?.removeEventListener('abort', onOuterAbort);
  }
}
