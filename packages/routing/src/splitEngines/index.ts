import { rankByKey, type Identified } from '../rankByKey/index.js';

/** Engines by what they are for. */
export interface EngineSplit<Engine> {
  /** For prompts that leave the streams beside them on time. */
  readonly ordinary: readonly Engine[];
  /** For prompts that do not; kept apart, so that they hold up only each other. */
  readonly long: readonly Engine[];
}

/**
 * Sets some engines of a service apart for long prompts.
 *
 * Answers loads in which few prompts hold most of the tokens: a long prompt holds up all streams of
 * its engine, so spread over all engines a few of them make most streams late. All instances find
 * the same split without a message, and a lost engine changes the part of one other at most.
 *
 * @param engines - usable engines, in any order
 * @param longShare - the share of engines to set apart
 * @returns the split; with fewer than three engines nothing is set apart
 *
 * @example
 * splitEngines(engines, 0.4).long.length;
 */
export function splitEngines<Engine extends Identified>(
  engines: readonly Engine[],
  longShare: number,
): EngineSplit<Engine> {
  const count = Math.round(engines.length * longShare);
  if (engines.length < 3 || count === 0) return { ordinary: engines, long: engines };
  const ranked = rankByKey('long prompts', engines);
  return { long: ranked.slice(0, count), ordinary: ranked.slice(count) };
}
