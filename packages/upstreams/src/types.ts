/**
 * Messages exchanged with upstreams.
 */
import type { RequestId, UpstreamId } from '@acaciacrank/base';

/** One message of a conversation, in the chat completions format. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** A request to an engine to generate an answer. */
export interface GenerateRequest {
  readonly requestId: RequestId;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  /** Maximum number of tokens to generate. */
  readonly maxTokens: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** One generated token. */
export interface TokenFrame {
  readonly kind: 'token';
  readonly requestId: RequestId;
  /** Position of the token in the answer, starting at 0. */
  readonly sequence: number;
  readonly text: string;
}

/** The explicit end of a stream. */
export interface EndFrame {
  readonly kind: 'end';
  readonly requestId: RequestId;
  /** Number of tokens in the whole answer. */
  readonly sequence: number;
  readonly finishReason: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** The tokens that an engine processed for one request. */
export interface EngineUsage {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** One frame of an engine's stream. */
export type EngineFrame = TokenFrame | EndFrame;

/** Load as reported by an upstream; already out of date when it is read. */
export interface LoadReport {
  readonly upstreamId: UpstreamId;
  readonly state: 'live' | 'leaving';
  /** Requests in the running batch. */
  readonly runningRequests: number;
  /** Requests waiting for a slot in the batch. */
  readonly waitingRequests: number;
  /** Number of slots in the batch. */
  readonly maxRunningRequests: number;
  /** Time of measurement, by the upstream's wall clock, in milliseconds since 1970. */
  readonly measuredAtMs: number;
  /**
   * Time the upstream started, by its wall clock; if it changes for the same id, the upstream
   * restarted.
   */
  readonly startedAtMs?: number | undefined;
}

/**
 * One change of an engine's prefix cache: only a hint, since events are delayed and may be lost.
 */
export interface CacheEvent {
  readonly kind: 'stored' | 'evicted';
  readonly prefixHash: number;
  /** Increases by one with each event; a gap means that an event was lost. */
  readonly sequence: number;
  /** Time of the change, by the engine's wall clock, in milliseconds since 1970. */
  readonly atMs: number;
}

/** One call to a plain service. */
export interface ServiceRequest {
  readonly requestId: RequestId;
  readonly method: string;
  /** Path and query, starting with `/`. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** The complete response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Uint8Array;
}

/** The role of an engine in its group: process prompts, generate tokens, or both. */
export type EngineRole = 'prefill' | 'decode' | 'both';

/** A version of a model that an engine has loaded or should load. */
export interface ModelVersion {
  readonly model: string;
  readonly version: string;
}

/** A version of an adapter of a model. */
export interface AdapterVersion extends ModelVersion {
  readonly adapter: string;
}

/** An order to an engine. Orders are idempotent: each names a desired state. */
export type EngineOrder =
  | ({ readonly kind: 'loadModel' } & ModelVersion)
  | ({ readonly kind: 'loadAdapter' } & AdapterVersion)
  | { readonly kind: 'changeRole'; readonly role: EngineRole }
  /** Transfers the KV cache to another engine before leaving. */
  | { readonly kind: 'exportKv'; readonly receiverId: UpstreamId };

/** An order with its fencing token, by which engines that check it reject a stale lease holder. */
export interface OrderRequest {
  readonly fencingNumber: number;
  readonly order: EngineOrder;
}

/** How an engine responded to an order. */
export type OrderOutcome =
  | { readonly kind: 'taken' }
  /** The engine has seen a higher fencing token. */
  | { readonly kind: 'stale' }
  /** The weight store has reached its rate limit. */
  | { readonly kind: 'rateLimited'; readonly retryAfterMs: number };

/** The state that an engine reports; models and adapters that are still loading count as loaded. */
export interface EngineState {
  readonly models: readonly ModelVersion[];
  readonly adapters: readonly AdapterVersion[];
  readonly role: EngineRole;
  /** Whether the engine can transfer its KV cache. */
  readonly offersKvExport: boolean;
  /** The engine to which it has transferred its KV cache. */
  readonly kvExportedTo?: UpstreamId | undefined;
}
