/**
 * Waits that end when a signal is aborted.
 */
import { RouterError } from '@acaciacrank/base';

/**
 * Waits for a promise or until the signal is aborted, for operations that may ignore the signal.
 *
 * @param work - continues if the wait ends early; its error is then ignored
 * @param signal - ends the wait; its reason is thrown
 * @throws RouterError the signal's reason, or the error of `work`
 */
export async function untilAborted<Value>(
  work: Promise<Value>,
  signal: AbortSignal,
): Promise<Value> {
  let onAbort: (() => void) | undefined;
  const aborted = new Promise<never>((_, reject) => {
    onAbort = () => {
      reject(abortReason(signal));
    };
    if (signal.aborted) onAbort();
    else signal.addEventListener('abort', onAbort, { once: true });
  });
  work.catch(() => undefined);
  try {
    return await Promise.race([work, aborted]);
  } finally {
    if (onAbort !== undefined) signal.removeEventListener('abort', onAbort);
  }
}

/** Returns why a signal was aborted; `cancelled` if its reason is not a RouterError. */
export function abortReason(signal: AbortSignal): RouterError {
  if (signal.reason instanceof RouterError) return signal.reason;
  return new RouterError('cancelled', 'the caller went away');
}
