/**
 * Routes, upstreams and requests as a forwarding instance represents them, independent of a
 * deployment's formats.
 */
import type {
  AccountId,
  FailureDomainId,
  InstanceId,
  RequestId,
  ServiceName,
  UpstreamId,
} from '@acaciacrank/base';
import type { WarmUpBound } from '@acaciacrank/routing';

/**
 * Whether a request may be run more than once: `repeatable` may, `once` may not, and `stream`, a
 * stream of events, may only if its route is resumable.
 */
export type RouteKind = 'repeatable' | 'once' | 'stream';

/** One of a route's services, with its weight in the traffic split. */
export interface RouteTarget {
  readonly service: ServiceName;
  readonly weight: number;
}

/** The destination and handling of requests with one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a stream may be continued at another upstream after its last event. */
  readonly isResumable: boolean;
  readonly timeoutMs: number;
  /**
   * The target for the time to a response, or to a stream's first event; a later one is worth less.
   */
  readonly targetLatencyMs: number;
  /**
   * The target for the longest pause between two events of a stream; undefined for plain responses.
   */
  readonly gapTargetMs: number | undefined;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** The maximum number of upstreams that one request may be sent to. */
  readonly maxUpstreams: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
}

/** Properties of a service's engines, servers that run a language model. */
export interface EngineTraits {
  /** Number of requests that an engine runs at the same time. */
  readonly slots: number;
  /** Number of tokens that the cache of an engine holds. */
  readonly cacheTokens: number;
  /** Number of tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Memory used by one cached token, in bytes; undefined if not configured. */
  readonly cacheBytesPerToken: number | undefined;
  /** Bandwidth for copying memory between engines, in Mbit/s; undefined if they do not copy. */
  readonly copyMbps: number | undefined;
}

/** How the upstreams of a service warm up after a start. */
export interface WarmUpTraits {
  /** How long it takes, in milliseconds. */
  readonly durationMs: number;
  /** Requests per second that one upstream takes meanwhile, from all instances combined. */
  readonly requestsPerSecond: number;
}

/** How the upstreams of a service warm up, with the bound that the whole fleet keeps meanwhile. */
export interface WarmUpPolicy extends WarmUpBound {
  /** How long it takes, in milliseconds. */
  readonly durationMs: number;
}

/** A service in the configuration; `engine` is undefined for plain services. */
export interface ServiceTraits {
  readonly name: ServiceName;
  /** Number of connections that one upstream accepts from all instances combined. */
  readonly maxConnections: number;
  /** How its upstreams warm up; undefined if they take all requests at once. */
  readonly warmUp?: WarmUpTraits | undefined;
  readonly engine: EngineTraits | undefined;
}

/** A client account in the configuration. */
export interface ForwardAccount {
  readonly accountId: AccountId;
  readonly keys: readonly string[];
  /** Overrides the priority of the route; undefined for no override. */
  readonly priority: number | undefined;
  /** The total number of tokens that the account may use; undefined for no limit. */
  readonly prepaidTokens: number | undefined;
}

/** Limits on requests from callers. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One complete version of the configuration. */
export interface ForwardConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceTraits[];
  readonly limits: CallerLimits;
  /** Undefined if no request needs an API key. */
  readonly accounts: readonly ForwardAccount[] | undefined;
}

/** An upstream as it is registered in the store. */
export interface UpstreamRecord {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly ip: string;
  readonly port: number;
  readonly failureDomain: FailureDomainId;
  /** Number of requests that the upstream runs at the same time. */
  readonly slots: number;
  readonly state: 'live' | 'leaving';
  /**
   * When the current run of the upstream started, in milliseconds since 1970; undefined if not
   * stated.
   */
  readonly startedAtMs?: number | undefined;
  /** Version of the software that the current run of the upstream runs; undefined if not stated. */
  readonly softwareVersion?: string | undefined;
  /**
   * How much longer the upstream warms up, in milliseconds, when it wrote the record; undefined if not
   * stated.
   */
  readonly warmUpMs?: number | undefined;
  /** Version of the stored record, which orders records of one run; undefined if not known. */
  readonly version?: number | undefined;
}

