import { RouterError } from '@acaciacrank/base';
import type { EndlessBytes } from '@acaciacrank/routing';

/** Why what an upstream sent is no answer. */
export type NoAnswerReason =
  | EndlessBytes
  /** A success on a streaming route whose content type is not that of an event stream. */
  | 'noEventStream'
  /** The body exceeds the largest size, or the head states such a length. */
  | 'bodyBytes'
  /** The body gave way to others, since all that are being read exceed their bound. */
  | 'bodyGaveWay'
  /** One event exceeds its size. */
  | 'eventBytes';

/** What an upstream sends is no answer; the upstream is ejected at once, and nothing is learnt from it. */
export class NoAnswerError extends RouterError {
  readonly reason: NoAnswerReason;

  constructor(reason: NoAnswerReason) {
    super('upstreamFailed', `the upstream sent what is no answer (${reason})`);
    this.reason = reason;
  }
}

/** Error code of the HTTP client for a head with too many bytes of header fields. */
const headOverflowCode = 'UND_ERR_HEADERS_OVERFLOW';

/**
 * Returns why an attempt failed because of what the upstream sent; undefined for other failures.
 *
 * @example
 * noAnswerReasonOf(new NoAnswerError('trickle'));
 * //=> 'trickle'
 */
export function noAnswerReasonOf(thrown: unknown): NoAnswerReason | undefined {
  if (thrown instanceof NoAnswerError) return thrown.reason;
  const { code } = thrown as { code?: unknown };
  return code === headOverflowCode ? 'headBytes' : undefined;
}
