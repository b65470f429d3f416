/**
 * How long an engine reads a prompt, and how much that holds up the streams beside it.
 */

/** What decides how long an engine takes to read. */
export interface PrefillModel {
  /** Tokens read in a millisecond while nothing precedes them. */
  readonly tokensPerMs: number;
  /** Milliseconds for each million pairs of a token read and a token before it. */
  readonly msPerMillionPairs: number;
  /** Tokens read in one step, between the next tokens of running streams. */
  readonly chunkTokens: number;
  /** Duration of a step in which nothing is read, in milliseconds. */
  readonly stepMs: number;
}

/** As the users' deployments state it of their engines; steps of a moderately full batch. */
export const usualPrefillModel: PrefillModel = {
  tokensPerMs: 64,
  msPerMillionPairs: 0.65,
  chunkTokens: 2_048,
  stepMs: 6,
};

const tokensInMillion = 1_000_000;

/**
 * Estimates how long an engine reads a prompt when nothing else is read there.
 *
 * @param newTokens - tokens that are not cached
 * @param cachedTokens - tokens before them that are
 * @param model - the engine
 * @returns milliseconds
 *
 * @example
 * estimatePrefill(6_400, 0);
 * //=> 113.3
 */
export function estimatePrefill(
  newTokens: number,
  cachedTokens: number,
  model: PrefillModel = usualPrefillModel,
): number {
  const pairs = newTokens * (cachedTokens + newTokens / 2);
  return newTokens / model.tokensPerMs + (pairs / tokensInMillion) * model.msPerMillionPairs;
}

/** What a stream beside a prompt may bear. */
export interface GapBound {
  /** The longest pause between two events, in milliseconds. */
  readonly gapTargetMs: number;
  readonly tokensPerEvent: number;
}

/**
 * The longest prompt that leaves the streams beside it on time.
 *
 * While a prompt is read, each step takes a chunk of it along, the longer the more precedes the
 * chunk. An event of several tokens takes as many steps, so a prompt beyond this length holds every
 * stream of its engine up past the pause that makes it late.
 *
 * @param bound - what the streams may bear
 * @param model - the engine
 * @returns tokens
 *
 * @example
 * longestHarmlessPrompt({ gapTargetMs: 300, tokensPerEvent: 5 });
 * //=> 16_526
 */
export function longestHarmlessPrompt(
  bound: GapBound,
  model: PrefillModel = usualPrefillModel,
): number {
  const stepLimitMs = bound.gapTargetMs / bound.tokensPerEvent;
  const pairsMs = stepLimitMs - model.stepMs - model.chunkTokens / model.tokensPerMs;
  const perToken = (model.chunkTokens / tokensInMillion) * model.msPerMillionPairs;
  return Math.max(model.chunkTokens, Math.floor(pairsMs / perToken));
}
