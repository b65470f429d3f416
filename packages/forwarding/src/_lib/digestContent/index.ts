import { digestText } from '@acaciacrank/base';
import type { ForwardCall } from '../ForwardCall/index.js';

/** Length of a digest in hexadecimal digits. */
const digestLength = 32;

/**
 * Returns a digest of what a request is for. It is the same for all attempts of callers to send it, at all
 * instances, and contains neither the request id, which each attempt has anew, nor the caller, nor how far a
 * stream has arrived.
 *
 * @example
 * digestContent(firstAttempt) === digestContent(itsRetry);
 * //=> true
 */
export function digestContent({ request, body, head }: RequestContent): string {
  const { method = 'GET', url = '/' } = request;
  const parts = head.promptParts.map(({ id, tokens }) => `${id}:${tokens}`);
  const content = [method, url, head.tokens ?? null, parts, digestText(body)];
  return digestText(JSON.stringify(content)).slice(0, digestLength);
}

/** The part of a request that its digest depends on. */
export interface RequestContent {
  readonly request: Pick<ForwardCall['request'], 'method' | 'url'>;
  readonly body: Buffer;
  readonly head: Pick<ForwardCall['head'], 'tokens' | 'promptParts'>;
}
