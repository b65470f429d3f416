import {
  describeError,
  millisecondsInSecond,
  type Clock,
  type InstanceId,
} from '@acaciacrank/base';
import type { ObjectStore, StoredObject } from '@acaciacrank/store';
import { z } from 'zod';

const leaseSchema = z.strictObject({
  format: z.literal(1),
  holder: z.string(),
  /** Differs with each write, so that a holder knows its own write after a lost answer. */
  nonce: z.string(),
  durationMs: z.number().positive(),
  /** Set by a holder that stops of its own accord: the next one need not wait. */
  isReleased: z.boolean(),
});

type LeaseValue = z.infer<typeof leaseSchema>;

/** Options of {@link StoreLease}. */
export interface StoreLeaseOptions {
  store: ObjectStore;
  clock: Clock;
  /** The lease's object. */
  key: string;
  holder: InstanceId;
  /** Differs between two lives of the same instance. */
  incarnation: string;
  /** How long the lease lasts after each renewal, in milliseconds. */
  durationMs?: number;
  /** How much longer than the lease the next holder waits, for clocks that run apart. */
  maxSkewMs?: number;
}

interface Held {
  readonly version: number;
  /** By the monotonic clock, counted from before the write was sent. */
  readonly untilMs: number;
}

interface Watched {
  readonly version: number;
  readonly sinceMs: number;
}

/**
 * A lease in one object of the store; the object's version is the fencing number.
 *
 * No wall clock is compared. A holder counts its time from before it sent the write. Another instance
 * takes the lease over only after it has itself seen the same version for the lease's whole duration
 * plus the skew, by its own monotonic clock. So a clock that jumps or a paused holder never makes two
 * holders at once, as long as clocks run at nearly the same rate.
 */
export class StoreLease {
  readonly #options: Required<StoreLeaseOptions>;
  #held: Held | undefined;
  #watched: Watched | undefined;
  #writes = 0;

  constructor(options: StoreLeaseOptions) {
    this.#options = {
      durationMs: 15 * millisecondsInSecond,
      maxSkewMs: 2 * millisecondsInSecond,
      ...options,
    };
  }

  /** The number to send with orders; undefined when the lease is not held. */
  get fencingNumber(): number | undefined {
    return this.remainingMs > 0 ? this.#held?.version : undefined;
  }

  /** How long the lease is held for certain, in milliseconds; 0 when it is not. */
  get remainingMs(): number {
    if (this.#held === undefined) return 0;
    return Math.max(0, this.#held.untilMs - this.#options.clock.monotonicMs());
  }

  /**
   * Takes the lease, or renews it.
   *
   * @returns whether it is held now; false also when the store does not answer
   */
  async acquire(): Promise<boolean> {
    try {
      const stored = await this.#options.store.read(this.#options.key);
      if (this.#mayWrite(stored)) await this.#write(stored, false);
    } catch (error) {
      if (describeError(error).kind !== 'storeUnavailable') throw error;
    }
    return this.remainingMs > 0;
  }

  /** Gives the lease up, so that the next holder need not wait; does nothing when it is not held. */
  async release(): Promise<void> {
    const held = this.#held;
    this.lose();
    if (held === undefined) return;
    const stored = await this.#options.store.read(this.#options.key);
    if (stored?.version === held.version) await this.#write(stored, true);
    this.lose();
  }

  /** Stops holding at once, for a holder that learns that it was succeeded. */
  lose(): void {
    this.#held = undefined;
  }

  #mayWrite(stored: StoredObject | undefined): boolean {
    if (stored === undefined) return true;
    if (stored.version === this.#held?.version) return true;
    // Somebody else wrote since: whatever is left of our time, they were entitled to.
    this.lose();
    const value = leaseSchema.parse(stored.value);
    if (value.isReleased) return true;
    const nowMs = this.#options.clock.monotonicMs();
    if (this.#watched?.version !== stored.version) {
      this.#watched = { version: stored.version, sinceMs: nowMs };
      return false;
    }
    return nowMs - this.#watched.sinceMs >= value.durationMs + this.#options.maxSkewMs;
  }

  async #write(stored: StoredObject | undefined, isReleased: boolean): Promise<void> {
    const { store, clock, key, holder, incarnation, durationMs } = this.#options;
    this.#writes += 1;
    const nonce = `${holder}.${incarnation}.${this.#writes}`;
    const value: LeaseValue = { format: 1, holder, nonce, durationMs, isReleased };
    const untilMs = clock.monotonicMs() + durationMs;
    const condition =
      stored === undefined
        ? ({ kind: 'absent' } as const)
        : ({ kind: 'version', version: stored.version } as const);
    const version = await store.write(key, value, condition).then(
      (result) => (result.outcome === 'written' ? result.version : undefined),
      () => this.#findOwn(nonce),
    );
    if (version === undefined) this.lose();
    else this.#held = { version, untilMs };
  }

  /** The answer to a write can be lost after it took effect: the nonce says whether it did. */
  async #findOwn(nonce: string): Promise<number | undefined> {
    const stored = await this.#options.store.read(this.#options.key);
    if (stored === undefined) return undefined;
    return leaseSchema.parse(stored.value).nonce === nonce ? stored.version : undefined;
  }
}
