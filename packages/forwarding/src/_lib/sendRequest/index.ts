/**
 * Sends one request to one upstream and reads the status and headers of the response.
 */
import { forEachRawHeader } from '@acaciacrank/callers';
import type { Client } from 'undici';
import type { Readable } from 'node:stream';
import type { ForwardCodec, RawHeaders } from '../../ForwardCodec/index.js';
import type { ResponseHead } from '../../types.js';

/** A request in the form in which it is sent to an upstream. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
  readonly signal: AbortSignal;
}

/** A response whose status and headers have been received. */
export interface UpstreamResponse {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly head: ResponseHead;
  readonly body: Readable;
  /**
   * Whether the headers frame the body (`content-length` or `transfer-encoding`); otherwise the
   * body ends when the connection is closed.
   */
  readonly isFramed: boolean;
}

/** Error codes of a failed connection attempt; no byte of the request has been sent then. */
const connectErrorCodes = new Set([
  'UND_ERR_CONNECT_TIMEOUT',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
]);

/**
 * Sends a request.
 *
 * @param client - the connection to use, without any other request in progress
 * @param request - the request
 * @param codec - parses the response headers
 * @throws the connection's error; {@link wasNeverSent} tells whether the request may have run
 */
export async function sendRequest(
  client: Client,
  request: UpstreamRequest,
  codec: ForwardCodec,
): Promise<UpstreamResponse> {
  const response = await client.request({
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body.byteLength === 0 ? null : request.body,
    signal: request.signal,
    responseHeaders: 'raw',
  });
  const headers = response.headers as unknown as string[];
  return {
    status: response.statusCode,
    headers,
    head: codec.readResponseHead(response.statusCode, headers),
    body: response.body,
    isFramed: isFramed(headers),
  };
}

function isFramed(headers: RawHeaders): boolean {
  let hasFraming = false;
  forEachRawHeader(headers, (name) => {
    hasFraming ||= name === 'content-length' || name === 'transfer-encoding';
  });
  return hasFraming;
}

/**
 * Whether an error means that no byte of the request reached the upstream.
 *
 * @example
 * wasNeverSent(Object.assign(new Error(), { code: 'ECONNREFUSED' }));
 * //=> true
 */
export function wasNeverSent(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  const { code, syscall } = error as { code?: unknown; syscall?: unknown };
  return syscall === 'connect' || (typeof code === 'string' && connectErrorCodes.has(code));
}
