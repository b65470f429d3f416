import type { StoryContext } from '../../StoryContext/index.js';

/**
 * A caller writes to a plain service and retries at other instances with the same idempotency key.
 *
 * @param context - the fleet and the callers of the story
 *
 * @example
 * await serviceWrite(context);
 */
export async function serviceWrite(context: StoryContext): Promise<void> {
  await context.retryUntilAnswered((index) => context.service(index, 'issue-1', 'POST'));
}
