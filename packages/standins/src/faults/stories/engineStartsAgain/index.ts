import type { StoryContext } from '../../StoryContext/index.js';

/**
 * Engines start again under their ids, with another version of their software, while they run a request; no answer
 * may hold tokens of both.
 *
 * @param context - the fleet and the callers of the story
 *
 * @example
 * await engineStartsAgain(context);
 */
export async function engineStartsAgain(context: StoryContext): Promise<void> {
  const { clock, clients } = context.fleet;
  const first = context.retryUntilAnswered((index) => context.chat(index, 'prompt-1'));
  for (const engine of clients.engines.values()) {
    await clock.sleep(60);
    engine.restart('v2');
  }
  await first;
  await context.retryUntilAnswered((index) => context.chat(index, 'prompt-2'));
}
