/**
 * Error responses to callers.
 */
import { millisecondsInSecond, RouterError, type Random } from '@acaciacrank/base';
import type { ServerResponse } from 'node:http';

/** Minimum width of the interval from which the jitter is drawn, in milliseconds. */
const minJitterRangeMs = 500;

/**
 * Adds jitter to a retry time: up to twice the given time, or up to `minJitterRangeMs` if that is
 * more.
 *
 * Guards against a second wave of retries: if one instance of five is lost, its callers are refused
 * by the others at the same moment, and with the same retry time they would all retry at the same
 * moment again.
 */
export function addRetryJitterMs(retryAfterMs: number, random: Random): number {
  return Math.round(retryAfterMs + random() * Math.max(2 * retryAfterMs, minJitterRangeMs));
}

/** The JSON body for an error: its kind, whether the request ran, and when to retry. */
export function errorBody(error: RouterError, random: Random) {
  const { retryAfterMs } = error;
  return {
    error: {
      kind: error.kind,
      message: error.message,
      ran: error.ran,
      claimScope: error.claimScope,
      remedy: error.remedy,
      retryAfterMs: retryAfterMs === undefined ? null : addRetryJitterMs(retryAfterMs, random),
    },
  };
}

/** The error for a request that an instance has no room for. */
export function createOverloadError(): RouterError {
  return new RouterError('overloaded', 'the limit for requests in progress is reached');
}

/** Options of {@link writeError}. */
export interface WriteErrorOptions {
  /**
   * `Retry-After` is rounded up to a multiple of this step, in milliseconds. Defaults to whole
   * seconds, as RFC 9110 requires; smaller for callers known to accept fractions.
   */
  retryAfterStepMs?: number;
}

/** Writes an error as a complete response. */
export function writeError(
  response: ServerResponse,
  error: RouterError,
  random: Random,
  options: WriteErrorOptions = {},
): void {
  const stepMs = options.retryAfterStepMs ?? millisecondsInSecond;
  const body = errorBody(error, random);
  const text = JSON.stringify(body);
  const contentLength = String(Buffer.byteLength(text));
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'content-length': contentLength,
  };
  const { retryAfterMs } = body.error;
  if (retryAfterMs !== null) {
    headers['retry-after'] = String(
      (Math.ceil(retryAfterMs / stepMs) * stepMs) / millisecondsInSecond,
    );
  }
  // The rest of a refused body is not read, so the connection is closed after the response.
  if (!response.req.complete) headers.connection = 'close';
  response.writeHead(error.httpStatus, headers);
  response.end(text);
}
