import type { InstanceId, ServiceName, UpstreamId } from '@acaciacrank/base';
import type { LimitChange } from '../UpstreamLimit/index.js';

/** How this instance's view of an upstream changed. */
export type UpstreamChangeKind =
  /** A new record. */
  | 'seen'
  /** A different run under the same id. */
  | 'startedAgain'
  /** It is draining, by its record or by its own responses. */
  | 'leaving'
  /** Its record disappeared, but it stays usable for a grace period. */
  | 'lapsed'
  /** It was removed. */
  | 'gone'
  /** It was ejected. */
  | 'leftOut'
  /** Its connections broke and it accepts no new ones. */
  | 'ended'
  /** It reports that it is warming up. */
  | 'warmingUp'
  /** It states a longer warm-up than is accepted. */
  | 'warmUpImplausible'
  /** It is overloaded and requests a backoff. */
  | 'backoffBegan'
  /** The first request after that is sent. */
  | 'backoffEnded'
  /** It requests a longer backoff than is accepted. */
  | 'backoffImplausible'
  /** It states that it is brittle, and none of its service had for a while. */
  | 'brittle'
  | LimitChange;

/** A change in this instance's view of an upstream. */
export interface UpstreamChange {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceName;
  readonly what: UpstreamChangeKind;
  /** Requests of this instance that were in progress there when it ended. */
  readonly underWay?: number | undefined;
  /** How this instance learnt that it is leaving; undefined for other changes. */
  readonly source?: 'record' | 'response' | undefined;
  /** Maximum age of the statement: time since its request was sent, in milliseconds; undefined for records. */
  readonly maxAgeMs?: number | undefined;
  /**
   * Requests per second that the upstream accepts from all instances combined; undefined if it sets
   * no limit and for changes other than {@link LimitChange}.
   */
  readonly limitPerS?: number | undefined;
  /** The peer that reported the limit; undefined if this instance read it in a response. */
  readonly toldBy?: InstanceId | undefined;
  /** Remaining warm-up that it reports, in milliseconds. */
  readonly warmUpMs?: number | undefined;
  /** Number of requests that it may refuse within a second before it falls over. */
  readonly maxRefusalsPerS?: number | undefined;
  /** Duration of the backoff that it requests, in milliseconds. */
  readonly backoffMs?: number | undefined;
}

/** Details of a change besides its kind and its upstream. */
export type ChangeDetails = Omit<UpstreamChange, 'upstreamId' | 'service' | 'what'>;
