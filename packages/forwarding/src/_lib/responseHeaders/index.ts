import type { UpstreamId } from '@acaciacrank/base';
import type { ForwardCodec, RawHeaders } from '../../ForwardCodec/index.js';
import type { PlainResponse } from '../AttemptResult/index.js';
import type { ForwardCall } from '../ForwardCall/index.js';
import {
  formatOrigin,
  relayOriginHeader,
  relayRequestHeader,
  relayUpstreamHeader,
} from '../relayProtocol/index.js';
import { delimitByConnectionClose } from '../StreamRelay/index.js';

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

/** Writes the head of a plain response, with the length of the body if the upstream framed it. */
export function writePlainHead(
  { response }: Pick<ForwardCall, 'response'>,
  { status, body, isFramed }: PlainResponse,
  callerHeaders: readonly string[],
): void {
  if (!isFramed) delimitByConnectionClose(response);
  const length = isFramed ? ['content-length', String(body.byteLength)] : [];
  response.writeHead(status, [...callerHeaders, ...length]);
}
