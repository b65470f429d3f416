/**
 * One caller's request on its way through an instance.
 */
import type { CallerWriter } from '@acaciacrank/callers';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallHead, ForwardAccount, Route, ServiceTraits } from '../../types.js';
import type { RequestStory } from '../RequestStory/index.js';

/** What an instance knows of one request, and how far it has come. */
export interface ForwardCall {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly writer: CallerWriter;
  readonly head: CallHead;
  readonly route: Route;
  readonly service: ServiceTraits;
  readonly account: ForwardAccount | undefined;
  readonly body: Buffer;
  /** When the caller or the route's timeout gives up, on the monotonic clock in milliseconds. */
  readonly deadlineMs: number;
  /** Aborted when the caller has left. */
  readonly gone: AbortSignal;
  readonly story: RequestStory;
  readonly progress: CallProgress;
}

/** What has happened to a request so far. */
export interface CallProgress {
  /** Whether some upstream may have run it, or may still. */
  mayHaveRun: boolean;
  /** Upstreams to which it was sent. */
  sends: number;
  /** Events passed on to the caller or dropped on the way. */
  events: number;
  /** The id of the last event passed on. */
  lastEventId: string | undefined;
}

/** Whether a request may be sent again although it may have run. */
export function isRepeatable({ route }: ForwardCall): boolean {
  return route.kind === 'repeatable' || (route.kind === 'stream' && route.isResumable);
}
