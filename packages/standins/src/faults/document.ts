/**
 * The environment document of the stories: small budgets and short responses.
 */
import { digestText, type AccountId, type BudgetId } from '@acaciacrank/base';
import type { BudgetRef } from '@acaciacrank/ledger';

/** The key of the only client account. */
export const accountKey = 'fault-key';

/** The only budget; it covers only a few requests, so that stories reach its limit. */
export const budget: BudgetRef = {
  accountId: 'one' as AccountId,
  budgetId: 'one-2026' as BudgetId,
  openingTokens: 130,
};

/**
 * Returns the document with a note in its first line, so that a promotion has a change to promote.
 *
 * @param note - text of the comment in the first line
 * @param openingTokens - opening balance of the budget
 *
 * @example
 * storyDocument('second').startsWith('# second');
 * //=> true
 */
export function storyDocument(note: string, openingTokens = budget.openingTokens): string {
  return `# ${note}
environment: faults
classes:
  - { name: review, firstTokenDeadlineMs: 60000, totalDeadlineMs: 120000 }
  - { name: shift, firstTokenDeadlineMs: 20000, totalDeadlineMs: 60000 }
services:
  - { name: tutor, kind: engines, models: [small], checksFencing: true, maxOutputTokens: 40, minBytesPerToken: 4 }
  - { name: records, kind: plain, tokensPerCall: 5 }
accounts:
  - id: one
    keyDigests: [${digestText(accountKey)}]
    budgets:
      - { id: ${budget.budgetId}, openingTokens: ${openingTokens} }
`;
}
