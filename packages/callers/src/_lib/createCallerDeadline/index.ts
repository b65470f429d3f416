/**
 * Bounds how long a caller waits for its response.
 */
import { millisecondsInSecond, RouterError, type Clock } from '@acaciacrank/base';
import { DeadlineSignal } from '../DeadlineSignal/index.js';

/**
 * Time after a class's total deadline within which everything but billing has ended, in
 * milliseconds.
 */
const deadlineMarginMs = 5 * millisecondsInSecond;

/**
 * Bounds a caller's wait while the store is unavailable.
 *
 * Otherwise a caller whose answer is complete would wait for its final frame as long as the store
 * is down, for ten minutes or more. Instead the response states that the request ran and when to retry.
 * Billing continues, and a retry with the same idempotency key gets the complete answer.
 *
 * @param clock - measures the wait
 * @param totalDeadlineMs - the class's total deadline
 * @param signal - aborted when the caller disconnects
 * @param isAnswered - whether the upstream's answer is complete, so that only the bill is missing
 */
export function createCallerDeadline(
  clock: Clock,
  totalDeadlineMs: number,
  signal: AbortSignal,
  isAnswered: () => boolean,
): DeadlineSignal {
  const reason = () => {
    if (!isAnswered()) {
      const message = 'the request was not complete before its deadline';
      return new RouterError('deadlineExceeded', message, { ran: 'unknown' });
    }
    const message =
      'the answer is complete but its bill is not durable yet; retry with the same idempotency key';
    return new RouterError('storeUnavailable', message, { ran: 'ran', claimScope: 'request' });
  };
  return new DeadlineSignal(clock, totalDeadlineMs + deadlineMarginMs, signal, reason);
}
