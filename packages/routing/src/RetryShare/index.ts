import type { Clock, ServiceName } from '@acaciacrank/base';

/** Options of {@link RetryShare}. */
export interface RetryShareOptions {
  clock: Clock;
  /** Retries allowed for each request in the window. */
  retriesPerRequest: number;
  /** Additional retries allowed per window, for all instances combined. */
  additionalRetries: number;
  /** Length of the sliding window, in milliseconds. */
  windowMs: number;
  /** Returns the number of instances that currently share the allowance, including this one. */
  instanceCount: () => number;
}

/** A retry that was taken from the share. */
export interface TakenRetry {
  /** Gives it back, since it was not sent. */
  readonly giveBack: () => void;
  /** Records that it is sent now. */
  readonly recordSent: () => void;
}

/**
 * Fraction of the allowance that is used. The rest is a safety margin: another instance may count one
 * instance too few, and a restarted process does not know its earlier retries.
 */
const usableFraction = 0.6;

/**
 * This instance's share of the retries that a service may receive from all instances combined.
 *
 * Prevents retry storms: when a service fails, retrying every failed request would multiply the load just
 * when capacity is short. In every sliding window, each instance limits its retries by its own requests
 * and its share of the additional retries, so that the total is bounded without communication.
 * `RetryBudget` limits the retries for each upstream and class instead.
 */
export class RetryShare {
  readonly #options: RetryShareOptions;
  readonly #requests = new Map<ServiceName, number[]>();
  readonly #retries = new Map<ServiceName, number[]>();

  constructor(options: RetryShareOptions) {
    this.#options = options;
  }

  /** Records the first attempt of a request to a service. */
  recordRequest(service: ServiceName): void {
    this.#pruneToWindow(this.#requests, service).push(this.#options.clock.monotonicMs());
  }

  /**
   * Takes one retry from this instance's share.
   *
   * @param service - the service to be called again
   * @returns whether the retry is allowed
   *
   * @example
   * if (!share.tryRetry(service)) return failure;
   */
  tryRetry(service: ServiceName): boolean {
    return this.takeRetry(service) !== undefined;
  }

  /**
   * Takes one retry that may turn out not to be sent, or to be sent later.
   *
   * @param service - the service to be called again
   * @returns undefined if no retry is allowed
   */
  takeRetry(service: ServiceName): TakenRetry | undefined {
    const { clock, retriesPerRequest, additionalRetries, instanceCount } = this.#options;
    const requests = this.#pruneToWindow(this.#requests, service).length;
    const retries = this.#pruneToWindow(this.#retries, service);
    const allowance = retriesPerRequest * requests + additionalRetries / instanceCount();
    if (retries.length + 1 > allowance * usableFraction) return undefined;
    let takenMs = clock.monotonicMs();
    retries.push(takenMs);
    const giveBack = () => {
      const at = retries.lastIndexOf(takenMs);
      if (at >= 0) retries.splice(at, 1);
    };
    const recordSent = () => {
      giveBack();
      takenMs = clock.monotonicMs();
      retries.push(takenMs);
    };
    return { giveBack, recordSent };
  }

  #pruneToWindow(times: Map<ServiceName, number[]>, service: ServiceName): number[] {
    const recentTimes = times.get(service) ?? [];
    times.set(service, recentTimes);
    const sinceMs = this.#options.clock.monotonicMs() - this.#options.windowMs;
    const firstRecent = recentTimes.findIndex((atMs) => atMs > sinceMs);
    recentTimes.splice(0, firstRecent < 0 ? recentTimes.length : firstRecent);
    return recentTimes;
  }
}
