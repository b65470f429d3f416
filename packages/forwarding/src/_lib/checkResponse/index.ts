/**
 * Checks of a response's head, before anything of the response is used.
 */
import { RouterError } from '@acaciacrank/base';
import { rawHeaderValue } from '@acaciacrank/callers';
import type { RawHeaders } from '../../ForwardCodec/index.js';
import type { ResponseHead } from '../../types.js';

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
 * Why a response is not known to be the one to the request: it names another request, or none on a connection that had
 * an earlier one.
 */
export type ForeignReason = 'otherRequest' | 'noRequestId';

/** A response that is not known to be the one to the request; nothing that it states may be used. */
export class ForeignResponseError extends RouterError {
  readonly reason: ForeignReason;

  constructor(reason: ForeignReason) {
    const what = reason === 'otherRequest' ? 'a different request' : 'an unknown request';
    super('upstreamFailed', `response to ${what}`);
    this.reason = reason;
  }
}

/** What is known of the connection on which a response arrived, and of the request that it should answer. */
export interface ResponseContext {
  readonly requestId: string | undefined;
  /** Whether the connection carried no request before. */
  readonly isFirstOnConnection: boolean;
}

/**
 * Finds out whether a response may be the one to another request.
 *
 * Guards against a request that is answered by what belongs to an earlier one: a faulty upstream may send a response
 * a second time, where the next one on that connection is expected. Its request id shows it.
 *
 * @returns why the response is not known to belong to the request; undefined if it does
 *
 * @example
 * findForeignReason({ requestId: 'a' }, { requestId: 'b', isFirstOnConnection: true });
 * //=> 'otherRequest'
 */
export function findForeignReason(
  { requestId }: Pick<ResponseHead, 'requestId'>,
  { requestId: ownRequestId, isFirstOnConnection }: ResponseContext,
): ForeignReason | undefined {
  if (requestId !== undefined) return requestId === ownRequestId ? undefined : 'otherRequest';
  return isFirstOnConnection ? undefined : 'noRequestId';
}

/**
 * Checks that a success originates from an upstream.
 *
 * @throws RouterError `upstreamFailed` if not
 */
export function checkSuccess({ requestId, isSigned }: ResponseHead): void {
  if (isSigned && requestId !== undefined) return;
  throw new RouterError('upstreamFailed', 'success response without signature or request id');
}
