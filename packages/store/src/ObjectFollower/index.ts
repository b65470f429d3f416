import { toRouterError, type Clock, type Random, type RouterError } from '@acaciacrank/base';
import type { ObjectStore } from '../ObjectStore/index.js';
import type { StoreChange, StoreSnapshot } from '../types.js';

/** Options of {@link ObjectFollower}. */
export interface ObjectFollowerOptions {
  store: ObjectStore;
  clock: Clock;
  /** Key prefix of the objects to follow. */
  prefix: string;
  /** Called with all objects under the prefix; replaces everything reported before. */
  onSnapshot: (snapshot: StoreSnapshot) => void;
  /** Called with each change after the last snapshot. */
  onChange: (change: StoreChange) => void;
  /** Called once when calls to the store start to fail. */
  onLost?: (error: RouterError) => void;
  /**
   * Called once when the store responds again, with the time since its last response in
   * milliseconds.
   */
  onRegained?: (awayMs: number) => void;
  /** Mean delay before a failed call is retried, in milliseconds. */
  retryMs?: number;
  /**
   * Upper bound to which the mean delay is doubled after a few failures in a row, in milliseconds; by
   * default it is not. For what may be known a little later after an outage: each call is charged for,
   * refused ones too.
   */
  maxRetryMs?: number;
  /**
   * Delay of the next watch after a change, to batch further changes, in milliseconds; 0 by
   * default.
   */
  batchDelayMs?: number;
  /**
   * Whether only the latest state matters. If so, after an outage a snapshot is read instead of
   * every change made in the meantime.
   */
  isLatestStateSufficient?: boolean;
  random?: Random;
}

/**
 * Mean delay before a failed call is retried, in milliseconds: short compared to the two seconds
 * within which a change must be in force, and long enough that a failing store receives few calls.
 */
const defaultRetryMs = 350;
/** Number of failures in a row that are retried at the first delay: most outages are short. */
const failuresAtFirstDelay = 3;
/**
 * Follows all objects under a prefix: reads a snapshot, then watches for changes.
 *
 * If the store has dropped the history, the watch fails with `historyGone` and a new snapshot is
 * read, since the changes in between are not available. After any other failure the watch continues
 * from the last revision.
 */
export class ObjectFollower implements Disposable {
  readonly #options: Required<
    Pick<
      ObjectFollowerOptions,
      'retryMs' | 'batchDelayMs' | 'isLatestStateSufficient' | 'random' | 'onLost' | 'onRegained'
    >
  > &
    ObjectFollowerOptions;
  readonly #stop = new AbortController();
  #lastAnswerAtMs: number;
  #isLost = false;
  #failures = 0;
  #revision: number | undefined;

  constructor(options: ObjectFollowerOptions) {
    this.#options = {
      retryMs: defaultRetryMs,
      batchDelayMs: 0,
      isLatestStateSufficient: false,
      random: Math.random,
      onLost: () => undefined,
      onRegained: () => undefined,
      ...options,
    };
    this.#lastAnswerAtMs = options.clock.monotonicMs();
  }

  /** When the store last responded, on the monotonic clock in milliseconds. */
  get lastAnswerAtMs(): number {
    return this.#lastAnswerAtMs;
  }

  /** Whether the last call to the store failed. */
  get isLost(): boolean {
    return this.#isLost;
  }

  /**
   * Follows until disposed of.
   *
   * @example
   * void new ObjectFollower({ store, clock, prefix: 'config/', onSnapshot, onChange }).run();
   */
  async run(): Promise<void> {
    const { clock, random } = this.#options;
    while (!this.#stop.signal.aborted) {
      try {
        await this.#readNext();
      } catch (thrown) {
        if (this.#stop.signal.aborted) return;
        this.#handleFailure(toRouterError(thrown));
        await clock.sleep(this.#nextRetryMs * (0.5 + random()), this.#stop.signal);
      }
    }
  }

  [Symbol.dispose](): void {
    this.#stop.abort();
  }

  async #readNext(): Promise<void> {
    const { store, prefix, onSnapshot, onChange } = this.#options;
    if (this.#revision === undefined) {
      const snapshot = await store.snapshot(prefix);
      if (this.#stop.signal.aborted) return;
      this.#markAnswered();
      onSnapshot(snapshot);
      this.#revision = snapshot.revision;
      return;
    }
    const options = { isImmediate: this.#isLost };
    const watched = await store.watch(prefix, this.#revision, this.#stop.signal, options);
    if (this.#stop.signal.aborted) return;
    this.#markAnswered();
    for (const change of watched.changes) onChange(change);
    this.#revision = watched.revision;
    if (watched.changes.length > 0) await this.#waitForMoreChanges();
  }

  /**
   * Delays the next watch, so that it returns several changes at once.
   *
   * Without the delay, each change of an upstream costs one call per instance: 33 instances that
   * each watch again at once make 33 calls for every change.
   */
  async #waitForMoreChanges(): Promise<void> {
    const { clock, batchDelayMs } = this.#options;
    if (batchDelayMs > 0) await clock.sleep(batchDelayMs, this.#stop.signal);
  }

  get #nextRetryMs(): number {
    const { retryMs, maxRetryMs = retryMs } = this.#options;
    const doublings = Math.max(0, this.#failures - failuresAtFirstDelay);
    return Math.min(maxRetryMs, retryMs * 2 ** doublings);
  }

  #handleFailure(error: RouterError): void {
    this.#failures += 1;
    const { isLatestStateSufficient } = this.#options;
    if (isLatestStateSufficient || error.kind === 'historyGone') this.#revision = undefined;
    if (this.#isLost) return;
    this.#isLost = true;
    this.#options.onLost(error);
  }

  #markAnswered(): void {
    const nowMs = this.#options.clock.monotonicMs();
    const awayMs = nowMs - this.#lastAnswerAtMs;
    this.#lastAnswerAtMs = nowMs;
    this.#failures = 0;
    if (!this.#isLost) return;
    this.#isLost = false;
    this.#options.onRegained(awayMs);
  }
}
