import type { Clock, InstanceId } from '@acaciacrank/base';
import { RateShare, type RateShareOptions } from '@acaciacrank/routing';

/** How a limit changed: set where there was none, changed, or removed. */
export type LimitChange = 'limitNamed' | 'limitChanged' | 'limitWithdrawn';

/** This instance's id and the instances that share the limits of upstreams. */
export type LimitSharing = Pick<RateShareOptions, 'instanceId' | 'sharers'>;

/** The limit in a response, with the times that bound its age, on the monotonic clock. */
export interface StatedLimit {
  /** Infinite if the response has no limit. */
  readonly requestsPerSecond: number;
  /** When the request was sent; the limit is not older than this. */
  readonly sentMs: number;
  /** When the response arrived; the limit is not newer than this. */
  readonly receivedMs: number;
}

/**
 * The request rate that an upstream accepts from all instances combined, as stated in its
 * responses.
 */
export class UpstreamLimit {
  readonly #share: RateShare;
  #stated: StatedLimit = { requestsPerSecond: Infinity, sentMs: -Infinity, receivedMs: -Infinity };
  /** The current limit, if this instance read it in a response itself. */
  #ownStated: StatedLimit | undefined;
  #changedMs = -Infinity;
  readonly #clock: Clock;

  constructor(clock: Clock, key: string, sharing: LimitSharing) {
    this.#clock = clock;
    this.#share = new RateShare({ clock, key, ...sharing });
  }

  /** Infinite while the upstream sets no limit. */
  get requestsPerSecond(): number {
    return this.#stated.requestsPerSecond;
  }

  /** The current limit, if this instance read it in a response itself; undefined otherwise. */
  get ownStatedLimit(): StatedLimit | undefined {
    return this.#ownStated;
  }

  /** When the limit last changed on this instance, on the monotonic clock. */
  get changedMs(): number {
    return this.#changedMs;
  }

  /** Time until this instance may send a request, in milliseconds; infinite if it has no share. */
  get waitMs(): number {
    return this.#share.waitMs;
  }

  /** Counts a request that is sent to the upstream. */
  recordSend(): void {
    this.#share.take();
  }

  /**
   * Applies the limit from a response that this instance received.
   *
   * @returns the change; undefined if the limit stays the same
   */
  update(stated: StatedLimit): LimitChange | undefined {
    if (!this.#isNewest(stated)) return undefined;
    this.#ownStated = stated;
    return this.#apply(stated);
  }

  /**
   * Applies the limit that a peer reports.
   *
   * @returns the change; undefined if the limit stays the same
   */
  updateFromPeer(stated: StatedLimit): LimitChange | undefined {
    if (!this.#isNewest(stated)) return undefined;
    if (stated.requestsPerSecond !== this.requestsPerSecond) this.#ownStated = undefined;
    return this.#apply(stated);
  }

  /**
   * Whether a stated limit replaces the known one.
   *
   * Guards against responses that arrive out of order: if the order of two stated limits cannot be
   * determined, the lower one applies.
   */
  #isNewest({ requestsPerSecond, sentMs, receivedMs }: StatedLimit): boolean {
    if (sentMs >= this.#stated.receivedMs) return true;
    return receivedMs >= this.#stated.sentMs && requestsPerSecond <= this.requestsPerSecond;
  }

  #apply(stated: StatedLimit): LimitChange | undefined {
    const previous = this.requestsPerSecond;
    const { requestsPerSecond, sentMs, receivedMs } = stated;
    this.#stated = {
      requestsPerSecond,
      sentMs: Math.max(sentMs, this.#stated.sentMs),
      receivedMs: Math.max(receivedMs, this.#stated.receivedMs),
    };
    if (requestsPerSecond === previous) return undefined;
    this.#share.limit = requestsPerSecond;
    this.#changedMs = this.#clock.monotonicMs();
    if (previous === Infinity) return 'limitNamed';
    return requestsPerSecond === Infinity ? 'limitWithdrawn' : 'limitChanged';
  }
}

/** Settings for an instance that shares its limits with no other instance. */
export const unshared: LimitSharing = {
  instanceId: 'alone' as InstanceId,
  sharers: () => ['alone' as InstanceId],
};
