import { rankByKey, type Identified } from '../rankByKey/index.js';

/** What an instance knows of an engine's work. */
export interface EngineWork extends Identified {
  /** Reading that is queued there, as far as this instance knows or guesses, in milliseconds. */
  readonly backlogMs: number;
  /** Streams under way there, as far as is known. */
  readonly running: number;
}

/** A prompt, as far as its place goes by it. */
export interface PromptToPlace {
  /** The last part that other prompts share. */
  readonly key: string;
  /** What it takes to have the shared parts at an engine that does not hold them, in milliseconds. */
  readonly sharedMs: number;
  /** Engines that are known to hold the shared parts. */
  readonly holders: ReadonlySet<string>;
}

/** Where a prompt goes. */
export interface PromptPlace<Engine> {
  readonly engine: Engine;
  /** The engine that most likely holds the shared parts; undefined where it is the same. */
  readonly holder: Engine | undefined;
}

/** What a running stream counts for, in milliseconds of reading: it slows each step a little. */
const runningMs = 1;
/**
 * What each step away from the first choice counts for, in milliseconds: instances that see nothing of
 * each other then spill a part to the same few engines.
 */
const orderMs = 5;

/**
 * Chooses the engine at which a prompt is read first, counting what is read there before it and what
 * it takes to have the shared parts there.
 *
 * Answers two loads. Prompts with large shared parts: sent anywhere, each engine would read every part
 * again. A hot part: its first engine would read one prompt after the other while others idle, so it
 * spills where the wait is longer than reading the part once more.
 *
 * @param prompt - the shared parts and what they cost
 * @param engines - candidates
 * @returns the place; undefined without candidates
 *
 * @example
 * placePrompt({ key: '5c1e07a2', sharedMs: 90, holders: new Set() }, engines)?.engine;
 */
export function placePrompt<Engine extends EngineWork>(
  { key, sharedMs, holders }: PromptToPlace,
  engines: readonly Engine[],
): PromptPlace<Engine> | undefined {
  const ranked = rankByKey(key, engines);
  const known = ranked.filter(({ id }) => holders.has(id));
  // Where nothing is known of a part, another instance has most likely sent it to the first choice.
  const supposed = known.length > 0 ? known : ranked.slice(0, 1);
  let best: Engine | undefined;
  let bestCostMs = Infinity;
  ranked.forEach((engine, index) => {
    const fetchMs = supposed.includes(engine) ? 0 : sharedMs;
    const costMs = engine.backlogMs + engine.running * runningMs + fetchMs + index * orderMs;
    if (costMs >= bestCostMs) return;
    best = engine;
    bestCostMs = costMs;
  });
  if (best === undefined) return undefined;
  const [holder] = supposed;
  return { engine: best, holder: supposed.includes(best) ? undefined : holder };
}
