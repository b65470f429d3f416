/**
 * Creates configuration documents of any size, for tests and benchmarks.
 */
import { digestText } from '@acaciacrank/base';
import type { EnvironmentDocument } from '@acaciacrank/operators';

/** The size of a document. */
export interface DocumentSize {
  readonly accounts: number;
  /** Number of budgets of an account that is not large. */
  readonly budgetsPerAccount: number;
  /** Number of the accounts that are large, 0 by default. */
  readonly largeAccounts?: number;
  /** Number of budgets of each large account, 0 by default. */
  readonly budgetsPerLargeAccount?: number;
}

/**
 * Creates a document.
 *
 * @example
 * makeDocument({ accounts: 10, budgetsPerAccount: 1 }).accounts.length;
 * //=> 10
 */
export function makeDocument(size: DocumentSize): EnvironmentDocument {
  return {
    environment: 'kapiti',
    weighs: 'overspend',
    classes: [{ name: 'review', firstTokenDeadlineMs: 30_000, totalDeadlineMs: 600_000 }],
    services: [
      {
        name: 'kitchen-tutor',
        kind: 'engines',
        models: ['tutor-large'],
        minBytesPerToken: 1,
        maxOutputTokens: 2_000,
        checksFencing: true,
      },
    ],
    accounts: Array.from({ length: size.accounts }, (_, accountIndex) => {
      const isLarge = accountIndex < (size.largeAccounts ?? 0);
      const budgets = isLarge ? (size.budgetsPerLargeAccount ?? 0) : size.budgetsPerAccount;
      return {
        id: `account-${accountIndex}`,
        keyDigests: [digestText(`key-${accountIndex}`)],
        budgets: Array.from({ length: budgets }, (__, budgetIndex) => ({
          id: `account-${accountIndex}-budget-${budgetIndex}`,
          openingTokens: 100_000 + budgetIndex,
        })),
      };
    }),
  };
}

/** Creates the text of a small document; tests tell versions apart by the opening tokens of a budget. */
export function createDocumentText(openingTokens: number, environment = 'kapiti'): string {
  return `environment: ${environment}
classes:
  - { name: review, firstTokenDeadlineMs: 60000, totalDeadlineMs: 600000 }
services:
  - { name: tutor, kind: engines, models: [small], checksFencing: true }
accounts:
  - id: porirua
    keyDigests: [${digestText('porirua-key')}]
    budgets:
      - { id: porirua-2026, openingTokens: ${openingTokens} }
  - id: waikanae
    keyDigests: [${digestText('waikanae-key')}]
    budgets:
      - { id: waikanae-2026, openingTokens: 10 }
`;
}

/** The opening tokens passed to {@link createDocumentText} for the document that an index was built from. */
export function openingTokensOf(index: {
  budgetOf(account: never, budget: string): { openingTokens: number };
}): number {
  return index.budgetOf('porirua' as never, 'porirua-2026').openingTokens;
}
