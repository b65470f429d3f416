import { readBudget } from '@acaciacrank/ledger';
import { findBudget, readEnvironment } from '../_lib/readEnvironment/index.js';
import { describeBudget } from '../runStatus/index.js';
import type { CommandContext, CommandResult } from '../types.js';

/**
 * Shows the tokens of one budget: prepaid, spent, set aside for instances and free.
 *
 * @throws RouterError `notFound` or `storeUnavailable`
 *
 * @example
 * const { data } = await runBudget(context, 'kapiti', 'office-2026');
 */
export async function runBudget(
  context: CommandContext,
  environment: string,
  budgetId: string,
): Promise<CommandResult> {
  const { index, store } = await readEnvironment(context, environment);
  const budget = findBudget(index, budgetId);
  const status = await readBudget(store, budget);
  return {
    isCertain: true,
    text: [
      `${describeBudget(status)} (client account ${budget.accountId}).`,
      'Tokens set aside include those of requests under way; unused ones are returned.',
      `Next: to add tokens: acaciacrankctl top-up ${budgetId} TOKENS --id INVOICE --environment ${environment}`,
    ].join('\n'),
    data: { environment, accountId: budget.accountId, ...status },
  };
}
