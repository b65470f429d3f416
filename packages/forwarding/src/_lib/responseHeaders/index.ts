import type { UpstreamId } from '@acaciacrank/base';
import type { ForwardCodec, RawHeaders } from '../../ForwardCodec/index.js';
import type { ForwardCall } from '../ForwardCall/index.js';
import { relayUpstreamHeader } from '../relayProtocol/index.js';

/** Creates the headers of a response to a caller, or to the peer that relays the caller's request. */
export function responseHeaders(
  call: Pick<ForwardCall, 'relayedBy'>,
  codec: ForwardCodec,
  upstreamHeaders: RawHeaders,
  upstreamId: UpstreamId,
): string[] {
  const headers = codec.callerHeaders(upstreamHeaders);
  if (call.relayedBy !== undefined) headers.push(relayUpstreamHeader, upstreamId);
  return headers;
}
