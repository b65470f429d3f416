import { RouterError, type ErrorKind } from '@acaciacrank/base';
import type { Dispatcher } from 'undici';

/** Names the request in a call and, where the upstream says so, in the response to it. */
export const requestIdHeader = 'x-request-id';

/**
 * Checks that a response does not belong to another request.
 *
 * Guards against a response that an upstream sends a second time, where the next one on that connection is expected:
 * what it says of its own request is not true of this one.
 *
 * @param answer - the response; its body is discarded if it is foreign
 * @param requestId - the request
 * @param kind - the kind of error by which the request may have run
 * @throws RouterError of the given kind if the response names another request
 *
 * @example
 * checkRequestId(answer, requestId, 'outcomeUnknown');
 */
export function checkRequestId(
  answer: Dispatcher.ResponseData,
  requestId: string,
  kind: Extract<ErrorKind, 'outcomeUnknown' | 'upstreamFailed'>,
): void {
  const told = answer.headers[requestIdHeader];
  if (told === undefined || told === requestId) return;
  // The connection is closed with the rest of the body: the own response would arrive on it as that to the next request.
  answer.body.on('error', () => undefined).destroy();
  throw new RouterError(kind, 'response to a different request');
}
