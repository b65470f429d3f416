import type { Clock, ServiceName } from '@acaciacrank/base';

/** Options of {@link RetryShare}. */
export interface RetryShareOptions {
  clock: Clock;
  /** Repeats allowed for each request of the window. */
  repeatsPerRequest: number;
  /** Repeats allowed in a window beside that, over all instances. */
  freeRepeats: number;
  /** Length of the sliding window, in milliseconds. */
  windowMs: number;
  /** How many instances share the allowance now, this one included. */
  instanceCount: () => number;
}

/**
 * The part of the allowance that is never used: another instance may see one instance fewer than
 * there are, and a restarted process does not know what it repeated before.
 */
const usedShare = 0.6;

/**
 * This instance's share of the repeats that a service may receive from all instances together.
 *
 * Guards against retry storms: when a service fails, each request that failed there would come again
 * at once and multiply the load just when capacity is short. Each instance keeps to its own requests
 * and its part of the free repeats in every sliding window, so that the sum holds without a message.
 */
export class RetryShare {
  readonly #options: RetryShareOptions;
  readonly #requests = new Map<ServiceName, number[]>();
  readonly #repeats = new Map<ServiceName, number[]>();

  constructor(options: RetryShareOptions) {
    this.#options = options;
  }

  /** Counts a request's first send to a service. */
  recordRequest(service: ServiceName): void {
    this.#recent(this.#requests, service).push(this.#options.clock.monotonicMs());
  }

  /**
   * Takes one repeat out of the share.
   *
   * @param service - where the repeat would go
   * @returns whether it may be made
   *
   * @example
   * if (!share.tryRepeat(service)) return failure;
   */
  tryRepeat(service: ServiceName): boolean {
    const { clock, repeatsPerRequest, freeRepeats, instanceCount } = this.#options;
    const requests = this.#recent(this.#requests, service).length;
    const repeats = this.#recent(this.#repeats, service);
    const allowance = repeatsPerRequest * requests + freeRepeats / instanceCount();
    if (repeats.length + 1 > allowance * usedShare) return false;
    repeats.push(clock.monotonicMs());
    return true;
  }

  #recent(times: Map<ServiceName, number[]>, service: ServiceName): number[] {
    const list = times.get(service) ?? [];
    times.set(service, list);
    const sinceMs = this.#options.clock.monotonicMs() - this.#options.windowMs;
    const firstRecent = list.findIndex((atMs) => atMs > sinceMs);
    list.splice(0, firstRecent < 0 ? list.length : firstRecent);
    return list;
  }
}