/** A part of a prompt that several requests may have in common. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The maximum number of tokens that a request uses at an engine. */
export interface TokenDemand {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** The parsed headers of a caller's request. */
export interface RequestHead {
  readonly requestId: RequestId | undefined;
  /** How long the caller waits for the response, in milliseconds. */
  readonly budgetMs: number | undefined;
  readonly key: string | undefined;
  readonly tokens: TokenDemand | undefined;
  /** In order; the last part is specific to the request or its session. */
  readonly promptParts: readonly PromptPart[];
  /** The id of the last event that the caller received, if it resumes a stream. */
  readonly resumeAfter: string | undefined;
  /**
   * Id of the caller's attempt that received the first event, if it resumes a stream; undefined if not
   * stated.
   */
  readonly resumedAttempt: string | undefined;
}

/** The load that an upstream reports in a response. */
export interface ReportedLoad {
  /** Number of running requests. */
  readonly running: number;
  /** Number of requests that wait for a slot. */
  readonly waiting: number;
  /** Number of requests that the upstream runs at the same time. */
  readonly slots: number;
}

/** What an upstream reports about itself in a response. */
export interface UpstreamStatement {
  readonly load: ReportedLoad | undefined;
  /**
   * Requests per second that the upstream accepts from all instances combined; infinite if the
   * response has no limit, undefined if its limit cannot be parsed.
   */
  readonly limitPerS: number | undefined;
  /** How much longer the upstream warms up, in milliseconds; undefined if not stated. */
  readonly warmUpMs: number | undefined;
  /** Whether the upstream states that it is leaving. */
  readonly isLeaving: boolean;
  /**
   * Backoff that an overloaded upstream requests from this instance, in milliseconds; undefined if not stated.
   */
  readonly backoffMs: number | undefined;
  /**
   * Number of requests that the upstream may refuse within a second before it falls over; undefined if it does not
   * state that it is brittle.
   */
  readonly maxRefusalsPerS: number | undefined;
}

/** The parsed headers of an upstream's response. */
export interface ResponseHead {
  readonly requestId: string | undefined;
  /** Whether the response carries the upstream's signature. */
  readonly isSigned: boolean;
  /** Whether the upstream states that it did not run the request and never will. */
  readonly isNotRun: boolean;
  /** Whether the response originates from a different upstream than the one addressed. */
  readonly isWrongUpstream: boolean;
  readonly statement: UpstreamStatement;
}

/** What an instance sends to a peer that relays a request, in addition to the caller's headers. */
export interface RelayFields {
  /** Remaining time budget of the request, in milliseconds. */
  readonly budgetMs: number;
  /** The id of the event after which the stream is to be resumed. */
  readonly resumeAfter: string | undefined;
  /** The run of the upstream that began the stream, as a header's value; undefined if none has. */
  readonly origin: string | undefined;
  /** Id of this instance. */
  readonly relayedBy: InstanceId;
  /** Number of upstreams to which the peer may send the request. */
  readonly maxSends: number;
  /** A key that only this instance and the peer know. */
  readonly relayKey: string | undefined;
}

/** What an instance sends to an upstream in addition to the caller's headers. */
export interface UpstreamRequestFields {
  readonly upstreamId: UpstreamId;
  readonly accountId: AccountId | undefined;
  /** Remaining time budget of the request, in milliseconds. */
  readonly budgetMs: number;
  /** The id of the event after which the stream is to be resumed. */
  readonly resumeAfter: string | undefined;
  /** From 0 (highest priority) to 9 (lowest). */
  readonly priority: number | undefined;
  /** `IP:PORT` of an engine that may have parts of the prompt in its cache. */
  readonly fetchFrom: string | undefined;
}
