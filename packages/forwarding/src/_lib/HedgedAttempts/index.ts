/**
 * Attempts of one forwarded request that run beside each other.
 */
import {
  HedgedAttempts as AnyHedgedAttempts,
  resultRanks,
  type Contender as AnyContender,
  type EndedContender as AnyEndedContender,
  type ResultRank,
} from '@acaciacrank/routing';
import type { AttemptResult } from '../AttemptResult/index.js';

/** An attempt that may run beside others of the same request. */
export type Contender = AnyContender<AttemptResult>;
/** A contender with its result. */
export type EndedContender<Kind extends Contender> = AnyEndedContender<Kind, AttemptResult>;

/** Responses with this status or above may be specific to one upstream. */
const firstServerError = 500;

/** Hedged attempts whose results are ranked by what they say of a forwarded request. */
export class HedgedAttempts<Kind extends Contender> extends AnyHedgedAttempts<Kind, AttemptResult> {
  /** @param onEnded - called with the result of each contender, in order, before `result` resolves */
  constructor(onEnded: (ended: EndedContender<Kind>) => void) {
    super({ onEnded, rankOf });
  }
}

function rankOf(result: AttemptResult): ResultRank {
  switch (result.kind) {
    case 'superseded':
      return resultRanks.superseded;
    case 'answer':
      return result.status < firstServerError ? resultRanks.final : resultRanks.answer;
    case 'streamed':
    case 'relayed':
    case 'deadline':
    case 'callerGone':
      return resultRanks.final;
    default:
      return resultRanks.failure;
  }
}
