import type { StoryContext } from '../../StoryContext/index.js';

/**
 * A caller reads from a plain service; reads may be executed repeatedly.
 *
 * @param context - the fleet and the callers of the story
 *
 * @example
 * await serviceRead(context);
 */
export async function serviceRead(context: StoryContext): Promise<void> {
  await context.retryUntilAnswered((index) => context.service(index, 'read-1', 'GET'));
}
