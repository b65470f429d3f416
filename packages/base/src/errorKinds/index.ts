/**
 * The closed list of error kinds, and the table from kind to answer.
 *
 * Every error that leaves the system, to a caller or an operator, has one of these kinds.
 */

/** What an answer says about whether the work was done. */
export type RunClaim = 'notRun' | 'ran' | 'unknown';

/** How one error kind is answered. */
export interface ErrorAnswer {
  /** HTTP status towards callers and operators. */
  readonly httpStatus: number;
  /** What the answer claims unless the error itself says otherwise. */
  readonly ran: RunClaim;
  /** When to come back; undefined where coming back is of no use. */
  readonly retryAfterMs: number | undefined;
  /** What the caller or operator should do. */
  readonly remedy: string;
}

/** The table from kind to answer. */
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
    remedy: 'Somebody else changed it first: look at what changed, then try again.',
  },
  notTried: {
    httpStatus: 409,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy:
      'Run acaciacrankctl try with the same file first; promote when an instance of trial acts on it.',
  },
  keyReused: {
    httpStatus: 422,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy: 'An idempotency key stands for one request: take a new key for another body.',
  },
  tooLarge: {
    httpStatus: 413,
    ran: 'notRun',
    retryAfterMs: undefined,
    remedy: 'Send a smaller body.',
  },
  overloaded: {
    httpStatus: 429,
    ran: 'notRun',
    retryAfterMs: 2_000,
    remedy: 'Come back after the stated time; lower classes give way first.',
  },
  notReady: {
    httpStatus: 503,
    ran: 'notRun',
    retryAfterMs: 500,
    remedy: 'The instance knows no configuration yet: come back, or use another instance.',
  },
  tokensHeldElsewhere: {
    httpStatus: 429,
    ran: 'notRun',
    retryAfterMs: 1_000,
    remedy: 'Other instances hold what is left of the budget: come back after the stated time.',
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
    remedy: 'No upstream could take the request: come back after the stated time.',
  },
  storeUnavailable: {
    httpStatus: 503,
    ran: 'notRun',
    retryAfterMs: 2_000,
    remedy: "The platform's store did not answer: come back after the stated time.",
  },
  historyGone: {
    httpStatus: 503,
    ran: 'notRun',
    retryAfterMs: 1_000,
    remedy: "The platform's store dropped the changes that were asked for: read it again whole.",
  },
  peerUnavailable: {
    httpStatus: 503,
    ran: 'notRun',
    retryAfterMs: 2_000,
    remedy: 'Another instance of the fleet did not answer: come back after the stated time.',
  },
  deadlineExceeded: {
    httpStatus: 504,
    ran: 'notRun',
    retryAfterMs: 2_000,
    remedy: 'Not begun, or not whole, before its deadline: see whether it ran, then come back.',
  },
  upstreamFailed: {
    httpStatus: 502,
    ran: 'unknown',
    retryAfterMs: 1_000,
    remedy: 'The answer broke off. Retry with the same idempotency key: it is billed once.',
  },
  outcomeUnknown: {
    httpStatus: 502,
    ran: 'unknown',
    retryAfterMs: undefined,
    remedy: 'The call may have run. Look at the service before doing it again under a new key.',
  },
  cancelled: {
    httpStatus: 499,
    ran: 'unknown',
    retryAfterMs: undefined,
    remedy: 'The caller went away; what was generated is billed.',
  },
  internal: {
    httpStatus: 500,
    ran: 'unknown',
    retryAfterMs: undefined,
    remedy: 'A defect of this system: report the request id.',
  },
} as const satisfies Record<string, ErrorAnswer>;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof errorAnswers;
