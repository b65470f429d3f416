/**
 * What callers ask and are answered, apart from HTTP.
 */
import type { BudgetId, ClassName, RequestId } from '@acaciacrank/base';
import type { ChatMessage } from '@acaciacrank/upstreams';

/** Who calls and under which key; the same for models and services. */
export interface CallIdentity {
  /** The account's secret key. */
  readonly accountKey: string | undefined;
  readonly budgetId: BudgetId;
  /** The caller's `Idempotency-Key`; made by this instance where the caller sent none. */
  readonly idempotencyKey: string;
  readonly className: ClassName | undefined;
}

/** One chat completion. */
export interface ChatCall extends CallIdentity {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  /** The most tokens to generate; the service's maximum where the caller named none. */
  readonly maxTokens: number | undefined;
}

/** One call to a plain service. */
export interface ServiceCall extends CallIdentity {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** One token on its way to the caller. */
export interface ChatTokenFrame {
  readonly kind: 'token';
  readonly requestId: RequestId;
  readonly sequence: number;
  readonly text: string;
}

/** The explicit end of an answer; sent only when the bill is durable. */
export interface ChatFinalFrame {
  readonly kind: 'final';
  readonly requestId: RequestId;
  readonly finishReason: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly billedTokens: number;
  /** Whether an earlier attempt under the same key was billed already. */
  readonly isRepeat: boolean;
}

/** One frame of an answer. */
export type ChatFrame = ChatTokenFrame | ChatFinalFrame;
