import type { Clock, InstanceId } from '@acaciacrank/base';
import { chooseWarmUpHolders, type WarmUpBound } from '../chooseWarmUpHolders/index.js';
import { RateShare } from '../RateShare/index.js';

/** Options of {@link WarmUp}. */
export interface WarmUpOptions {
  clock: Clock;
  instanceId: InstanceId;
  /** The upstream's id. */
  key: string;
  /** The instances that share what the upstream takes. */
  sharers: () => readonly InstanceId[];
  /** What the upstream takes while it warms up; undefined if it has no such bound. */
  bound: () => WarmUpBound | undefined;
  /** Whether an earlier run of this process may just have sent requests to it; false by default. */
  mayHaveBeenUsed?: boolean;
}

/** The longest time for which an upstream is assumed to warm up, in milliseconds. */
export const maxWarmUpMs = 60_000;
/** Requests sent within this time count towards the bound of one second, in milliseconds. */
const boundWindowMs = 1_000;

/**
 * Whether an upstream is warming up, and when this instance may send it a request meanwhile.
 *
 * Guards against a fleet that overruns an upstream which has just started, or was idle while its failure
 * domain was drained: it takes only a few requests per second from all instances combined, and crashes
 * above that. The instances divide the rate without a message between them.
 *
 * @example
 * warmUp.announce(3_000);
 * if (warmUp.waitMs === 0) warmUp.recordSend();
 */
export class WarmUp {
  readonly #options: WarmUpOptions;
  /** When it has warmed up according to its last statement, on the monotonic clock. */
  #announcedUntilMs = -Infinity;
  /** When it has surely warmed up according to this instance's own conclusions. */
  #assumedUntilMs = -Infinity;
  #lastSendMs = -Infinity;
  /** This instance's share; undefined unless the upstream is warming up. */
  #share: RateShare | undefined;

  constructor(options: WarmUpOptions) {
    this.#options = options;
    if (options.mayHaveBeenUsed === true) this.#lastSendMs = options.clock.monotonicMs();
  }

  /** How much longer it warms up, in milliseconds; 0 if it does not. */
  get remainingMs(): number {
    const untilMs = Math.max(this.#announcedUntilMs, this.#assumedUntilMs);
    return Math.max(0, untilMs - this.#options.clock.monotonicMs());
  }

  /** Time until this instance may send a request, in milliseconds. */
  get waitMs(): number {
    const { remainingMs } = this;
    if (remainingMs === 0) {
      this.#share = undefined;
      return 0;
    }
    const bound = this.#options.bound();
    if (bound === undefined) return 0;
    this.#share ??= this.#startSharing(bound);
    return this.#share.limit === 0 ? remainingMs : Math.min(remainingMs, this.#share.waitMs);
  }

  /** Applies the upstream's own statement, which replaces its earlier one. */
  announce(remainingMs: number): void {
    this.#announcedUntilMs =
      this.#options.clock.monotonicMs() + Math.min(maxWarmUpMs, Math.max(0, remainingMs));
  }

  /** Assumes that it warms up for at least this long, in milliseconds. */
  assume(remainingMs: number): void {
    const untilMs = this.#options.clock.monotonicMs() + Math.min(maxWarmUpMs, remainingMs);
    this.#assumedUntilMs = Math.max(this.#assumedUntilMs, untilMs);
  }

  /** Counts a request that is sent to the upstream. */
  recordSend(): void {
    this.#lastSendMs = this.#options.clock.monotonicMs();
    this.#share?.take();
  }

  #startSharing(bound: WarmUpBound): RateShare {
    const { clock, instanceId, key, sharers } = this.#options;
    const { requestsPerSecond, maxHolders } = chooseWarmUpHolders(bound);
    const share = new RateShare({ clock, instanceId, key, sharers, maxHolders, maxBurst: 1 });
    share.limit = requestsPerSecond;
    if (clock.monotonicMs() - this.#lastSendMs >= boundWindowMs) share.fill();
    return share;
  }
}
