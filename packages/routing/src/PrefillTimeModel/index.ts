/**
 * Prefill times of the engines of a service, fitted to the requests of this instance.
 */
import { fitExpectile, type Sample } from '../_lib/fitExpectile/index.js';

/** The observed prefill of one prompt, from sending the request to its first event. */
export interface PrefillSample {
  /** Number of tokens that the engine had to prefill. */
  readonly newTokens: number;
  /** Number of tokens before them that were in its cache. */
  readonly cachedTokens: number;
  readonly elapsedMs: number;
}

/** The result of a fit. The fields have the names used in logs, where prefill is called `read`. */
export interface PrefillTimeFit {
  /** Number of prefills observed so far. */
  readonly reads: number;
  /** Milliseconds per prompt, per thousand new tokens, and per million pairs of attended tokens. */
  readonly readMs: readonly number[];
}

/** Number of retained samples: a few seconds of load at one instance, so that old behaviour ages out. */
const maxSamples = 192;
const samplesPerFit = 16;
/** Longer samples are attributed to a fault of the engine or a clock and ignored, in milliseconds. */
const maxPlausibleMs = 30_000;
/** Waiting for other prompts can only lengthen a sample, so the fit follows the shortest ones. */
const aboveWeight = 0.03;
/** Assumed without samples: milliseconds per prompt, per thousand tokens, per million pairs. */
const priorCoefficients = [10, 16, 0.5] as const;
const tokensPerThousand = 1_000;
const pairsPerMillion = 1_000_000;

/**
 * Estimates the prefill time of the engines of one service.
 *
 * Samples of all engines are combined in one model: the engines are of the same kind, and in a large
 * fleet an instance rarely uses each of them. Samples of slow or faulty engines lie above the rest and
 * have little weight.
 *
 * @example
 * model.observePrefill({ newTokens: 3_000, cachedTokens: 10_000, elapsedMs: 70 });
 * model.estimatePrefillMs(3_000, 10_000);
 */
export class PrefillTimeModel {
  readonly #samples: Sample[] = [];
  #sampleCount = 0;
  #coefficients: readonly number[] = priorCoefficients;
  readonly #onFit: (fit: PrefillTimeFit) => void;

  /** @param onFit - called after each new fit */
  constructor(onFit: (fit: PrefillTimeFit) => void = () => undefined) {
    this.#onFit = onFit;
  }

  /** Records the prefill time of a prompt; implausible samples are ignored. */
  observePrefill({ newTokens, cachedTokens, elapsedMs }: PrefillSample): void {
    if (!isPlausibleDuration(elapsedMs) || !isPlausibleCount(newTokens + cachedTokens)) return;
    addSample(this.#samples, {
      value: elapsedMs,
      factors: prefillFactors(newTokens, cachedTokens),
    });
    this.#sampleCount += 1;
    if (this.#sampleCount % samplesPerFit !== 0) return;
    const options = { aboveWeight, prior: priorCoefficients, priorWeight: 1 };
    this.#coefficients = fitExpectile(this.#samples, options);
    this.#onFit({
      reads: this.#sampleCount,
      readMs: this.#coefficients,
    });
  }

  /**
   * Estimates how long an engine takes to prefill a prompt when no other prompt is being prefilled.
   *
   * @param newTokens - number of tokens that are not in its cache
   * @param cachedTokens - number of tokens before them that are in its cache
   * @returns milliseconds
   */
  estimatePrefillMs(newTokens: number, cachedTokens: number): number {
    const [fixedMs = 0, msPerThousandTokens = 0, msPerMillionPairs = 0] = this.#coefficients;
    const [, thousandsOfTokens = 0, millionsOfPairs = 0] = prefillFactors(newTokens, cachedTokens);
    return fixedMs + thousandsOfTokens * msPerThousandTokens + millionsOfPairs * msPerMillionPairs;
  }
}

/** Each new token attends to the cached tokens and, on average, to half of the new ones. */
function prefillFactors(newTokens: number, cachedTokens: number): readonly number[] {
  const pairs = newTokens * (cachedTokens + newTokens / 2);
  return [1, newTokens / tokensPerThousand, pairs / pairsPerMillion];
}

function addSample(samples: Sample[], sample: Sample): void {
  samples.push(sample);
  if (samples.length > maxSamples) samples.shift();
}

function isPlausibleDuration(durationMs: number): boolean {
  return Number.isFinite(durationMs) && durationMs > 0 && durationMs <= maxPlausibleMs;
}

function isPlausibleCount(tokens: number): boolean {
  return Number.isFinite(tokens) && tokens >= 0;
}
