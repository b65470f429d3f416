/**
 * Sends one request to one upstream and reads the head of its answer.
 */
import { forEachRawHeader } from '@acaciacrank/callers';
import type { Client } from 'undici';
import type { Readable } from 'node:stream';
import type { ForwardCodec, RawHeaders } from '../../ForwardCodec/index.js';
import type { AnswerHead } from '../../types.js';

/** One request as it goes to an upstream. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
  readonly signal: AbortSignal;
}

/** An answer whose head has come. */
export interface Exchange {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly head: AnswerHead;
  readonly body: Readable;
  /** Whether the answer says itself where it ends; else its connection's end is its own. */
  readonly isFramed: boolean;
}

/** Codes of errors that end a connect call; no byte of the request has left then. */
const connectCodes = new Set([
  'UND_ERR_CONNECT_TIMEOUT',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
]);

/**
 * Sends a request.
 *
 * @param client - the connection to use; nothing else is under way on it
 * @param request - what to send
 * @param codec - reads the answer's head
 * @throws the connection's error; {@link wasNeverSent} tells whether the request can have run
 */
export async function openExchange(
  client: Client,
  request: UpstreamRequest,
  codec: ForwardCodec,
): Promise<Exchange> {
  const answer = await client.request({
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body.byteLength === 0 ? null : request.body,
    signal: request.signal,
    responseHeaders: 'raw',
  });
  const headers = answer.headers as unknown as string[];
  return {
    status: answer.statusCode,
    headers,
    head: codec.readAnswer(answer.statusCode, headers),
    body: answer.body,
    isFramed: isFramed(headers),
  };
}

function isFramed(headers: RawHeaders): boolean {
  let hasFrame = false;
  forEachRawHeader(headers, (name) => {
    hasFrame ||= name === 'content-length' || name === 'transfer-encoding';
  });
  return hasFrame;
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
  return syscall === 'connect' || (typeof code === 'string' && connectCodes.has(code));
}
