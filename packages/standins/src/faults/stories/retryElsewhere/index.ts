import type { StoryContext } from '../../StoryContext/index.js';

/**
 * A caller hangs up in mid-stream and retries at another instance with the same idempotency key.
 *
 * @param context - the fleet and the callers of the story
 *
 * @example
 * await retryElsewhere(context);
 */
export async function retryElsewhere(context: StoryContext): Promise<void> {
  await context.chat(0, 'prompt-1', { hangUpAfterTokens: 2 });
  await context.retryUntilAnswered((index) => context.chat((index + 1) % 2, 'prompt-1'));
}
