import type { StoryContext } from '../../StoryContext/index.js';

/** How long an engine is away after its end, and the time between two prompts, in milliseconds. */
const timesMs = { down: 2_000, pause: 300 } as const;
const promptCount = 5;

/**
 * Prompts that share a message end each engine that runs them; others are answered in the end.
 *
 * @param context - the fleet and the callers of the story
 *
 * @example
 * await deadlyMessage(context);
 */
export async function deadlyMessage(context: StoryContext): Promise<void> {
  const { clock, clients } = context.fleet;
  for (const engine of clients.engines.values()) engine.endUnder('poison', timesMs.down);
  for (let index = 0; index < promptCount; index += 1) {
    await context.chat(index % 2, `bad-${index}`, { context: 'the poison' });
    await clock.sleep(timesMs.pause);
  }
  await context.retryUntilAnswered((index) => context.chat(index, 'prompt-1'));
}
