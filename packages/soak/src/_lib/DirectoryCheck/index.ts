import type { InvariantName } from '../../types.js';
import { bounds, toleranceMs } from '../InstanceProcess/index.js';

/** Result of polling one instance. */
export interface InstancePoll {
  /** Index of the polled instance. */
  readonly instance: number;
  readonly isReady: boolean;
  /** Indexes of the instances that its directory listed; undefined if it did not answer. */
  readonly named: readonly number[] | undefined;
}

/** Options of {@link DirectoryCheck}. */
export interface DirectoryCheckOptions {
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  readonly onViolation: (invariant: InvariantName, what: string) => void;
}

/** Time after a loss of power by which directories must no longer list the instance. */
const delistDeadlineMs = 2 * bounds.stableWindowMs;
/** Time for which two instances must have been ready before the directory of one has to list the other. */
const minReadyMs = bounds.stableWindowMs;

/** A ready instance that a directory left out. */
interface Omission {
  readonly polledInstance: number;
  readonly omitted: number;
  /** Since when the omitted instance had been ready. */
  readonly readySinceMs: number;
}

/** Checks that directories list the ready instances and none that lost power. */
export class DirectoryCheck {
  readonly #options: DirectoryCheckOptions;
  readonly #readySinceMs = new Map<number, number>();
  readonly #poweredOffSinceMs = new Map<number, number>();
  /** Omissions of the last polls, which the next ones confirm. */
  #omissions: Omission[] = [];

  constructor(options: DirectoryCheckOptions) {
    this.#options = options;
  }

  /** Records that an instance loses power. */
  notePowerOff(instance: number): void {
    this.#poweredOffSinceMs.set(instance, this.#options.now());
  }

  /** Records and checks the results of polling all instances once. */
  addPolls(polls: readonly InstancePoll[]): void {
    for (const { instance, isReady } of polls) this.#noteReadiness(instance, isReady);
    this.#confirmOmissions();
    for (const { instance, named } of polls) {
      if (named === undefined) continue;
      this.#checkPoweredOff(instance, named);
      this.#checkReady(instance, named);
    }
  }

  #noteReadiness(instance: number, isReady: boolean): void {
    if (!isReady) this.#readySinceMs.delete(instance);
    else if (!this.#readySinceMs.has(instance)) {
      this.#readySinceMs.set(instance, this.#options.now());
    }
    if (isReady) this.#poweredOffSinceMs.delete(instance);
  }

  #checkPoweredOff(polledInstance: number, named: readonly number[]): void {
    const nowMs = this.#options.now();
    for (const [poweredOff, sinceMs] of this.#poweredOffSinceMs) {
      const offMs = nowMs - sinceMs;
      if (!named.includes(poweredOff) || offMs <= delistDeadlineMs + toleranceMs) continue;
      const what = `instance ${polledInstance} lists instance ${poweredOff}, without power for ${Math.round(offMs)} ms`;
      this.#options.onViolation('goneInstance', what);
    }
  }

  #checkReady(polledInstance: number, named: readonly number[]): void {
    if (!this.#isReadyLongEnough(polledInstance)) return;
    for (const [ready, readySinceMs] of this.#readySinceMs) {
      // An instance may omit itself: it does so while it is short of tokens.
      if (ready === polledInstance || named.includes(ready) || !this.#isReadyLongEnough(ready))
        continue;
      this.#omissions.push({ polledInstance, omitted: ready, readySinceMs });
    }
  }

  /**
   * Only an instance that is still ready in the next polls was ready when it was left out: one that began to stop between
   * its own answer and that of the directory is left out rightly.
   */
  #confirmOmissions(): void {
    for (const { polledInstance, omitted, readySinceMs } of this.#omissions) {
      if (this.#readySinceMs.get(omitted) !== readySinceMs) continue;
      const what = `instance ${polledInstance} does not list instance ${omitted}, which is ready`;
      this.#options.onViolation('liveInstance', what);
    }
    this.#omissions = [];
  }

  #isReadyLongEnough(instance: number): boolean {
    const sinceMs = this.#readySinceMs.get(instance);
    return sinceMs !== undefined && this.#options.now() - sinceMs > minReadyMs + toleranceMs;
  }
}
