import type { UpstreamStatement } from '../../types.js';

/** A statement that says nothing. */
export const emptyStatement: UpstreamStatement = {
  load: undefined,
  limitPerS: undefined,
  warmUpMs: undefined,
  isLeaving: false,
  backoffMs: undefined,
  maxRefusalsPerS: undefined,
};

/** A statement in two parts. */
export interface SplitStatement {
  /** That the upstream takes no more requests, or none for a while: true of whatever sends it. */
  readonly refusing: UpstreamStatement;
  /** What is believed only of an upstream that answers. */
  readonly other: UpstreamStatement;
}

/**
 * Splits the statement in the head of a success into what is applied at once, and what is applied once the response
 * has turned out to be one.
 *
 * @example
 * const { refusing, other } = splitStatement(statement);
 */
export function splitStatement(statement: UpstreamStatement): SplitStatement {
  const { isLeaving, backoffMs } = statement;
  return {
    refusing: { ...emptyStatement, isLeaving, backoffMs },
    other: { ...statement, isLeaving: false, backoffMs: undefined },
  };
}
