import type { PromiseName } from '../../types.js';
import { bounds, slackMs } from '../InstanceProcess/index.js';

/** What one look at an instance showed. */
export interface InstanceLook {
  readonly instance: number;
  readonly isReady: boolean;
  /** Whom its directory named; undefined when it did not answer. */
  readonly named: readonly number[] | undefined;
}

/** Options of {@link NamingCheck}. */
export interface NamingCheckOptions {
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  readonly onViolation: (promise: PromiseName, what: string) => void;
}

/** After this long without power an instance is named no more, in milliseconds. */
const goneMs = 2 * bounds.stableWindowMs;
/** An instance that has been ready for so long is known to be there, in milliseconds. */
const settledMs = bounds.stableWindowMs;

/** Whether directories name who lives, and nobody else. */
export class NamingCheck {
  readonly #options: NamingCheckOptions;
  readonly #readySinceMs = new Map<number, number>();
  readonly #offSinceMs = new Map<number, number>();

  constructor(options: NamingCheckOptions) {
    this.#options = options;
  }

  /** Notes that an instance loses power. */
  powerOff(instance: number): void {
    this.#offSinceMs.set(instance, this.#options.now());
  }

  /** Takes one look at each instance. */
  take(looks: readonly InstanceLook[]): void {
    for (const { instance, isReady } of looks) this.#noteReady(instance, isReady);
    for (const { instance, named } of looks) {
      if (named === undefined) continue;
      this.#checkGone(instance, named);
      this.#checkLive(instance, named);
    }
  }

  #noteReady(instance: number, isReady: boolean): void {
    if (!isReady) this.#readySinceMs.delete(instance);
    else if (!this.#readySinceMs.has(instance)) {
      this.#readySinceMs.set(instance, this.#options.now());
    }
    if (isReady) this.#offSinceMs.delete(instance);
  }

  #checkGone(asked: number, named: readonly number[]): void {
    const nowMs = this.#options.now();
    for (const [gone, sinceMs] of this.#offSinceMs) {
      const offMs = nowMs - sinceMs;
      if (!named.includes(gone) || offMs <= goneMs + slackMs) continue;
      const what = `${asked} names ${gone}, off for ${Math.round(offMs)} ms`;
      this.#options.onViolation('goneInstance', what);
    }
  }

  #checkLive(asked: number, named: readonly number[]): void {
    if (!this.#isSettled(asked)) return;
    for (const live of this.#readySinceMs.keys()) {
      // An instance leaves itself out while it is short of tokens.
      if (live === asked || named.includes(live) || !this.#isSettled(live)) continue;
      this.#options.onViolation('liveInstance', `${asked} does not name ${live}, which is ready`);
    }
  }

  #isSettled(instance: number): boolean {
    const sinceMs = this.#readySinceMs.get(instance);
    return sinceMs !== undefined && this.#options.now() - sinceMs > settledMs + slackMs;
  }
}
