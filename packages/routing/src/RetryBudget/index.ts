import {
  millisecondsInSecond,
  type ClassName,
  type Clock,
  type UpstreamId,
} from '@acaciacrank/base';

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  clock: Clock;
  /** Retries earned by each first attempt. */
  retriesPerAttempt?: number;
  /** Retries earned over time, so that a class with few requests may still retry. */
  retriesPerSecond?: number;
  /** Capacity of a bucket, in retries; a new bucket starts full. */
  maxRetries?: number;
  /** Maximum number of buckets; the least recently used one is evicted first. */
  maxBuckets?: number;
  /** Returns the number of instances that use the same upstreams, including this one; 1 by default. */
  instanceCount?: () => number;
}

/**
 * Number of instances up to which each has the full `retriesPerSecond` and `maxRetries`. A larger fleet
 * divides the total of this many instances, except that each instance can always accumulate one retry.
 */
const maxFullShares = 5;

interface Bucket {
  retries: number;
  updatedMs: number;
}

/**
 * Limits the retries caused by each upstream's failures with a token bucket for each upstream and class.
 *
 * Prevents retry storms: when an upstream fails, retrying every failed request would multiply the load
 * just when capacity is short. With the budget, retries stay a small fraction of first attempts. Classes
 * have separate buckets, so that failing low-priority requests cannot use up the retries of the highest
 * class. `RetryShare` limits the retries of a whole service instead.
 */
export class RetryBudget {
  readonly #options: Required<RetryBudgetOptions>;
  readonly #buckets = new Map<string, Bucket>();

  constructor(options: RetryBudgetOptions) {
    this.#options = {
      retriesPerAttempt: 0.1,
      retriesPerSecond: 0.5,
      maxRetries: 5,
      maxBuckets: 4_096,
      instanceCount: () => 1,
      ...options,
    };
  }

  /**
   * Records a first attempt, which earns a fraction of a retry.
   *
   * @param upstreamId - the upstream it was sent to
   * @param className - the request's class
   */
  recordAttempt(upstreamId: UpstreamId, className: ClassName): void {
    const bucket = this.#refillBucket(upstreamId, className);
    this.#earn(bucket, this.#options.retriesPerAttempt);
  }

  /**
   * Takes one retry from the budget.
   *
   * @param upstreamId - the upstream whose failure causes the retry, not the one tried next
   * @param className - the request's class
   * @returns whether the retry is allowed; if not, the failure is the final response
   *
   * @example
   * const budget = new RetryBudget({ clock, maxRetries: 1, retriesPerSecond: 0 });
   * budget.tryRetry(upstreamId, className);
   * //=> true
   * budget.tryRetry(upstreamId, className);
   * //=> false
   */
  tryRetry(upstreamId: UpstreamId, className: ClassName): boolean {
    const bucket = this.#refillBucket(upstreamId, className);
    if (bucket.retries < 1) return false;
    bucket.retries -= 1;
    return true;
  }

  #refillBucket(upstreamId: UpstreamId, className: ClassName): Bucket {
    const key = `${upstreamId}\n${className}`;
    const nowMs = this.#options.clock.monotonicMs();
    const { maxRetries, retriesPerSecond } = this.#options;
    const share = this.#share;
    const bucket = this.#buckets.get(key) ?? { retries: maxRetries * share, updatedMs: nowMs };
    const elapsedSeconds = (nowMs - bucket.updatedMs) / millisecondsInSecond;
    bucket.updatedMs = nowMs;
    this.#earn(bucket, elapsedSeconds * retriesPerSecond * share);
    this.#markUsed(key, bucket);
    return bucket;
  }

  #earn(bucket: Bucket, retries: number): void {
    // With a capacity below one, no retry could ever be accumulated.
    const { maxRetries } = this.#options;
    const capacity = Math.max(Math.min(1, maxRetries), maxRetries * this.#share);
    bucket.retries = Math.min(capacity, bucket.retries + retries);
  }

  /**
   * The fraction of `retriesPerSecond` and `maxRetries` that this instance may use.
   *
   * Guards against a large fleet that overloads a failing upstream with retries although each instance
   * stays within its own budget.
   */
  get #share(): number {
    return Math.min(1, maxFullShares / Math.max(1, this.#options.instanceCount()));
  }

  /** Marks the bucket as most recently used and evicts the least recently used one if there are too many. */
  #markUsed(key: string, bucket: Bucket): void {
    this.#buckets.delete(key);
    this.#buckets.set(key, bucket);
    const [oldest] = this.#buckets.keys();
    if (this.#buckets.size > this.#options.maxBuckets && oldest !== undefined) {
      this.#buckets.delete(oldest);
    }
  }
}
