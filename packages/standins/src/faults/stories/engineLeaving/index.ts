import type { StoryContext } from '../../StoryContext/index.js';

/**
 * An engine begins to leave while it runs a request; later requests must go to other engines.
 *
 * @param context - the fleet and the callers of the story
 *
 * @example
 * await engineLeaving(context);
 */
export async function engineLeaving(context: StoryContext): Promise<void> {
  const first = context.retryUntilAnswered((index) => context.chat(index, 'prompt-1'));
  await context.fleet.clock.sleep(30);
  context.fleet.clients.engines.get('e1')?.leave();
  await first;
  for (const number of [2, 3, 4]) {
    await context.fleet.clock.sleep(1_500);
    await context.retryUntilAnswered((index) => context.chat(index, `prompt-${number}`));
  }
}
