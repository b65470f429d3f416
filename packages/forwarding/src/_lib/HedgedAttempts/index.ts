/**
 * Attempts of one forwarded request that run beside each other.
 */
import { toRouterError } from '@acaciacrank/base';
import {
  HedgedAttempts as AnyHedgedAttempts,
  resultRanks,
  type Contender as AnyContender,
  type EndedContender as AnyEndedContender,
  type ResultRank,
} from '@acaciacrank/routing';
import { firstServerError, type AttemptResult } from '../AttemptResult/index.js';

/** An attempt that may run beside others of the same request. */
export type Contender = AnyContender<AttemptResult>;
/** A contender with its result. */
export type EndedContender<Kind extends Contender> = AnyEndedContender<Kind, AttemptResult>;

/** Options of {@link HedgedAttempts}. */
export interface HedgedAttemptsOptions<Kind extends Contender> {
  /** Called with the result of each contender, in order, before `result` resolves. */
  readonly onEnded: (ended: EndedContender<Kind>) => void;
  /** Whether events of a stream have been passed on, so that nothing but further events is of use. */
  readonly hasBegun: () => boolean;
}

/** Hedged attempts whose results are ranked by what they say of a forwarded request. */
export class HedgedAttempts<Kind extends Contender> extends AnyHedgedAttempts<Kind, AttemptResult> {
  constructor({ onEnded, hasBegun }: HedgedAttemptsOptions<Kind>) {
    super({ onEnded, toFailure, rankOf: (result) => rankOf(result, hasBegun()) });
  }
}

function rankOf(result: AttemptResult, hasBegun: boolean): ResultRank {
  switch (result.kind) {
    case 'answer':
      if (hasBegun) return resultRanks.failure;
      return result.status < firstServerError ? resultRanks.final : resultRanks.held;
    case 'streamed':
      return hasBegun && result.isEmpty ? resultRanks.held : resultRanks.final;
    case 'relayed':
      return resultRanks.final;
    case 'broken':
      return resultRanks.failure;
    default:
      return resultRanks[result.kind];
  }
}

function toFailure(thrown: unknown): AttemptResult {
  return { kind: 'broken', reason: toRouterError(thrown).message, isConnectionLost: false };
}
