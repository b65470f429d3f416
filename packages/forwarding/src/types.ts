/**
 * What a forwarding instance knows of routes, upstreams and requests, in the project's own words.
 */
import type {
  AccountId,
  FailureDomainId,
  RequestId,
  ServiceName,
  UpstreamId,
} from '@acaciacrank/base';

/**
 * What may be done with a request again: `repeatable` may run more than once, `once` may not,
 * `stream` is a stream of events that may not run twice unless its route is resumable.
 */
export type RouteKind = 'repeatable' | 'once' | 'stream';

/** One of a route's services and its share of the requests. */
export interface RouteTarget {
  readonly service: ServiceName;
  readonly weight: number;
}

/** Where requests of one host and path prefix go, and how. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a stream may go on at another upstream after its last event. */
  readonly isResumable: boolean;
  readonly timeoutMs: number;
  /** Within this time an answer, or a stream's first event, is worth most. */
  readonly targetLatencyMs: number;
  /** The longest pause between events for which a stream is on time; undefined for plain answers. */
  readonly gapTargetMs: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** To how many upstreams one request may be sent. */
  readonly maxUpstreams: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
}

/** What is known of a service's engines; undefined for plain services. */
export interface EngineTraits {
  readonly slots: number;
  readonly cacheTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Bytes of memory of one cached token; undefined where that is not told. */
  readonly cacheBytesPerToken: number | undefined;
  /** How fast engines copy memory to each other, in Mbit/s; undefined where they do not. */
  readonly copyMbps: number | undefined;
}

/** A service as the configuration names it. */
export interface ServiceTraits {
  readonly name: ServiceName;
  /** Connections that one upstream takes from all instances together. */
  readonly maxConnections: number;
  readonly engine: EngineTraits | undefined;
}

/** A client account as the configuration names it. */
export interface ForwardAccount {
  readonly accountId: AccountId;
  readonly keys: readonly string[];
  /** Goes before the route's; undefined where the route's counts. */
  readonly priority: number | undefined;
  /** All that the account may use; undefined where it has no limit. */
  readonly prepaidTokens: number | undefined;
}

/** Bounds on what callers send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration, whole. */
export interface ForwardConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceTraits[];
  readonly limits: CallerLimits;
  /** Undefined where requests need no keys at all. */
  readonly accounts: readonly ForwardAccount[] | undefined;
}

/** An upstream as the store lists it. */
export interface UpstreamRecord {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly ip: string;
  readonly port: number;
  readonly failureDomain: FailureDomainId;
  readonly slots: number;
  readonly state: 'live' | 'leaving';
  /** When this run of it began, in milliseconds since 1970; undefined where it does not say. */
  readonly startedAtMs?: number | undefined;
}

/** A part of a prompt that several requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request asks of an engine at most. */
export interface TokenDemand {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** What the headers of a caller's request say. */
export interface CallHead {
  readonly requestId: RequestId | undefined;
  /** How long the caller waits, in milliseconds. */
  readonly budgetMs: number | undefined;
  readonly key: string | undefined;
  readonly tokens: TokenDemand | undefined;
  /** In order; the last part belongs to the request or its session alone. */
  readonly promptParts: readonly PromptPart[];
  /** The last event that the caller has, when it resumes a stream. */
  readonly resumeAfter: string | undefined;
}

/** What an upstream reports of itself with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What the headers of an upstream's answer say. */
export interface AnswerHead {
  readonly requestId: string | undefined;
  /** Whether the upstream vouches for this answer. */
  readonly isSigned: boolean;
  /** Whether the upstream says that it did not run the request and never will. */
  readonly isNotRun: boolean;
  /** Whether another upstream than the one meant has answered. */
  readonly isWrongUpstream: boolean;
  readonly load: ReportedLoad | undefined;
  /**
   * Requests per second that the upstream accepts from all instances combined; infinite if the answer
   * has no limit, undefined if its limit cannot be parsed.
   */
  readonly limitPerS: number | undefined;
}

/** What an instance tells an upstream beside the caller's own headers. */
export interface UpstreamFields {
  readonly upstreamId: UpstreamId;
  readonly accountId: AccountId | undefined;
  /** What is left of the caller's time, in milliseconds. */
  readonly budgetMs: number;
  /** The event after which a stream goes on. */
  readonly resumeAfter: string | undefined;
  /** 0 is the most urgent, 9 the least. */
  readonly priority: number | undefined;
  /** `IP:PORT` of an engine that may hold parts of the prompt. */
  readonly fetchFrom: string | undefined;
}
