/**
 * A caller's request while an instance processes it.
 */
import type { CallerWriter, HeldBytes } from '@acaciacrank/callers';
import {
  decideResend,
  type ResendDecision,
  type RunKnowledge,
  type UpstreamRun,
} from '@acaciacrank/routing';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RequestHead, ForwardAccount, Route, ServiceTraits } from '../../types.js';
import type { CallerDisconnect } from '../CallerDisconnect/index.js';
import type { RequestTrace } from '../RequestTrace/index.js';

/** A request with its route, account and progress. */
export interface ForwardCall {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly writer: CallerWriter;
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: ServiceTraits;
  readonly account: ForwardAccount | undefined;
  readonly body: Buffer;
  /** Counts the memory of the bodies. */
  readonly held: HeldBytes;
  /** Id of the instance that relays the request for its caller; undefined if the caller sent it here. */
  readonly relayedBy: string | undefined;
  /**
   * When the caller's time budget or the route's timeout ends, on the monotonic clock in
   * milliseconds.
   */
  readonly deadlineMs: number;
  readonly disconnect: CallerDisconnect;
  readonly trace: RequestTrace;
  readonly progress: CallProgress;
}

/** Progress of a request. */
export interface CallProgress {
  /** What is known of whether the request has run where it was sent. */
  knowledge: RunKnowledge;
  /** Number of upstreams that the request was sent to. */
  sendCount: number;
  /** Number of upstreams to which peers may have sent it for this instance. */
  peerSendCount: number;
  /** Number of upstreams that ended while they ran it. */
  endedCount: number;
  /** Number of events relayed to the caller, including events whose write failed. */
  events: number;
  /** Number of these that came through a peer, which debits them. */
  peerEvents: number;
  /** The id of the last event relayed to the caller. */
  lastEventId: string | undefined;
  /** The run of an upstream that sent the first event; undefined before that. */
  origin: UpstreamRun | undefined;
}

/** Whether a request may be sent again even though it may already have run. */
export function isRepeatable({ route }: ForwardCall): boolean {
  return route.kind === 'repeatable' || (route.kind === 'stream' && route.isResumable);
}

/** What {@link decideSend} goes by apart from the request itself. */
export interface SendState {
  /** Number of upstreams that the request was sent to, those included at which it is under way. */
  readonly sends: number;
  /** Whether it is under way anywhere. */
  readonly isUnderWay: boolean;
}

/** Decides whether a request may be sent now, to an upstream or to a peer; see {@link decideResend}. */
export function decideSend(call: ForwardCall, { sends, isUnderWay }: SendState): ResendDecision {
  return decideResend({
    isRepeatable: isRepeatable(call),
    knowledge: isUnderWay ? 'unknown' : call.progress.knowledge,
    sends,
    maxSends: call.route.maxUpstreams,
  });
}
