import type { Clock } from '@acaciacrank/base';

/**
 * Waits for a promise until a time limit. The work is not cancelled when the time is up.
 *
 * @param clock - measures the time
 * @param limitMs - the time limit, in milliseconds
 * @param work - the promise to wait for
 * @returns the resolved value; undefined if the time limit is reached first
 *
 * @example
 * const result = await waitAtMost(clock, 300, work);
 */
export async function waitAtMost<Value>(
  clock: Clock,
  limitMs: number,
  work: Promise<Value>,
): Promise<Value | undefined> {
  const timer = new AbortController();
  try {
    return await Promise.race([work, clock.sleep(limitMs, timer.signal).then(() => undefined)]);
  } finally {
    timer.abort();
  }
}
