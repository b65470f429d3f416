import { topUpBudget } from '@acaciacrank/ledger';
import { budget } from '../../document.js';
import type { StoryContext } from '../../StoryContext/index.js';

/**
 * An operator tops up a budget and repeats the top-up with the same id until it is confirmed.
 *
 * @param context - the fleet and the callers of the story
 *
 * @example
 * await topUp(context);
 */
export async function topUp(context: StoryContext): Promise<void> {
  context.topUps.set('invoice-1', 100);
  const spending = context.chat(0, 'prompt-1');
  const crashed = context.injector.whenCrashed('operator').then(() => false);
  const isToppedUp = await Promise.race([topUpUntilConfirmed(context, 'operator'), crashed]);
  // After a crash of the operator's machine, the same top-up is repeated from another machine.
  if (!isToppedUp) await topUpUntilConfirmed(context, 'operator-again');
  await spending;
}

async function topUpUntilConfirmed(context: StoryContext, operator: string): Promise<boolean> {
  const store = context.operatorStore(operator);
  const { clock } = context.fleet;
  for (;;) {
    const work = topUpBudget(store, clock, budget, 'invoice-1', 100);
    const prepaidTokens = await work.catch(() => undefined);
    if (prepaidTokens !== undefined) return true;
    await clock.sleep(5_000);
  }
}
