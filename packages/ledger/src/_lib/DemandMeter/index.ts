import { millisecondsInMinute, type Clock } from '@acaciacrank/base';

interface DemandReading {
  /** The sum of reserved tokens, exponentially decayed by age, as of `atMs`. */
  readonly tokens: number;
  readonly atMs: number;
  readonly firstAtMs: number;
}

/** The time constant of the exponential decay, in milliseconds. */
const decayTimeMs = 5 * millisecondsInMinute;
/** The minimum time span over which the rate is calculated, in milliseconds. */
const minSpanMs = millisecondsInMinute;

/** Measures tokens per minute for each key, averaged over about the last five minutes. */
export class DemandMeter {
  readonly #clock: Clock;
  readonly #readings = new Map<string, DemandReading>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Adds tokens to the demand of a key. */
  add(key: string, tokens: number): void {
    const atMs = this.#clock.monotonicMs();
    const reading = this.#readings.get(key);
    const earlierTokens = reading === undefined ? 0 : decayedTokens(reading, atMs);
    const firstAtMs = reading?.firstAtMs ?? atMs;
    this.#readings.set(key, { tokens: earlierTokens + tokens, atMs, firstAtMs });
  }

  /** The demand in tokens per minute. */
  tokensPerMinute(key: string): number {
    const reading = this.#readings.get(key);
    if (reading === undefined) return 0;
    const nowMs = this.#clock.monotonicMs();
    // A key that was measured for less than the decay time has only a part of the weight of a full window.
    const coveredShare =
      1 - Math.exp(-Math.max(minSpanMs, nowMs - reading.firstAtMs) / decayTimeMs);
    return (decayedTokens(reading, nowMs) * millisecondsInMinute) / (decayTimeMs * coveredShare);
  }

  /** Removes a key, so that memory is used only for active budgets. */
  remove(key: string): void {
    this.#readings.delete(key);
  }
}

function decayedTokens(reading: DemandReading, nowMs: number): number {
  return reading.tokens * Math.exp(-(nowMs - reading.atMs) / decayTimeMs);
}
