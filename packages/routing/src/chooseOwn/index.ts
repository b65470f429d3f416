import { rankByKey } from '../rankByKey/index.js';
import type { EngineWork } from '../placePrompt/index.js';

/** Which instance chooses, among how many. */
export interface ChooserPlace {
  /** This instance's place in the sorted list of instances, from 0. */
  readonly index: number;
  readonly count: number;
}

/**
 * What an engine that belongs to another instance counts for, in milliseconds of reading: what that
 * instance has ordered there is not known here.
 */
const foreignMs = 250;
/** What a running stream counts for, in milliseconds: each is held up by the next prompt. */
const streamMs = 15;

/**
 * Chooses an engine for a prompt that holds up the streams beside it.
 *
 * Answers instances that cannot see each other's work: two of them sending long prompts to one
 * engine at a time make all its streams pause twice as long. Each instance begins with engines of
 * its own, of which it knows everything, and goes to others only when its own have much to read.
 *
 * @param engines - candidates
 * @param place - this instance among the others
 * @returns the choice; undefined without candidates
 *
 * @example
 * chooseOwn(longEngines, { index: 0, count: 4 })?.id;
 */
export function chooseOwn<Engine extends EngineWork>(
  engines: readonly Engine[],
  place: ChooserPlace,
): Engine | undefined {
  const ranked = rankByKey('owners', engines);
  const count = Math.max(1, place.count);
  let best: Engine | undefined;
  let bestCostMs = Infinity;
  ranked.forEach((engine, at) => {
    const isOwn = at % count === place.index || place.index % ranked.length === at;
    const costMs = engine.backlogMs + engine.running * streamMs + (isOwn ? 0 : foreignMs);
    if (costMs >= bestCostMs) return;
    best = engine;
    bestCostMs = costMs;
  });
  return best;
}
