/**
 * How one request at one upstream can end.
 */
import type { RawHeaders } from '../../ForwardCodec/index.js';
import type { RunKnowledge } from '@acaciacrank/routing';
import type { NoAnswerReason } from '../NoAnswerError/index.js';

/** Responses with this status or above report a failure, which may be specific to one upstream. */
export const firstServerError = 500;

/** How an attempt ended. */
export type AttemptResult =
  | PlainResponse
  | StreamedResult
  /** A peer took the request, and its response has been passed on to the end. */
  | { readonly kind: 'relayed' }
  | NotSentResult
  | NotRunResult
  | BrokenResult
  | SupersededResult
  /** The deadline of the request passed; `wasSent`: the request may have reached the upstream. */
  | { readonly kind: 'deadline'; readonly wasSent: boolean }
  /** The caller disconnected; `wasSent` as for `deadline`. */
  | { readonly kind: 'callerGone'; readonly wasSent: boolean };

/** A stream that was relayed to its end. */
export interface StreamedResult {
  readonly kind: 'streamed';
  readonly longestGapMs: number;
  /** Whether this attempt has brought no event. */
  readonly isEmpty: boolean;
}

/** Aborted by this instance, since another attempt of the same request has given something. */
export interface SupersededResult {
  readonly kind: 'superseded';
  /** Whether the request may have reached the upstream. */
  readonly wasSent: boolean;
  /** Whether nothing had come from the upstream for so long that another one was tried. */
  readonly wasSilent: boolean;
  /** Why what the upstream sent is no answer, if it is none. */
  readonly noAnswer?: NoAnswerReason | undefined;
}

/** No byte was sent. */
export interface NotSentResult {
  readonly kind: 'notSent';
  readonly reason: string;
  /** Whether the upstream turned out to be another run than that of its record. */
  readonly isOtherRun?: boolean;
}

/** The upstream or the connection failed; the request may have run. */
export interface BrokenResult {
  readonly kind: 'broken';
  readonly reason: string;
  /** Whether the connection was lost, rather than the response being invalid. */
  readonly isConnectionLost: boolean;
  /** Why what the upstream sent is no answer, if it is none. */
  readonly noAnswer?: NoAnswerReason | undefined;
}

/** The upstream states that it did not run the request. */
export interface NotRunResult {
  readonly kind: 'notRun';
  readonly status: number;
  readonly isWrongUpstream: boolean;
  /** The backoff that it requests, in milliseconds; undefined for none. */
  readonly backoffMs: number | undefined;
}

/** A complete response, held in memory. */
export interface PlainResponse {
  readonly kind: 'answer';
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Whether the upstream stated where the body ends, other than by closing the connection. */
  readonly isFramed: boolean;
}

/** Why what an upstream sent is no answer; undefined if it is one, or if nothing shows that it is none. */
export function noAnswerOf(result: AttemptResult): NoAnswerReason | undefined {
  return 'noAnswer' in result ? result.noAnswer : undefined;
}

/** Whether the request may have reached the upstream. */
export function wasSent(result: AttemptResult): boolean {
  if ('wasSent' in result) return result.wasSent;
  return result.kind !== 'notSent';
}

/** What the result of one attempt shows of whether the request has run there. */
export function knowledgeOf(result: AttemptResult): RunKnowledge {
  switch (result.kind) {
    case 'answer':
    case 'streamed':
    case 'relayed':
      return 'ran';
    case 'notSent':
    case 'notRun':
      return result.kind;
    case 'broken':
      return 'unknown';
    default:
      return result.wasSent ? 'unknown' : 'notSent';
  }
}
