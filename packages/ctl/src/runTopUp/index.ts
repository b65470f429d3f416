import { parseId, RouterError } from '@acaciacrank/base';
import { topUpBudget } from '@acaciacrank/ledger';
import { findBudget, readEnvironment } from '../_lib/readEnvironment/index.js';
import type { CommandContext, CommandResult } from '../types.js';

/** Options of {@link runTopUp}. */
export interface TopUpOptions {
  readonly environment: string;
  readonly budgetId: string;
  /** Identifies the top-up; repeating it with the same id changes nothing. */
  readonly topUpId: string;
  readonly tokens: number;
}

/**
 * Adds prepaid tokens to a budget, once for each top-up id.
 *
 * @throws RouterError `badRequest`, `notFound`, or `storeUnavailable`, with `ran` set to `unknown`
 * when the answer to the write may have been lost
 *
 * @example
 * await runTopUp(context, { environment, budgetId, topUpId: 'invoice-4711', tokens: 50_000 });
 */
export async function runTopUp(
  context: CommandContext,
  options: TopUpOptions,
): Promise<CommandResult> {
  const { environment, budgetId, tokens } = options;
  const topUpId = parseId(options.topUpId, 'top-up');
  const { index, store } = await readEnvironment(context, environment);
  const budget = findBudget(index, budgetId);
  let prepaidTokens: number;
  try {
    prepaidTokens = await topUpBudget(store, context.clock, budget, topUpId, tokens);
  } catch (error) {
    if (!(error instanceof RouterError) || error.kind !== 'storeUnavailable') throw error;
    throw new RouterError(
      'storeUnavailable',
      `whether top-up ${options.topUpId} was added is unknown; run the same command with the same --id again: it adds the tokens once`,
      { cause: error, ran: 'unknown' },
    );
  }
  return {
    isCertain: true,
    text: [
      `Budget ${budgetId} of ${environment} now has ${prepaidTokens} prepaid tokens, including top-up ${options.topUpId}.`,
      'Instances can use the tokens at once. Running this again with the same --id changes nothing.',
      `Next: acaciacrankctl budget ${budgetId} --environment ${environment}`,
    ].join('\n'),
    data: { environment, budgetId, topUpId, prepaidTokens },
  };
}
