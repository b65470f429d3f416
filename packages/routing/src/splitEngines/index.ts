import { rankByKey, type Identified } from '../rankByKey/index.js';

/**
 * Divides engines into groups for prompts of different lengths.
 *
 * Answers loads in which few prompts hold most of the tokens: a long prompt holds up all streams of
 * its engine, so spread over all engines a few of them make most streams late. All instances find
 * the same groups without a message, and a lost engine changes the group of few others.
 *
 * @param engines - usable engines, in any order
 * @param shares - the share of engines of each group; they add up to 1
 * @returns one group for each share; too few engines for that are one group, given for each
 *
 * @example
 * const [ordinary, long] = splitEngines(engines, [0.6, 0.4]);
 */
export function splitEngines<Engine extends Identified>(
  engines: readonly Engine[],
  shares: readonly number[],
): Engine[][] {
  const ranked = rankByKey('prompt lengths', engines);
  if (engines.length < shares.length) return shares.map(() => ranked);
  let end = ranked.length;
  const groups = shares.map((share, index) => {
    const left = shares.length - 1 - index;
    const count = Math.max(1, Math.min(end - left, Math.round(share * ranked.length)));
    const start = left === 0 ? 0 : end - count;
    const group = ranked.slice(start, end);
    end = start;
    return group;
  });
  return groups;
}
