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
  /** It says that it is warming up. */
  | 'warmingUp'
  /** It states a longer warm-up than is believed. */
  | 'warmUpImplausible'
  /** It is overloaded and wants nothing from this instance for a while. */
  | 'backoffBegan'
  /** The first request after that is sent. */
  | 'backoffEnded'
  /** It asks for a longer backoff than is believed. */
  | 'backoffImplausible'
  | LimitChange;

/** A change in this instance's view of an upstream. */
export interface UpstreamChange {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceName;
  readonly what: UpstreamChangeKind;
  /** How this instance learnt that it is leaving; undefined for other changes. */
  readonly source?: 'record' | 'response' | undefined;
  /** Time since the request was sent whose response told it, in milliseconds; undefined for records. */
  readonly maxAgeMs?: number | undefined;
  /**
   * Requests per second that the upstream accepts from all instances combined; undefined if it sets
   * no limit and for changes other than {@link LimitChange}.
   */
  readonly limitPerS?: number | undefined;
  /** The peer that reported the limit; undefined if this instance read it in a response. */
  readonly toldBy?: InstanceId | undefined;
  /** How long it says that it is warming up, in milliseconds. */
  readonly warmUpMs?: number | undefined;
  /** For how long it asked to be sent nothing, in milliseconds. */
  readonly backoffMs?: number | undefined;
}

/** What a change says beyond its kind and its upstream. */
export type ChangeDetails = Omit<UpstreamChange, 'upstreamId' | 'service' | 'what'>;
