import { millisecondsInMinute, type Clock } from '@acaciacrank/base';

/** Options of {@link WeightLoadRateLimiter}. */
export interface WeightLoadRateLimiterOptions {
  clock: Clock;
  /** Number of loads per minute that the weight store allows this service. */
  loadsPerMinute: number;
  /** Maximum number of loads in a burst. */
  maxBurst?: number;
}

/**
 * A token bucket for orders that make engines load weights of a model or an adapter. It limits them
 * to the rate that the weight store, from which engines load the weights, allows.
 *
 * The bucket starts empty: a new lease holder does not know how many loads the previous one has
 * just ordered, and must not add its own burst to them.
 */
export class WeightLoadRateLimiter {
  readonly #options: Required<WeightLoadRateLimiterOptions>;
  #availableLoads = 0;
  #updatedMs: number;
  #pausedUntilMs = -Infinity;

  constructor(options: WeightLoadRateLimiterOptions) {
    this.#options = { maxBurst: 2, ...options };
    this.#updatedMs = options.clock.monotonicMs();
  }

  /** Takes one load from the bucket; returns false if it must wait. */
  take(): boolean {
    const { clock, loadsPerMinute, maxBurst } = this.#options;
    const nowMs = clock.monotonicMs();
    const refilledLoads = ((nowMs - this.#updatedMs) * loadsPerMinute) / millisecondsInMinute;
    this.#availableLoads = Math.min(maxBurst, this.#availableLoads + refilledLoads);
    this.#updatedMs = nowMs;
    if (this.#availableLoads < 1 || nowMs < this.#pausedUntilMs) return false;
    this.#availableLoads -= 1;
    return true;
  }

  /** Empties the bucket. */
  empty(): void {
    this.#availableLoads = 0;
    this.#updatedMs = this.#options.clock.monotonicMs();
  }

  /** Pauses loads for a while, at the request of the weight store. */
  pause(durationMs: number): void {
    this.#pausedUntilMs = this.#options.clock.monotonicMs() + durationMs;
  }
}
