/**
 * The report that the demonstration prints at its end.
 */
import type { BudgetStatus } from '@acaciacrank/ledger';
import { formatTable, type ResultRow } from '../printTable/index.js';
import type { ClassOutcome } from '../runLoad/index.js';

/** Creates one row for each class. */
export function classRows(outcomes: readonly ClassOutcome[]): ResultRow[] {
  return outcomes.map((outcome) => ({
    class: outcome.className,
    answered: outcome.answered,
    refused: outcome.refused,
    brokenOff: outcome.brokenOff,
    firstTokenP50Ms: outcome.firstTokenMs.getValueAtPercentile(50),
    firstTokenP95Ms: outcome.firstTokenMs.getValueAtPercentile(95),
    tokenGapP50Ms: outcome.tokenGapMs.getValueAtPercentile(50),
    tokenGapP95Ms: outcome.tokenGapMs.getValueAtPercentile(95),
    errors: [...outcome.errors].map(([kind, count]) => `${kind} ${count}`).join(', '),
  }));
}

/** Creates one row for each budget. */
export function budgetRows(
  budgets: readonly BudgetStatus[],
  outcomes: readonly ClassOutcome[],
): ResultRow[] {
  const refusedOf = (budgetId: string) =>
    outcomes.reduce((sum, outcome) => sum + (outcome.refusedByBudget.get(budgetId) ?? 0), 0);
  return budgets.map((budget) => ({
    budget: budget.budgetId,
    prepaidTokens: budget.prepaidTokens,
    spentTokens: budget.settledTokens,
    setAsideTokens: budget.grantedTokens,
    bills: budget.bills,
    refused: refusedOf(budget.budgetId),
  }));
}

/** Formats both tables with headings. */
export function formatReport(
  outcomes: readonly ClassOutcome[],
  budgets: readonly BudgetStatus[],
): string {
  return [
    'What callers saw',
    formatTable(classRows(outcomes)),
    '',
    'What the ledger holds',
    formatTable(budgetRows(budgets, outcomes)),
  ].join('\n');
}
