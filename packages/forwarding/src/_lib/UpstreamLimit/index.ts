import type { Clock, InstanceId } from '@acaciacrank/base';
import { RateShare, type RateShareOptions } from '@acaciacrank/routing';

/** How a limit changed. */
export type LimitChange = 'limitNamed' | 'limitChanged' | 'limitWithdrawn';

/** This instance's id and the instances that share the limits of upstreams. */
export type LimitSharing = Pick<RateShareOptions, 'instanceId' | 'sharers'>;

/** The limit that an answer states, and when; times are on the monotonic clock. */
export interface StatedLimit {
  /** Infinite if the answer has no limit. */
  readonly requestsPerSecond: number;
  /** When the request was sent; the statement is no older than this. */
  readonly sentMs: number;
  /** When the answer arrived; the statement is no newer than this. */
  readonly receivedMs: number;
}

/** The request rate that an upstream accepts from all instances combined, as its answers state it. */
export class UpstreamLimit {
  readonly #share: RateShare;
  #stated: StatedLimit = { requestsPerSecond: Infinity, sentMs: -Infinity, receivedMs: -Infinity };
  /** The known limit as last read in an answer to this instance. */
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

  /** The known limit if this instance read it in an answer; undefined otherwise. */
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
   * Applies the limit from an answer to this instance.
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
   * Guards against answers that arrive out of order: if the order of two stated limits cannot be
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

/** For an instance that shares limits with no other. */
export const unshared: LimitSharing = {
  instanceId: 'alone' as InstanceId,
  sharers: () => ['alone' as InstanceId],
};
