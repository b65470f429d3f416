import type { UpstreamId } from '@acaciacrank/base';
import type { ServerResponse } from 'node:http';
import { contentLengthOf, rawHeaderValue } from '@acaciacrank/callers';
import type { ForwardCodec, RawHeaders } from '../../ForwardCodec/index.js';
import type { PlainResponse } from '../AttemptResult/index.js';
import type { ForwardCall } from '../ForwardCall/index.js';
import {
  formatOrigin,
  relayOriginHeader,
  relayRequestHeader,
  relayUnframedHeader,
  relayUpstreamHeader,
} from '../relayProtocol/index.js';

/** Creates the headers of a response to a caller, or to the peer that relays the caller's request. */
export function responseHeaders(
  call: Pick<ForwardCall, 'relayedBy' | 'progress' | 'head'>,
  codec: ForwardCodec,
  upstreamHeaders: RawHeaders,
  upstreamId: UpstreamId | undefined,
): string[] {
  const headers = codec.callerHeaders(upstreamHeaders);
  if (call.relayedBy === undefined) return headers;
  const { requestId } = call.head;
  if (requestId !== undefined) headers.push(relayRequestHeader, requestId);
  if (upstreamId !== undefined) headers.push(relayUpstreamHeader, upstreamId);
  const { origin } = call.progress;
  if (origin !== undefined) headers.push(relayOriginHeader, formatOrigin(origin));
  return headers;
}

/**
 * Maximum size of a body that the operating system takes together with its head, so that a process that is killed has
 * sent all of it or nothing, in bytes.
 */
const maxAtomicBytes = 16_384;

/**
 * Writes the head of a plain response.
 *
 * Guards against a part that looks like a whole in two ways. A body without a length ends with its connection, also
 * where this process is killed while it sends it, so that a response states its length. But where an upstream has
 * stated none, it may have been killed itself, and with a length this instance would confirm what nobody knows: its
 * response ends with the connection, as that of the upstream did, if it is sent at once. A peer that relays the response
 * gets that answer.
 */
export function writePlainHead(
  { response, request, relayedBy }: Pick<ForwardCall, 'response' | 'request' | 'relayedBy'>,
  { status, headers, body, isFramed }: PlainResponse,
  callerHeaders: readonly string[],
): void {
  const isUnframed = !isFramed && body.byteLength <= maxAtomicBytes;
  if (isUnframed && relayedBy === undefined) {
    delimitByConnectionClose(response);
    response.writeHead(status, [...callerHeaders]);
    return;
  }
  const length = contentLengthOf({
    status,
    declaredLength: rawHeaderValue(headers, 'content-length'),
    bodyBytes: body.byteLength,
    method: request.method,
  });
  const lengthHeader = length === undefined ? [] : ['content-length', length];
  const unframedHeader = isUnframed ? [relayUnframedHeader, '1'] : [];
  response.writeHead(status, [...callerHeaders, ...lengthHeader, ...unframedHeader]);
}

/** Ends a response by closing the connection. */
function delimitByConnectionClose(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  response.useChunkedEncodingByDefault = false;
}
