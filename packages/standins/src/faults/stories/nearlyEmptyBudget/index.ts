import type { StoryContext } from '../../StoryContext/index.js';

/** Number of waves after the first; then the budget is used up. */
const laterWaves = 2;

/**
 * Callers use a nearly empty budget at two instances concurrently, in several waves until little is left,
 * then once more. Several waves are needed: a request usually reserves more tokens than it uses, so
 * tokens that were granted twice become visible only once they are used up.
 *
 * @param context - the fleet and the callers of the story
 *
 * @example
 * await nearlyEmptyBudget(context);
 */
export async function nearlyEmptyBudget(context: StoryContext): Promise<void> {
  await Promise.all([
    ...[0, 1, 2, 3, 4, 5, 6, 7].map((number) => context.chat(number % 2, `prompt-${number}`)),
    ...[0, 1].map((number) => context.service(number, `issue-${number}`, 'POST')),
  ]);
  for (let wave = 1; wave <= laterWaves; wave += 1) {
    const keys = [0, 1].map((index) => `prompt-${wave}-${index}`);
    await Promise.all(keys.map((key, index) => context.chat(index, key)));
  }
  await context.retryUntilAnswered((index) => context.chat(index, 'prompt-last'));
}
