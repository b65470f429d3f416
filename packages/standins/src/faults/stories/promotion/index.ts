import { acceptDocument } from '@acaciacrank/operators';
import { storyDocument } from '../../document.js';
import type { StoryContext } from '../../StoryContext/index.js';

/**
 * Two operators promote a document at the same time, both based on the same version.
 *
 * @param context - the fleet and the callers of the story
 *
 * @example
 * await promotion(context);
 */
export async function promotion(context: StoryContext): Promise<void> {
  const promote = (name: string) => {
    const work = acceptDocument(
      context.operatorStore(name),
      context.fleet.clock,
      storyDocument(name),
      {
        expectedVersion: 1,
      },
    );
    return Promise.race([work.catch(() => undefined), context.injector.whenCrashed(name)]);
  };
  await Promise.all([promote('operator-a'), promote('operator-b')]);
  await context.fleet.clock.sleep(10_000);
}
