import { rankByKey, type Identified } from '../rankByKey/index.js';

/** What an instance knows of an engine's work. */
export interface EngineWork extends Identified {
  /** Reading that this instance has ordered there and that has not ended, in milliseconds. */
  readonly backlogMs: number;
  /** Streams under way there, as far as is known. */
  readonly running: number;
}

/** Where a prompt goes. */
export interface PromptPlace<Engine> {
  readonly engine: Engine;
  /** The engine that most likely holds the shared parts; undefined where it is the same. */
  readonly home: Engine | undefined;
}

/** Beyond this many engines from the first choice a shared part is not spread. */
const maxHomes = 3;
/** What a running stream counts for, in milliseconds of reading: it slows each step a little. */
const runningMs = 1;
/**
 * What each step away from the first choice counts for, in milliseconds: the shared part has to be
 * copied or read again there.
 */
const strayMs = 60;

/**
 * Chooses an engine for a prompt by its shared part, and near-by ones in the same order when the
 * first choice has much to read.
 *
 * Answers a hot part: its first engine would read one prompt after the other while others idle.
 * The spill is bounded to few engines, so that the part is not read again everywhere.
 *
 * @param key - the last part that other prompts share
 * @param engines - candidates, at least one
 * @returns the place; undefined without candidates
 *
 * @example
 * placePrompt('5c1e07a2', engines)?.engine;
 */
export function placePrompt<Engine extends EngineWork>(
  key: string,
  engines: readonly Engine[],
): PromptPlace<Engine> | undefined {
  const homes = rankByKey(key, engines).slice(0, maxHomes);
  const [first] = homes;
  if (first === undefined) return undefined;
  let best = first;
  let bestCostMs = Infinity;
  homes.forEach((engine, index) => {
    const costMs = engine.backlogMs + engine.running * runningMs + index * strayMs;
    if (costMs >= bestCostMs) return;
    best = engine;
    bestCostMs = costMs;
  });
  return { engine: best, home: best === first ? undefined : first };
}
