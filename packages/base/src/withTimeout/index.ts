import type { Clock } from '../Clock/index.js';
import type { ErrorKind } from '../errorKinds/index.js';
import { RouterError } from '../RouterError/index.js';

/** Options of {@link withTimeout}. */
export interface WithTimeoutOptions {
  /** The kind of the error when time runs out. */
  kind: ErrorKind;
  /** What was waited for, for the message. */
  what: string;
  /** Aborts the work from outside as well. */
  signal?: AbortSignal;
  /**
   * How long work that keeps making progress may take in all, in milliseconds; the limit by default,
   * so that progress extends nothing.
   */
  longestMs?: number;
}

/**
 * Runs work with a bound on its time; the work's signal is aborted when time runs out.
 *
 * Work that calls `onProgress` has the whole limit again from then on, up to `longestMs` in all.
 *
 * @param clock - measures the time
 * @param limitMs - how long the work may take without progress
 * @param work - what to run
 * @param options - the error's kind and words
 * @returns what the work returns
 * @throws RouterError of the given kind when time runs out first
 *
 * @example
 * const page = await withTimeout(clock, 2_000, (signal) => fetchPage(signal), {
 *   kind: 'storeUnavailable',
 *   what: 'reading a page',
 * });
 */
export async function withTimeout<Value>(
  clock: Clock,
  limitMs: number,
  work: (signal: AbortSignal, onProgress: () => void) => Promise<Value>,
  options: WithTimeoutOptions,
): Promise<Value> {
  const abort = new AbortController();
  const latestMs = clock.monotonicMs() + (options.longestMs ?? limitMs);
  const onOuterAbort = () => {
    abort.abort();
  };
  options.signal?.addEventListener('abort', onOuterAbort, { once: true });
  let timer: Disposable | undefined;
  let extend: () => void = () => undefined;
  const timeout = new Promise<never>((_, reject) => {
    const onTimeout = () => {
      abort.abort();
      reject(new RouterError(options.kind, `${options.what} took longer than ${limitMs} ms`));
    };
    extend = () => {
      timer?.[Symbol.dispose]();
      timer = clock.schedule(Math.min(limitMs, latestMs - clock.monotonicMs()), onTimeout);
    };
    extend();
  });
  const onProgress = () => {
    if (!abort.signal.aborted) extend();
  };
  try {
    return await Promise.race([work(abort.signal, onProgress), timeout]);
  } finally {
    timer?.[Symbol.dispose]();
    options.signal?.removeEventListener('abort', onOuterAbort);
  }
}
