import VError from 'verror';
import {
  errorAnswers,
  type ErrorAnswer,
  type ErrorKind,
  type ExecutionClaim,
} from '../errorKinds/index.js';

/** Options of {@link RouterError}. */
export interface RouterErrorOptions {
  /** The error that led to this one. */
  cause?: Error;
  /** Overrides the claim in {@link errorAnswers} where more is known. */
  ran?: ExecutionClaim;
  /** Overrides the retry delay in {@link errorAnswers}, in milliseconds. */
  retryAfterMs?: number;
  /**
   * Backoff that the upstream requested with its refusal, in milliseconds; not sent to the caller.
   */
  backoffMs?: number | undefined;
  /**
   * Whether `ran` applies to all attempts of the request with this idempotency key, or only to this
   * attempt (the default).
   */
  claimScope?: 'request' | 'attempt';
}

/**
 * An error with one of the defined error kinds.
 *
 * It extends the native `Error`, because Node's `isNativeError`, and with it debuggers and test
 * runners, does not recognise classes derived from `VError`. It stores its cause where `VError`
 * looks for it, so that `VError.cause`, `VError.findCauseByName` and `VError.fullStack` work on it.
 *
 * @example
 * throw new RouterError('budgetExhausted', 'budget wellington-2026 has 12 tokens left');
 */
export class RouterError extends Error {
  override readonly name = 'RouterError';
  /** The cause, under the property name that `VError` reads. */
  readonly jse_cause: Error | undefined;
  readonly kind: ErrorKind;
  readonly ran: ExecutionClaim;
  readonly retryAfterMs: number | undefined;
  readonly backoffMs: number | undefined;
  readonly claimScope: 'request' | 'attempt';

  constructor(kind: ErrorKind, message: string, options: RouterErrorOptions = {}) {
    super(options.cause === undefined ? message : `${message}: ${options.cause.message}`);
    this.jse_cause = options.cause;
    const answer: ErrorAnswer = errorAnswers[kind];
    this.kind = kind;
    this.ran = options.ran ?? answer.ran;
    this.retryAfterMs = options.retryAfterMs ?? answer.retryAfterMs;
    this.backoffMs = options.backoffMs;
    this.claimScope = options.claimScope ?? 'attempt';
  }

  /** The stack of this error followed by those of all its causes. */
  get fullStack(): string {
    return VError.fullStack(this);
  }

  /** HTTP status for this error's kind. */
  get httpStatus(): number {
    return errorAnswers[this.kind].httpStatus;
  }

  /** What the caller or operator should do about this kind of error. */
  get remedy(): string {
    return errorAnswers[this.kind].remedy;
  }
}
