import {
  toRouterError,
  millisecondsInSecond,
  type Clock,
  type InstanceId,
} from '@acaciacrank/base';
import { epochOf, type ObjectStore, type StoredObject } from '@acaciacrank/store';
import * as z from 'zod';

const leaseSchema = z.strictObject({
  format: z.literal(1),
  holder: z.string(),
  /** Unique per write, so that a holder recognizes its own write after a lost response. */
  nonce: z.string(),
  durationMs: z.number().positive(),
  /** Set by a holder that releases the lease: the next one need not wait. */
  isReleased: z.boolean(),
  /** Epoch of the store at the write. */
  epoch: z.number().default(0),
});

type LeaseValue = z.infer<typeof leaseSchema>;

/** Options of {@link StoreLease}. */
export interface StoreLeaseOptions {
  store: ObjectStore;
  clock: Clock;
  /** Key of the lease's object in the store. */
  key: string;
  holder: InstanceId;
  /** Differs between two process runs of the same instance. */
  incarnation: string;
  /** Lease duration after each renewal, in milliseconds. */
  durationMs?: number;
  /** Additional time that the next holder waits, to allow for clock skew, in milliseconds. */
  maxSkewMs?: number;
}

interface HeldLease {
  readonly version: number;
  /** Expiry by the monotonic clock, counted from before the write was sent. */
  readonly untilMs: number;
}

interface ObservedVersion {
  /** Undefined while the store has no object for the lease. */
  readonly version: number | undefined;
  readonly sinceMs: number;
}

/**
 * A lease stored in one object of the store; the object's version is the fencing token.
 *
 * Wall clocks are never compared. A holder counts the duration from before it sent the write.
 * Another instance takes over the lease only after it has observed the same version for the whole
 * lease duration plus the clock skew, by its own monotonic clock. So neither a clock jump nor a
 * paused process leads to two holders at once, as long as clocks run at nearly the same rate.
 *
 * A store that returned from an older copy lacks the last writes of the lease. A missing lease, and one
 * that shows a release in an earlier epoch, may therefore be held: they are waited for as well.
 */
export class StoreLease {
  readonly #options: Required<StoreLeaseOptions>;
  #held: HeldLease | undefined;
  #observed: ObservedVersion | undefined;
  #writeCount = 0;

  constructor(options: StoreLeaseOptions) {
    this.#options = {
      durationMs: 15 * millisecondsInSecond,
      maxSkewMs: 2 * millisecondsInSecond,
      ...options,
    };
  }

  /** Fencing token to send with orders; undefined if the lease is not held. */
  get fencingNumber(): number | undefined {
    return this.remainingMs > 0 ? this.#held?.version : undefined;
  }

  /** Time for which the lease is certainly still held, in milliseconds; 0 if it is not held. */
  get remainingMs(): number {
    if (this.#held === undefined) return 0;
    return Math.max(0, this.#held.untilMs - this.#options.clock.monotonicMs());
  }

  /**
   * Acquires or renews the lease.
   *
   * @returns whether it is held now; if the store is unavailable, whether an earlier write still
   * holds it
   */
  async acquire(): Promise<boolean> {
    try {
      const stored = await this.#options.store.read(this.#options.key);
      if (this.#mayWrite(stored)) await this.#write(stored, false);
    } catch (error) {
      if (toRouterError(error).kind !== 'storeUnavailable') throw error;
    }
    return this.remainingMs > 0;
  }

  /** Releases the lease, so that the next holder need not wait; does nothing if it is not held. */
  async release(): Promise<void> {
    const held = this.#held;
    this.markLost();
    if (held === undefined) return;
    const stored = await this.#options.store.read(this.#options.key);
    if (stored?.version === held.version) await this.#write(stored, true);
    this.markLost();
  }

  /** Marks the lease as lost; for a holder that learns that another instance has taken over. */
  markLost(): void {
    this.#held = undefined;
  }

  #mayWrite(stored: StoredObject | undefined): boolean {
    const { store, durationMs } = this.#options;
    const epoch = store.epochs.value;
    if (stored === undefined) {
      return (
        epoch === 0 || this.#isHeldSinceBefore(epoch) || this.#hasWaited(undefined, durationMs)
      );
    }
    if (stored.version === this.#held?.version) return true;
    const value = leaseSchema.parse(stored.value);
    const isFromThisEpoch = value.epoch === epoch;
    if (!isFromThisEpoch && this.#isHeldSinceBefore(epoch)) return true;
    // Another instance has written since and was entitled to, so any remaining lease time is void.
    if (isFromThisEpoch) this.markLost();
    if (value.isReleased && isFromThisEpoch) return true;
    return this.#hasWaited(stored.version, value.durationMs);
  }

  /** Whether this instance holds the lease by a write that was lost when the store was restored. */
  #isHeldSinceBefore(epoch: number): boolean {
    return this.remainingMs > 0 && this.#held !== undefined && epochOf(this.#held.version) < epoch;
  }

  /** Whether the same version was observed for the duration of a lease and the clock skew. */
  #hasWaited(version: number | undefined, durationMs: number): boolean {
    const nowMs = this.#options.clock.monotonicMs();
    if (this.#observed === undefined || this.#observed.version !== version) {
      this.#observed = { version, sinceMs: nowMs };
      return false;
    }
    return nowMs - this.#observed.sinceMs >= durationMs + this.#options.maxSkewMs;
  }

  async #write(stored: StoredObject | undefined, isReleased: boolean): Promise<void> {
    const { store, clock, key, holder, incarnation, durationMs } = this.#options;
    this.#writeCount += 1;
    const nonce = `${holder}.${incarnation}.${this.#writeCount}`;
    const epoch = store.epochs.value;
    const value: LeaseValue = { format: 1, holder, nonce, durationMs, isReleased, epoch };
    const untilMs = clock.monotonicMs() + durationMs;
    const condition =
      stored === undefined
        ? ({ kind: 'absent' } as const)
        : ({ kind: 'version', version: stored.version } as const);
    const version = await store.write(key, value, condition).then(
      (result) => (result.outcome === 'written' ? result.version : undefined),
      () => this.#findOwnWrite(nonce),
    );
    if (version === undefined) this.markLost();
    else this.#held = { version, untilMs };
  }

  /** The response to a write can be lost after it took effect; the nonce shows whether it did. */
  async #findOwnWrite(nonce: string): Promise<number | undefined> {
    const stored = await this.#options.store.read(this.#options.key);
    if (stored === undefined) return undefined;
    return leaseSchema.parse(stored.value).nonce === nonce ? stored.version : undefined;
  }
}
