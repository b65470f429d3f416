/**
 * Checks of a response's head, before anything of the response is used.
 */
import { RouterError } from '@acaciacrank/base';
import { rawHeaderValue } from '@acaciacrank/callers';
import type { RawHeaders } from '../../ForwardCodec/index.js';
import type { ResponseHead } from '../../types.js';
import type { ForwardCall } from '../ForwardCall/index.js';

/** Whether the body is a stream of events. */
export function isEventStream(headers: RawHeaders): boolean {
  const type = rawHeaderValue(headers, 'content-type') ?? '';
  return type.split(';', 1)[0]?.trim().toLowerCase() === 'text/event-stream';
}

/** The length of the body that a head states, in bytes; 0 if it states none. */
export function lengthOf(headers: RawHeaders): number {
  return Number(rawHeaderValue(headers, 'content-length') ?? 0);
}

/**
 * Checks that a response belongs to the request and comes from an upstream.
 *
 * @throws RouterError `upstreamFailed` if not
 */
export function checkResponse(
  { requestId, isSigned }: ResponseHead,
  { head }: ForwardCall,
  isSuccess: boolean,
): void {
  // A late response to an earlier request may arrive on this connection instead; the request id
  // shows it.
  if (requestId !== undefined && requestId !== head.requestId) {
    throw new RouterError('upstreamFailed', 'response to a different request');
  }
  if (isSuccess && (!isSigned || requestId === undefined)) {
    throw new RouterError('upstreamFailed', 'success response without signature or request id');
  }
}
