/**
 * All error kinds, and how each one is reported.
 *
 * Every error that is returned to a caller or an operator has one of these kinds.
 */

/** The claim of an error response about whether the request was executed. */
export type ExecutionClaim = 'notRun' | 'ran' | 'unknown';

/** How an error kind is reported to callers and operators. */
export interface ErrorAnswer {
  /** HTTP status of the response. */
  readonly httpStatus: number;
  /** Whether the request was executed, unless the error itself states otherwise. */
  readonly ran: ExecutionClaim;
  /** Delay before a retry, in milliseconds; undefined where a retry without a change is useless. */
  readonly retryAfterMs: number | undefined;
  /** What the caller or operator should do. */
  readonly remedy: string;
}

/** How each error kind is reported. */
export const errorAnswers = {
  badRequest: {
    httpStatus: 400,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy: 'Correct the request; the message names the field.',
  },
  badSettings: {
    httpStatus: 400,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy: 'Correct the settings file; the message names the path.',
  },
  badDocument: {
    httpStatus: 400,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy: 'Correct the environment document; the message names line and column.',
  },
  unauthenticated: {
    httpStatus: 401,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy: 'Send the key of a client account as a bearer token.',
  },
  budgetExhausted: {
    httpStatus: 402,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy: 'Top up the budget, or ask for fewer tokens.',
  },
  notFound: {
    httpStatus: 404,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy: 'Check the name of the budget, model or service.',
  },
  conflict: {
    httpStatus: 409,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy: 'Another change was made first: check what changed, then try again.',
  },
  notTried: {
    httpStatus: 409,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy:
      'Run acaciacrankctl try with the same file first; promote it once a trial instance acts on it.',
  },
  keyReused: {
    httpStatus: 422,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy: 'An idempotency key identifies one request: use a new key for a different body.',
  },
  tooLarge: {
    httpStatus: 413,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy: 'Send a smaller body.',
  },
  requestTimeout: {
    httpStatus: 408,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy: 'Send the whole request before its time budget has passed.',
  },
  overloaded: {
    httpStatus: 429,
    ran: 'notRun',
    retryAfterMs: 2_000,
    remedy: 'Retry after the stated time; requests of lower priority classes are refused first.',
  },
  notReady: {
    httpStatus: 503,
    ran: 'notRun',
    retryAfterMs: 500,
    remedy: 'The instance has no configuration yet: retry later, or use another instance.',
  },
  tokensHeldElsewhere: {
    httpStatus: 429,
    ran: 'notRun',
    retryAfterMs: 1_000,
    remedy: 'Other instances hold the remaining tokens of the budget: retry after the stated time.',
  },
  instanceLeaving: {
    httpStatus: 503,
    ran: 'notRun',
    retryAfterMs: 0,
    remedy: 'Ask the directory again and use another instance.',
  },
  upstreamUnavailable: {
    httpStatus: 503,
    ran: 'notRun',
    retryAfterMs: 1_000,
    remedy: 'No upstream could take the request: retry after the stated time.',
  },
  upstreamsUnreached: {
    httpStatus: 503,
    ran: 'notRun',
    retryAfterMs: 500,
    remedy:
      'Neither this instance nor the peers that it asked reach an upstream: retry after the stated time.',
  },
  storeUnavailable: {
    httpStatus: 503,
    ran: 'notRun',
    retryAfterMs: 2_000,
    remedy: "The platform's store did not answer: retry after the stated time.",
  },
  historyGone: {
    httpStatus: 503,
    ran: 'notRun',
    retryAfterMs: 1_000,
    remedy: "The platform's store no longer has the requested changes: read the full state again.",
  },
  peerUnavailable: {
    httpStatus: 503,
    ran: 'notRun',
    retryAfterMs: 2_000,
    remedy: 'Another instance of the fleet did not answer: retry after the stated time.',
  },
  deadlineExceeded: {
    httpStatus: 504,
    ran: 'notRun',
    retryAfterMs: 2_000,
    remedy:
      'The request was not started or not completed before its deadline: check whether it ran, then retry.',
  },
  streamVersionUnknown: {
    httpStatus: 503,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy:
      'It is not known which software version began the stream: discard its events and send the request anew.',
  },
  streamVersionGone: {
    httpStatus: 502,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy:
      'No upstream runs the software version that began the stream: discard its events and send the request anew.',
  },
  requestQuarantined: {
    httpStatus: 502,
    ran: 'ran',
    retryAfterMs: undefined,
    remedy:
      'Every upstream that ran this request ended: change it before sending it again, or ask the operator.',
  },
  upstreamFailed: {
    httpStatus: 502,
    ran: 'unknown',
    retryAfterMs: 1_000,
    remedy:
      'The response was cut off. Retry with the same idempotency key: the request is billed once.',
  },
  outcomeUnknown: {
    httpStatus: 502,
    ran: 'unknown',
    retryAfterMs: undefined,
    remedy: 'The call may have run. Check the service before repeating the call with a new key.',
  },
  cancelled: {
    httpStatus: 499,
    ran: 'unknown',
    retryAfterMs: undefined,
    remedy: 'The caller disconnected; output generated until then is billed.',
  },
  internal: {
    httpStatus: 500,
    ran: 'unknown',
    retryAfterMs: undefined,
    remedy: 'A defect of this system: report the request id.',
  },
} as const satisfies Record<string, ErrorAnswer>;

/** The kind of an error, as callers and operators see it. */
export type ErrorKind = keyof typeof errorAnswers;
