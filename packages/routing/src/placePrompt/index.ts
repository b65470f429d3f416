import { hashTextsStartingWith } from '@acaciacrank/base';
import type { Identified } from '../rankByKey/index.js';

/** The load of an engine as estimated by this instance. */
export interface EngineLoad extends Identified {
  /** Estimated prefill time of the prompts already queued at the engine, in milliseconds. */
  readonly backlogMs: number;
  /** Estimated time until a slot of the engine is free, in milliseconds. */
  readonly slotWaitMs: number;
  /** Number of streams known to be running at the engine. */
  readonly running: number;
}

/** The properties of a prompt that determine its placement. */
export interface PromptToPlace {
  /** Identifies the last prompt part that is shared with other prompts. */
  readonly key: string;
  /** Time to make the shared parts available at an engine that does not hold them, in milliseconds. */
  readonly sharedPartsMs: number;
  /** Ids of the engines known to have the shared parts in their prefix cache. */
  readonly holders: ReadonlySet<string>;
}

/** The engine chosen for a prompt. */
export interface PromptPlacement<Engine> {
  readonly engine: Engine;
  /** The engine most likely to hold the shared parts; undefined if it is the chosen engine. */
  readonly holder: Engine | undefined;
}

/**
 * Cost of a running stream, in milliseconds of prefill time. A running stream slows each step of the
 * engine slightly.
 */
const runningStreamCostMs = 1;
/**
 * Cost of each rank after the first in the rendezvous order, in milliseconds. Makes instances that
 * cannot observe each other's load spill a part to the same few engines.
 */
const rankCostMs = 5;
/** Distinguishes engines with equal hashes; more than a service has. */
const maxEngines = 65_536;

/**
 * Chooses the engine with the lowest cost for a prompt: the wait for a slot and the prefill backlog ahead of
 * the prompt, the time to make its shared parts available, and small penalties for running streams and a
 * lower rank.
 *
 * Handles three kinds of load. Prompts with large shared parts: without affinity, every engine would
 * prefill every part. A frequently used part: its first engine would prefill one prompt after another
 * while other engines are idle, so prompts spill to another engine once the wait exceeds the time to
 * make the part available there. Engines with few slots: streams of other instances fill them, and the
 * next prompt would wait for one of these to end while other engines have free slots.
 *
 * @param prompt - the shared parts, their cost and their holders
 * @param engines - candidates
 * @returns the placement; undefined without candidates
 *
 * @example
 * placePrompt({ key: '5c1e07a2', sharedPartsMs: 90, holders: new Set() }, engines)?.engine;
 */
export function placePrompt<Engine extends EngineLoad>(
  { key, sharedPartsMs, holders }: PromptToPlace,
  engines: readonly Engine[],
): PromptPlacement<Engine> | undefined {
  const ranked = rankEngines(key, engines);
  const knownHolder = ranked.find(({ id }) => holders.has(id));
  // If no holder is known, another instance has most likely sent the part to the first-ranked engine.
  const holder = knownHolder ?? ranked[0];
  const isHolder = (engine: Engine) => engine === holder || holders.has(engine.id);
  let best: Engine | undefined;
  let bestCostMs = Infinity;
  ranked.forEach((engine, rank) => {
    const acquireMs = isHolder(engine) ? 0 : sharedPartsMs;
    const loadMs = engine.backlogMs + engine.slotWaitMs + engine.running * runningStreamCostMs;
    const costMs = loadMs + acquireMs + rank * rankCostMs;
    if (costMs >= bestCostMs) return;
    best = engine;
    bestCostMs = costMs;
  });
  if (best === undefined) return undefined;
  return { engine: best, holder: isHolder(best) ? undefined : holder };
}

/** Orders engines as `rankByKey` does, but without an object and a text for each of them. */
function rankEngines<Engine extends EngineLoad>(
  key: string,
  engines: readonly Engine[],
): readonly Engine[] {
  const hashOf = hashTextsStartingWith(`${key}/`);
  const order = Float64Array.from(
    engines,
    ({ id }, index) => hashOf(id) * maxEngines + (maxEngines - 1 - index),
  );
  order.sort().reverse();
  return Array.from(order, (position) => engines[maxEngines - 1 - (position % maxEngines)]).filter(
    (engine) => engine !== undefined,
  );
}
