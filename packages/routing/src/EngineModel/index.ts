/**
 * How long the engines of a service read, learnt from what this instance sees of them.
 */
import { fitExpectile, type Sample } from '../_lib/fitExpectile/index.js';

/** One prompt that was read, from its sending to its first event. */
export interface ReadSample {
  /** Tokens that the engine had to read. */
  readonly newTokens: number;
  /** Tokens before them that it held. */
  readonly cachedTokens: number;
  readonly elapsedMs: number;
}

/** What was learnt, for logs. */
export interface EngineFit {
  readonly reads: number;
  /** Milliseconds a read, for a thousand tokens, and for a million pairs of tokens. */
  readonly readMs: readonly number[];
}

/** Samples kept: some seconds of load at one instance, so that changes are forgotten. */
const keptSamples = 192;
/** Samples between two fits. */
const refitSamples = 16;
/** A sample beyond this is a fault of the engine or of a clock, in milliseconds. */
const absurdMs = 30_000;
/** A wait for other prompts only lengthens a read, so the fit follows the shortest ones. */
const readAboveWeight = 0.03;
/** Before anything was seen: milliseconds a read, for a thousand tokens, for a million pairs. */
const readPrior = [10, 16, 0.5] as const;
const tokensInThousand = 1_000;
const pairsInMillion = 1_000_000;

/**
 * Learns the engines of one service.
 *
 * What is seen of single engines goes into one model: they are of one kind, and an instance of many
 * sees each of them seldom. Engines that are slow or faulty lie above the rest and count little.
 *
 * @example
 * model.observeRead({ newTokens: 3_000, cachedTokens: 10_000, elapsedMs: 70 });
 * model.readMs(3_000, 10_000);
 */
export class EngineModel {
  readonly #reads: Sample[] = [];
  #readSeen = 0;
  #readFit: readonly number[] = readPrior;
  readonly #onFit: (fit: EngineFit) => void;

  /** @param onFit - called when a number of prompts more was learnt from */
  constructor(onFit: (fit: EngineFit) => void = () => undefined) {
    this.#onFit = onFit;
  }

  /** Takes in how long a prompt was read. */
  observeRead({ newTokens, cachedTokens, elapsedMs }: ReadSample): void {
    if (!isPlausible(elapsedMs) || !isPlausibleCount(newTokens + cachedTokens)) return;
    keep(this.#reads, { value: elapsedMs, factors: readFactors(newTokens, cachedTokens) });
    this.#readSeen += 1;
    if (this.#readSeen % refitSamples !== 0) return;
    const options = { aboveWeight: readAboveWeight, prior: readPrior, priorWeight: 1 };
    this.#readFit = fitExpectile(this.#reads, options);
    this.#onFit({
      reads: this.#readSeen,
      readMs: this.#readFit,
    });
  }

  /**
   * How long an engine reads a prompt when nothing else is read there.
   *
   * @param newTokens - tokens that it does not hold
   * @param cachedTokens - tokens before them that it holds
   * @returns milliseconds
   */
  readMs(newTokens: number, cachedTokens: number): number {
    const [restMs = 0, thousandMs = 0, millionMs = 0] = this.#readFit;
    const [, thousands = 0, millions = 0] = readFactors(newTokens, cachedTokens);
    return restMs + thousands * thousandMs + millions * millionMs;
  }
}

function readFactors(newTokens: number, cachedTokens: number): readonly number[] {
  const pairs = newTokens * (cachedTokens + newTokens / 2);
  return [1, newTokens / tokensInThousand, pairs / pairsInMillion];
}

function keep(samples: Sample[], sample: Sample): void {
  samples.push(sample);
  if (samples.length > keptSamples) samples.shift();
}

function isPlausible(spanMs: number): boolean {
  return Number.isFinite(spanMs) && spanMs > 0 && spanMs <= absurdMs;
}

function isPlausibleCount(tokens: number): boolean {
  return Number.isFinite(tokens) && tokens >= 0;
}
