import type { GrantPart } from '../../types.js';

/** The parts of a reservation, split at a number of tokens. */
export interface SplitParts {
  readonly kept: readonly GrantPart[];
  readonly rest: readonly GrantPart[];
}

/**
 * Splits the parts of a reservation at a number of tokens.
 *
 * @param parts - the parts, in order
 * @param tokens - how many tokens to keep
 *
 * @example
 * splitParts([{ grantId, tokens: 5 }], 3);
 * //=> { kept: [{ grantId, tokens: 3 }], rest: [{ grantId, tokens: 2 }] }
 */
export function splitParts(parts: readonly GrantPart[], tokens: number): SplitParts {
  const kept: GrantPart[] = [];
  const rest: GrantPart[] = [];
  let remainingTokens = tokens;
  for (const part of parts) {
    const keptTokens = Math.min(remainingTokens, part.tokens);
    remainingTokens -= keptTokens;
    if (keptTokens > 0) kept.push({ ...part, tokens: keptTokens });
    if (keptTokens < part.tokens) rest.push({ ...part, tokens: part.tokens - keptTokens });
  }
  return { kept, rest };
}
