import { describeError, type Clock, type Random, type RouterError } from '@acaciacrank/base';
import type { ObjectStore } from '../ObjectStore/index.js';
import type { StoreChange, StoreSnapshot } from '../types.js';

/** Options of {@link ObjectFollower}. */
export interface ObjectFollowerOptions {
  store: ObjectStore;
  clock: Clock;
  /** Which objects to follow. */
  prefix: string;
  /** Everything under the prefix; replaces all that was told before. */
  onSnapshot: (snapshot: StoreSnapshot) => void;
  /** One change after the last snapshot. */
  onChange: (change: StoreChange) => void;
  /** Called once when the store stops answering. */
  onLost?: (error: RouterError) => void;
  /** Called once when it answers again, with how long it was away in milliseconds. */
  onRegained?: (awayMs: number) => void;
  /** The mean pause before a failed call is made again, in milliseconds. */
  retryMs?: number;
  /** How long to gather further changes after one before the next watch, in milliseconds; 0 by default. */
  gatherMs?: number;
  /**
   * Whether the newest state is all that matters, so that after an outage it is read as it stands in
   * place of every change that led there.
   */
  isNewestEnough?: boolean;
  random?: Random;
}

/**
 * Mean pause before a failed call is made again, in milliseconds: short against the two seconds in
 * which a change must be in force, long enough that a refusing store sees few calls.
 */
const defaultRetryMs = 350;

/**
 * Follows all objects under a prefix: reads them once, then watches for changes.
 *
 * A history that the store dropped shows as `historyGone`; then everything is read again, since the
 * changes in between are not to be had. A watch that fails otherwise goes on from the last revision.
 */
export class ObjectFollower implements Disposable {
  readonly #options: Required<
    Pick<
      ObjectFollowerOptions,
      'retryMs' | 'gatherMs' | 'isNewestEnough' | 'random' | 'onLost' | 'onRegained'
    >
  > &
    ObjectFollowerOptions;
  readonly #stop = new AbortController();
  #heardMs: number;
  #isLost = false;
  #revision: number | undefined;

  constructor(options: ObjectFollowerOptions) {
    this.#options = {
      retryMs: defaultRetryMs,
      gatherMs: 0,
      isNewestEnough: false,
      random: Math.random,
      onLost: () => undefined,
      onRegained: () => undefined,
      ...options,
    };
    this.#heardMs = options.clock.monotonicMs();
  }

  /** When the store last answered, on the monotonic clock in milliseconds. */
  get heardMs(): number {
    return this.#heardMs;
  }

  /** Whether the store does not answer now. */
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
    const { clock, retryMs, random } = this.#options;
    while (!this.#stop.signal.aborted) {
      try {
        await this.#step();
      } catch (thrown) {
        if (this.#stop.signal.aborted) return;
        this.#fail(describeError(thrown));
        await clock.sleep(retryMs * (0.5 + random()), this.#stop.signal);
      }
    }
  }

  [Symbol.dispose](): void {
    this.#stop.abort();
  }

  async #step(): Promise<void> {
    const { store, prefix, onSnapshot, onChange } = this.#options;
    if (this.#revision === undefined) {
      const snapshot = await store.snapshot(prefix);
      if (this.#stop.signal.aborted) return;
      this.#hear();
      onSnapshot(snapshot);
      this.#revision = snapshot.revision;
      return;
    }
    const options = { isImmediate: this.#isLost };
    const watched = await store.watch(prefix, this.#revision, this.#stop.signal, options);
    if (this.#stop.signal.aborted) return;
    this.#hear();
    for (const change of watched.changes) onChange(change);
    this.#revision = watched.revision;
    if (watched.changes.length > 0) await this.#gather();
  }

  /**
   * Waits a little for more changes, so that one watch tells of all of them.
   *
   * Guards against a call for each change and instance while many upstreams come and go: 33 instances
   * that each watch again at once make 33 calls for every one.
   */
  async #gather(): Promise<void> {
    const { clock, gatherMs } = this.#options;
    if (gatherMs > 0) await clock.sleep(gatherMs, this.#stop.signal);
  }

  #fail(error: RouterError): void {
    const { isNewestEnough } = this.#options;
    if (isNewestEnough || error.kind === 'historyGone') this.#revision = undefined;
    if (this.#isLost) return;
    this.#isLost = true;
    this.#options.onLost(error);
  }

  #hear(): void {
    const nowMs = this.#options.clock.monotonicMs();
    const awayMs = nowMs - this.#heardMs;
    this.#heardMs = nowMs;
    if (!this.#isLost) return;
    this.#isLost = false;
    this.#options.onRegained(awayMs);
  }
}
