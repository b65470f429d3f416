import type { StoryContext } from '../../StoryContext/index.js';

/**
 * A caller sends a chat request and retries at other instances until there is a response.
 *
 * @param context - the fleet and the callers of the story
 *
 * @example
 * await modelRequest(context);
 */
export async function modelRequest(context: StoryContext): Promise<void> {
  await context.retryUntilAnswered((index) => context.chat(index, 'prompt-1'));
}
