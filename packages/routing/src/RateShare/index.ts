import { millisecondsInSecond, type Clock, type InstanceId } from '@acaciacrank/base';
import { divideRate } from '../divideRate/index.js';

/** Options of {@link RateShare}. */
export interface RateShareOptions {
  clock: Clock;
  instanceId: InstanceId;
  /** What the limit applies to, for example an upstream's id. */
  key: string;
  /**
   * The instances that currently share the limit; this instance has no share unless it is listed. The
   * share is computed again when the array is a different one.
   */
  sharers: () => readonly InstanceId[];
  /** Maximum number of instances that hold a share; unlimited by default. */
  maxHolders?: number;
  /** Maximum number of requests sent at once after a pause; by default those of one second. */
  maxBurst?: number;
}

/** Capacity of the token bucket, as milliseconds of the share; never less than one request. */
const burstMs = 1_000;
/** Interval at which the share is recomputed, in milliseconds. */
const recomputeEveryMs = 250;
/**
 * Delay before a larger share takes effect, in milliseconds. Exceeds the time for which other instances
 * may keep using a share that they have lost: they read the list of instances every second, and the
 * list may be some seconds old.
 */
const increaseDelayMs = 4_000;

/**
 * This instance's share of a rate limit for all instances combined, enforced by a token bucket.
 *
 * Guards against instances that each apply the whole limit, so that together they exceed it by a
 * factor of their number. A smaller share takes effect as soon as it is computed and a larger one after
 * a delay, so that the sum stays within the limit while instances disagree about who shares it.
 */
export class RateShare {
  readonly #options: RateShareOptions;
  #limit = Infinity;
  #share = Infinity;
  #tokens = 0;
  #refilledMs = 0;
  #recomputedMs = -Infinity;
  /** The instances among which the share was last computed. */
  #sharers: readonly InstanceId[] | undefined;
  #pendingIncrease: { share: number; readonly sinceMs: number } | undefined;

  constructor(options: RateShareOptions) {
    this.#options = options;
  }

  /** The limit for all instances combined, in requests per second; infinite for no limit. */
  get limit(): number {
    return this.#limit;
  }

  set limit(requestsPerSecond: number) {
    const wasUnlimited = this.#limit === Infinity;
    this.#limit = requestsPerSecond;
    this.#recomputedMs = -Infinity;
    this.#sharers = undefined;
    if (requestsPerSecond === Infinity) {
      this.#share = Infinity;
      this.#pendingIncrease = undefined;
    } else if (wasUnlimited) {
      this.#tokens = 0;
      this.#refilledMs = this.#options.clock.monotonicMs();
    }
  }

  /** Time until a request may be sent, in milliseconds; infinite if this instance has no share. */
  get waitMs(): number {
    if (this.#limit === Infinity) return 0;
    this.#refill();
    if (this.#share === 0) return Infinity;
    if (this.#tokens >= 1) return 0;
    return ((1 - this.#tokens) / this.#share) * millisecondsInSecond;
  }

  /** Takes a token for a request that is sent, whether or not one is available. */
  take(): void {
    if (this.#limit === Infinity) return;
    this.#refill();
    this.#tokens -= 1;
  }

  /** Fills the bucket, if nothing was sent for as long as that takes. */
  fill(): void {
    if (this.#limit === Infinity) return;
    this.#refill();
    this.#tokens = this.#capacity;
  }

  get #capacity(): number {
    const { maxBurst = Infinity } = this.#options;
    return Math.min(maxBurst, Math.max(1, (this.#share * burstMs) / millisecondsInSecond));
  }

  #refill(): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs - this.#recomputedMs >= recomputeEveryMs) this.#recompute(nowMs);
    const added = (this.#share * (nowMs - this.#refilledMs)) / millisecondsInSecond;
    const capacity = this.#capacity;
    this.#tokens = Math.min(capacity, this.#tokens + added);
    this.#refilledMs = nowMs;
  }

  #recompute(nowMs: number): void {
    this.#recomputedMs = nowMs;
    const { key, instanceId, maxHolders } = this.#options;
    const sharers = this.#options.sharers();
    if (sharers === this.#sharers && this.#pendingIncrease === undefined) return;
    this.#sharers = sharers;
    const requestsPerSecond = this.#limit;
    const share = divideRate({ requestsPerSecond, key, instanceId, sharers, maxHolders });
    if (share <= this.#share) {
      this.#share = share;
      this.#pendingIncrease = undefined;
      return;
    }
    this.#pendingIncrease ??= { share, sinceMs: nowMs };
    this.#pendingIncrease.share = Math.min(this.#pendingIncrease.share, share);
    if (nowMs - this.#pendingIncrease.sinceMs < increaseDelayMs) return;
    this.#share = this.#pendingIncrease.share;
    this.#pendingIncrease = undefined;
  }
}
