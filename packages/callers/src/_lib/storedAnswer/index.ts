/**
 * The response to a non-idempotent call, as stored in its request record.
 */
import { bytesInKibibyte, millisecondsInMinute, RouterError } from '@acaciacrank/base';
import type { RequestRecord } from '@acaciacrank/ledger';
import type { ServiceResponse } from '@acaciacrank/upstreams';

/** Largest response body that is stored in a record, in bytes. */
export const maxStoredAnswerBytes = 64 * bytesInKibibyte;

/**
 * Age of an intent after which no instance can still be running its call, in milliseconds; more
 * than the default for the longest request duration, 10 minutes.
 */
const maxCallDurationMs = 11 * millisecondsInMinute;
/** Retry interval for a call that may still be running, in milliseconds. */
const pendingRetryAfterMs = 2_000;

/** A response as stored in a record. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: ServiceResponse['headers'];
  readonly bodyBase64: string;
}

/** Converts a response to its stored form; returns undefined if its body is too large. */
export function toStoredAnswer(answer: ServiceResponse): StoredAnswer | undefined {
  if (answer.body.byteLength > maxStoredAnswerBytes) return undefined;
  const bodyBase64 = Buffer.from(answer.body).toString('base64');
  return { status: answer.status, headers: answer.headers, bodyBase64 };
}

/**
 * Returns the response for a retry from the record of an earlier attempt.
 *
 * @param record - the earlier attempt's record
 * @param nowMs - now, in milliseconds since 1970
 * @returns the response of the earlier attempt, if it was stored
 * @throws RouterError `outcomeUnknown`; with `retryAfterMs` while the call may still be running,
 * since its record may contain the response by then
 */
export function answerFromRecord(record: RequestRecord, nowMs: number): ServiceResponse {
  const storedAnswer = record.answer as StoredAnswer | undefined;
  if (record.state === 'ran' && storedAnswer !== undefined) {
    const body = Buffer.from(storedAnswer.bodyBase64, 'base64');
    return { status: storedAnswer.status, headers: storedAnswer.headers, body };
  }
  if (record.state === 'ran') {
    const message = 'the call ran, but its response was too large to store';
    throw new RouterError('outcomeUnknown', message, { ran: 'ran', claimScope: 'request' });
  }
  const mayStillRun = record.state === 'intent' && nowMs < record.atMs + maxCallDurationMs;
  const message = 'the outcome of an earlier attempt with this idempotency key is unknown';
  throw new RouterError(
    'outcomeUnknown',
    message,
    mayStillRun ? { retryAfterMs: pendingRetryAfterMs } : {},
  );
}
