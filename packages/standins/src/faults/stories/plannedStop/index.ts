import type { StoryContext } from '../../StoryContext/index.js';

/**
 * An instance is drained for a planned stop while it streams a response.
 *
 * @param context - the fleet and the callers of the story
 *
 * @example
 * await plannedStop(context);
 */
export async function plannedStop(context: StoryContext): Promise<void> {
  const { instance } = context.instance(0);
  const openRequest = instance.beginRequest();
  const attempt = context.chat(0, 'prompt-1').finally(() => {
    openRequest[Symbol.dispose]();
  });
  await context.fleet.clock.sleep(30);
  const crashed = context.injector.whenCrashed('i1');
  await Promise.race([instance.drain(300_000), crashed]);
  const isOpen = !context.injector.hasCrashed('i1') && instance.openRequests > 0;
  const outcome = await attempt;
  // After a pause beyond the deadline of the class, streams end because of the deadline, not the stop.
  const isEndedByDeadline =
    context.injector.hasPaused && outcome.error?.kind === 'deadlineExceeded';
  const isCut = outcome.text !== '' && outcome.final === undefined && !isEndedByDeadline;
  if (isOpen || (isCut && !context.injector.hasCrashed('i1'))) {
    context.violations.push({ invariant: 'plannedStopCutsNothing', what: outcome.key });
  }
}
