import type { Clock, UpstreamId } from '@acaciacrank/base';
import { maxCopyAgeMs } from '@acaciacrank/store';
import type { UpstreamRecord } from '../../types.js';
import type { UpstreamStatements } from '../UpstreamStatements/index.js';
import { isDifferentRun } from '../isDifferentRun/index.js';

/** An upstream that has left. */
interface Departure {
  readonly record: UpstreamRecord;
  readonly statements: UpstreamStatements;
  /** On the monotonic clock. */
  readonly atMs: number;
}

/** Number of upstreams that have left which are remembered; many times those of a busy minute. */
const maxDeparted = 4_096;

/**
 * The upstreams that left, so that a store which returns from an older copy does not bring them back.
 *
 * After a while the store has caught up, and a run that had lost touch with it may be back: records that were
 * refused until then can be applied again from {@link refused}.
 */
export class UpstreamDepartures {
  readonly #clock: Clock;
  readonly #departed = new Map<UpstreamId, Departure>();
  /** Records that were left out since they show a run which has left. */
  readonly #refused = new Map<UpstreamId, UpstreamRecord>();
  /** When the store last returned from an older copy, on the monotonic clock. */
  #storeRestoredAtMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether the store ever returned from an older copy. */
  get wasStoreRestored(): boolean {
    return this.#storeRestoredAtMs > -Infinity;
  }

  /** Records that the store returned from an older copy. */
  markStoreRestored(): void {
    this.#storeRestoredAtMs = this.#clock.monotonicMs();
  }

  /** Records that an upstream left, with what it has stated. */
  add(record: UpstreamRecord, statements: UpstreamStatements): void {
    this.#departed.delete(record.id);
    this.#departed.set(record.id, { record, statements, atMs: this.#clock.monotonicMs() });
    const [oldest] = this.#departed.keys();
    if (oldest !== undefined && this.#departed.size > maxDeparted) this.#departed.delete(oldest);
  }

  /**
   * Returns what a run stated before it disappeared; undefined if it did not disappear.
   *
   * Guards against an upstream whose record is back after an outage of the store, and which would get
   * requests although it requested none.
   */
  statementsOf(record: UpstreamRecord): UpstreamStatements | undefined {
    const departure = this.#departed.get(record.id);
    if (departure === undefined || isDifferentRun(departure.record, record)) return undefined;
    return departure.statements;
  }

  /** Whether a record is that of a run which has left, as only an older copy of the store shows it. */
  refuses(record: UpstreamRecord): boolean {
    this.#refused.delete(record.id);
    if (!this.#hasDeparted(record)) return false;
    this.#refused.set(record.id, record);
    return true;
  }

  /** Forgets a record that was refused, since the store does not list it any more. */
  forgetRefused(id: UpstreamId): void {
    this.#refused.delete(id);
  }

  /** The records that were refused and that the store still holds. */
  get refused(): readonly UpstreamRecord[] {
    return [...this.#refused.values()];
  }

  #hasDeparted(record: UpstreamRecord): boolean {
    const departure = this.#departed.get(record.id);
    if (departure === undefined || isDifferentRun(departure.record, record)) return false;
    const restoredForMs = this.#clock.monotonicMs() - this.#storeRestoredAtMs;
    return restoredForMs < maxCopyAgeMs && this.#storeRestoredAtMs - departure.atMs < maxCopyAgeMs;
  }
}
