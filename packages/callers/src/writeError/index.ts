/**
 * Errors as callers see them.
 */
import { millisecondsInSecond, type Random, type RouterError } from '@acaciacrank/base';
import type { ServerResponse } from 'node:http';

/** The least time over which callers are spread, in milliseconds. */
const leastSpreadMs = 500;

/**
 * Spreads the time to come back over three times the stated one.
 *
 * Guards against a second wave: when one instance of five is lost, its callers are refused at the
 * same moment elsewhere, and told the same time they would all come back at the same moment again.
 */
export function spreadRetryAfterMs(retryAfterMs: number, random: Random): number {
  return Math.round(retryAfterMs + random() * Math.max(2 * retryAfterMs, leastSpreadMs));
}

/** The JSON that names an error, whether the request ran, and when to come back. */
export function errorBody(error: RouterError, random: Random) {
  const { retryAfterMs } = error;
  return {
    error: {
      kind: error.kind,
      message: error.message,
      ran: error.ran,
      claimScope: error.claimScope,
      remedy: error.remedy,
      retryAfterMs: retryAfterMs === undefined ? null : spreadRetryAfterMs(retryAfterMs, random),
    },
  };
}

/** Options of {@link writeError}. */
export interface WriteErrorOptions {
  /**
   * The step to which the time to come back is rounded up, in milliseconds: whole seconds as in RFC
   * 9110 by default, less for callers that are known to read fractions.
   */
  retryAfterStepMs?: number;
}

/** Writes an error as a whole answer. */
export function writeError(
  response: ServerResponse,
  error: RouterError,
  random: Random,
  options: WriteErrorOptions = {},
): void {
  const stepMs = options.retryAfterStepMs ?? millisecondsInSecond;
  const body = errorBody(error, random);
  const headers: Record<string, string> = { 'content-type': 'application/json' };
  const { retryAfterMs } = body.error;
  if (retryAfterMs !== null) {
    headers['retry-after'] = String(
      (Math.ceil(retryAfterMs / stepMs) * stepMs) / millisecondsInSecond,
    );
  }
  // What is left of a body that was refused is not read: the connection ends with the answer.
  if (!response.req.complete) headers.connection = 'close';
  response.writeHead(error.httpStatus, headers);
  response.end(JSON.stringify(body));
}
