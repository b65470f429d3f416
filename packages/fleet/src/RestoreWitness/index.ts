import type { Clock } from '@acaciacrank/base';
import { maxCopyAgeMs } from '@acaciacrank/store';
import type { RegisteredRun } from '../Registrations/index.js';

/** Report of one run of an instance on restores of the store. */
export interface RestoreReport {
  /** The epoch in which the fleet first started, if it is known. */
  readonly firstEpoch?: number | undefined;
  /** The highest epoch in which this run has written again all that it held from before. */
  readonly accountedEpoch: number;
  /** The highest epoch of which this run knows that every holder from before has done so. */
  readonly witnessedEpoch: number;
}

/** Options of {@link RestoreWitness}. */
export interface RestoreWitnessOptions {
  clock: Clock;
  /** Whether the whole fleet starts for the first time, so that nothing was ever stored. */
  isFirstStart: boolean;
  /** The highest epoch in which this run has written again all that it held from before. */
  ownAccountedEpoch: () => number;
  /** How old the copy can be from which the store returns, in milliseconds. */
  maxCopyAgeMs?: number;
}

/**
 * The longest time without a list of registrations after which this run still counts as having seen every
 * other run, in milliseconds: the store may be away for a moment before it returns.
 */
const maxListGapMs = 10_000;
/** How long a run is remembered after its last sign of life, in milliseconds. */
const retentionMs = 600_000;

/**
 * Determines whether everything is known again that was written to the store since the copy from which it
 * returned.
 *
 * Each run writes again what it held and reports that in its registration. A run that was there during the
 * whole time that can be lost has seen every other run of that time, in the store's list or over links. Once all of
 * those have reported, it witnesses that nothing is unknown, and one witness suffices. A run that ended within that time never
 * reports, so there is no witness then: what it may have held stays withheld.
 */
export class RestoreWitness {
  readonly #options: Required<RestoreWitnessOptions>;
  /** When each run last gave a sign of life, on the monotonic clock. */
  readonly #lastSeenMs = new Map<string, number>();
  readonly #pending = new Set<string>();
  #epoch: number | undefined;
  #firstEpoch: number | undefined;
  #listedAtMs = -Infinity;
  #listingSinceMs = Infinity;
  #mayWitness = false;
  #ownWitnessedEpoch = 0;
  #othersWitnessedEpoch = 0;

  constructor(options: RestoreWitnessOptions) {
    this.#options = { maxCopyAgeMs, ...options };
  }

  /**
   * The epoch in which the fleet first started; undefined before the first list.
   *
   * It is 0, so that any object may be older than the present epoch, as long as nobody reports it.
   */
  get firstEpoch(): number | undefined {
    return this.#epoch === undefined ? undefined : (this.#firstEpoch ?? 0);
  }

  /** The runs that may have held something before the last restore and have not reported since. */
  get pendingRuns(): readonly string[] {
    return [...this.#pending];
  }

  /** What this run reports to the others; undefined before the first list. */
  get report(): RestoreReport | undefined {
    if (this.#epoch === undefined) return undefined;
    return {
      firstEpoch: this.#firstEpoch,
      accountedEpoch: this.#options.ownAccountedEpoch(),
      witnessedEpoch: this.#ownWitnessedEpoch,
    };
  }

  /** Whether all that was held before the given epoch is known to be written again. */
  isAccounted(epoch: number): boolean {
    return Math.max(this.#ownWitnessedEpoch, this.#othersWitnessedEpoch) >= epoch;
  }

  /**
   * Applies a list of the other runs.
   *
   * @param epoch - epoch of the store that returned the list
   * @param runs - the runs of other instances
   */
  applyRuns(epoch: number, runs: readonly RegisteredRun[]): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs - this.#listedAtMs > maxListGapMs) this.#listingSinceMs = nowMs;
    this.#listedAtMs = nowMs;
    if (this.#epoch !== undefined && epoch > this.#epoch) this.#startAccounting(runs, nowMs);
    this.#epoch = epoch;
    if (this.#options.isFirstStart) this.#firstEpoch ??= epoch;
    for (const run of runs) this.#applyRun(run, epoch, nowMs);
    this.#forgetOldRuns(nowMs);
    const isComplete = this.#pending.size === 0 && this.#options.ownAccountedEpoch() >= epoch;
    if (this.#mayWitness && isComplete) this.#ownWitnessedEpoch = epoch;
  }

  /**
   * Records a run that is heard of over links.
   *
   * Guards against a run that took grants and ended before any list showed it: a list may be seconds old, and after a
   * restore from a copy that lacks the run's registration none ever shows it.
   */
  recordRun(runId: string): void {
    this.#lastSeenMs.set(runId, this.#options.clock.monotonicMs());
  }

  #startAccounting(runs: readonly RegisteredRun[], nowMs: number): void {
    const lostSinceMs = nowMs - this.#options.maxCopyAgeMs;
    this.#mayWitness = this.#listingSinceMs <= lostSinceMs;
    this.#pending.clear();
    for (const [runId, lastSeenMs] of this.#lastSeenMs) {
      if (lastSeenMs >= lostSinceMs) this.#pending.add(runId);
    }
    for (const { runId } of runs) if (!this.#lastSeenMs.has(runId)) this.#pending.add(runId);
  }

  #applyRun({ runId, restores, isPossiblyRunning }: RegisteredRun, epoch: number, nowMs: number) {
    if (isPossiblyRunning || !this.#lastSeenMs.has(runId)) this.#lastSeenMs.set(runId, nowMs);
    if (restores === undefined) return;
    const { firstEpoch = Infinity } = restores;
    if (firstEpoch <= epoch) this.#firstEpoch = Math.min(this.#firstEpoch ?? epoch, firstEpoch);
    this.#othersWitnessedEpoch = Math.max(this.#othersWitnessedEpoch, restores.witnessedEpoch);
    if (restores.accountedEpoch >= epoch) this.#pending.delete(runId);
  }

  #forgetOldRuns(nowMs: number): void {
    for (const [runId, lastSeenMs] of this.#lastSeenMs) {
      if (nowMs - lastSeenMs > retentionMs) this.#lastSeenMs.delete(runId);
    }
  }
}
