/** What is known of whether a request has run where it was sent. */
export type RunKnowledge =
  /** No byte of it was sent. */
  | 'notSent'
  /** Whoever got it states that it has not run and never will. */
  | 'notRun'
  /** It has run: whoever got it has answered. */
  | 'ran'
  /** It may have run, or may run yet. */
  | 'unknown';

/** What decides whether a request may be sent once more. */
export interface ResendEvidence {
  /** Whether it may run more than once. */
  readonly isRepeatable: boolean;
  /** What is known of it where it was sent; of several sends, what {@link combineKnowledge} returns. */
  readonly knowledge: RunKnowledge;
  /** Number of upstreams that it was sent to, by this instance and by peers for it. */
  readonly sends: number;
  /** Number of upstreams that its route allows. */
  readonly maxSends: number;
}

/** Why a request may not be sent once more: it may have run and must not run twice, or its route allows no further upstream. */
export type ResendRefusal = 'mayHaveRun' | 'routeLimit';

/** Whether a request may be sent once more. */
export type ResendDecision = 'send' | ResendRefusal;

/**
 * Decides whether a request may be sent to a further upstream. Every send after the first one goes by this rule,
 * whichever path it takes: a retry, a hedged request, or a request that a peer sends.
 *
 * @example
 * decideResend({ isRepeatable: false, knowledge: 'ran', sends: 1, maxSends: 2 });
 * //=> 'mayHaveRun'
 */
export function decideResend(evidence: ResendEvidence): ResendDecision {
  const { isRepeatable, knowledge, sends, maxSends } = evidence;
  if (!isRepeatable && mayHaveRun(knowledge)) return 'mayHaveRun';
  return sends < maxSends ? 'send' : 'routeLimit';
}

/** Whether a request may have run, or may run yet. */
export function mayHaveRun(knowledge: RunKnowledge): boolean {
  return knowledge === 'ran' || knowledge === 'unknown';
}

/** From what is least of a hindrance to a further send to what is most. */
const byCertainty: readonly RunKnowledge[] = ['notSent', 'notRun', 'ran', 'unknown'];

/**
 * Returns what is known of a request that was sent twice.
 *
 * @example
 * combineKnowledge('unknown', 'notRun');
 * //=> 'unknown'
 */
export function combineKnowledge(one: RunKnowledge, other: RunKnowledge): RunKnowledge {
  return byCertainty.indexOf(one) < byCertainty.indexOf(other) ? other : one;
}
