import {
  millisecondsInSecond,
  withTimeout,
  type Clock,
  type Log,
  type Metrics,
} from '@acaciacrank/base';
import type { Membership } from '@acaciacrank/fleet';
import { directoryTtlMs } from '../Directory/index.js';

/** Options of {@link PlannedStop}. */
export interface PlannedStopOptions {
  clock: Clock;
  log: Log;
  metrics: Metrics;
  membership: Membership;
  /** Number of callers that are waiting for an answer. */
  openRequests: () => number;
  /**
   * The same, plus the answers and billing operations that continue after their caller has
   * disconnected.
   */
  openWork: () => number;
  /** Returns the grants. If this fails, they become available again when they expire. */
  closeGrants: () => Promise<void>;
}

/** Phase of a planned stop. */
export type StopPhase = 'running' | 'announced' | 'refusing' | 'ended';

/** Result of a planned stop. */
export interface StopResult {
  /** Number of requests in progress when the time limit was reached; 0 if all of them finished. */
  readonly cutOffRequests: number;
}

/**
 * How long after the announcement the directory of another instance may still name this one, in
 * milliseconds.
 */
const membershipPropagationMs = 2 * millisecondsInSecond;
/** Interval between checks for remaining work, in milliseconds. */
const openWorkPollMs = 50;
/** Timeout for returning the grants, in milliseconds. */
const closeGrantsTimeoutMs = 5 * millisecondsInSecond;
/** Time for the final message to peers to be sent, in milliseconds. */
const finalMessageDelayMs = 100;

/**
 * Shuts an instance down gracefully: it leaves the directory, then refuses new requests, waits for
 * open streams to end, and returns its grants.
 *
 * New requests are accepted as long as callers may have a cached directory answer that names this
 * instance. Refusing them earlier would cause errors for callers each time an instance is replaced.
 */
export class PlannedStop {
  readonly #options: PlannedStopOptions;
  #phase: StopPhase = 'running';
  #stopTask: Promise<StopResult> | undefined;

  constructor(options: PlannedStopOptions) {
    this.#options = options;
  }

  get phase(): StopPhase {
    return this.#phase;
  }

  /** Whether new requests are accepted. */
  get isAccepting(): boolean {
    return this.#phase === 'running' || this.#phase === 'announced';
  }

  /**
   * Performs the stop. Further calls return the promise of the first one.
   *
   * @param limitMs - time limit of the whole stop, in milliseconds
   * @returns the number of requests that were cut off because the limit was reached
   *
   * @example
   * const { cutOffRequests } = await plannedStop.run(600_000);
   */
  run(limitMs: number): Promise<StopResult> {
    this.#stopTask ??= this.#stop(limitMs);
    return this.#stopTask;
  }

  /** Counts and logs the requests in progress as cut off; it does not close them. */
  recordCutOff(): StopResult {
    const cutOffRequests = this.#options.openRequests();
    if (cutOffRequests > 0) {
      this.#options.metrics.count('requestsCutOff', '', cutOffRequests);
      this.#options.log.warn({ cutOffRequests }, 'requests cut off');
    }
    return { cutOffRequests };
  }

  async #stop(limitMs: number): Promise<StopResult> {
    const { clock, log, membership, openRequests, openWork } = this.#options;
    const deadlineMs = clock.monotonicMs() + limitMs;
    this.#phase = 'announced';
    membership.leave();
    log.info({ openRequests: openRequests() }, 'leaving');
    await clock.sleep(Math.min(limitMs, directoryTtlMs + membershipPropagationMs));
    this.#phase = 'refusing';
    log.info({ openRequests: openRequests() }, 'refusing new requests');
    while (openWork() > 0 && clock.monotonicMs() < deadlineMs) await clock.sleep(openWorkPollMs);
    const result = this.recordCutOff();
    await this.#closeGrants();
    membership.end();
    await clock.sleep(finalMessageDelayMs);
    this.#phase = 'ended';
    return result;
  }

  async #closeGrants(): Promise<void> {
    const { clock, log, closeGrants } = this.#options;
    const timeoutError = { kind: 'storeUnavailable', what: 'returning the grants' } as const;
    await withTimeout(clock, closeGrantsTimeoutMs, closeGrants, timeoutError).catch(
      (error: unknown) => {
        log.warn({ err: error }, 'grants were not given back; they return when they expire');
      },
    );
  }
}
