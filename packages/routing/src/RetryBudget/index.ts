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
  /** Retries earned by time alone, so that a quiet class may still retry. */
  retriesPerSecond?: number;
  /** The most retries that can be saved up; a new bucket starts with as many. */
  maxRetries?: number;
  /** How many buckets are kept; the one that was used longest ago goes first. */
  maxBuckets?: number;
  /** Returns the number of instances that use the same upstreams, including this one; 1 by default. */
  instanceCount?: () => number;
}

/**
 * Number of instances up to which each has the full `retriesPerSecond` and `maxRetries`. A larger fleet
 * divides what this many instances have, except that each instance can always save up one retry.
 */
const maxFullShares = 5;

interface Bucket {
  retries: number;
  updatedMs: number;
}

/**
 * Bounds the retries caused by each upstream's failures, apart for each class, by token buckets.
 *
 * Guards against retry storms: when an upstream fails, each request that failed there would
 * otherwise come again at once and multiply the load just when capacity is short. With the budget,
 * retries stay a small fraction of first attempts, whatever fails. Classes have their own buckets,
 * so that failing low-priority work cannot spend what the highest class needs.
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
   * Notes a first attempt, which earns a part of a retry.
   *
   * @param upstreamId - where it was sent
   * @param className - its class
   */
  recordAttempt(upstreamId: UpstreamId, className: ClassName): void {
    const bucket = this.#bucket(upstreamId, className);
    this.#earn(bucket, this.#options.retriesPerAttempt);
  }

  /**
   * Takes one retry out of the budget.
   *
   * @param upstreamId - the upstream whose failure causes the retry, not the one tried next
   * @param className - the request's class
   * @returns whether the retry may be made; when not, the failure is the final answer
   *
   * @example
   * const budget = new RetryBudget({ clock, maxRetries: 1, retriesPerSecond: 0 });
   * budget.tryRetry(upstreamId, className);
   * //=> true
   * budget.tryRetry(upstreamId, className);
   * //=> false
   */
  tryRetry(upstreamId: UpstreamId, className: ClassName): boolean {
    const bucket = this.#bucket(upstreamId, className);
    if (bucket.retries < 1) return false;
    bucket.retries -= 1;
    return true;
  }

  #bucket(upstreamId: UpstreamId, className: ClassName): Bucket {
    const key = `${upstreamId}\n${className}`;
    const nowMs = this.#options.clock.monotonicMs();
    const { maxRetries, retriesPerSecond } = this.#options;
    const share = this.#share;
    const bucket = this.#buckets.get(key) ?? { retries: maxRetries * share, updatedMs: nowMs };
    const elapsedSeconds = (nowMs - bucket.updatedMs) / millisecondsInSecond;
    bucket.updatedMs = nowMs;
    this.#earn(bucket, elapsedSeconds * retriesPerSecond * share);
    this.#keep(key, bucket);
    return bucket;
  }

  #earn(bucket: Bucket, retries: number): void {
    // A share below one retry could never be saved up.
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

  /** Puts the bucket last in order of use and drops the first one when there are too many. */
  #keep(key: string, bucket: Bucket): void {
    this.#buckets.delete(key);
    this.#buckets.set(key, bucket);
    const [oldest] = this.#buckets.keys();
    if (this.#buckets.size > this.#options.maxBuckets && oldest !== undefined) {
      this.#buckets.delete(oldest);
    }
  }
}
