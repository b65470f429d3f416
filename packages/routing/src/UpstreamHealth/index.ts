import type { UpstreamActivity } from '../measureSilence/index.js';

/** A request that has not received a first token yet. */
export interface UnansweredRequest {
  readonly startedMs: number;
  /** Average time to the first token for its service and priority, in milliseconds; undefined if unknown. */
  readonly averageFirstTokenMs: number | undefined;
}

/** Minimum weight of the latest sample in the moving average of {@link UpstreamHealth.slowness}. */
const minSmoothingFactor = 0.2;

/**
 * Health of an upstream as observed by this instance's own requests.
 *
 * An `ejected` upstream receives no requests; a `probing` one receives one request at a time, to find out
 * whether it has recovered.
 */
export class UpstreamHealth {
  state: 'healthy' | 'probing' | 'ejected' = 'healthy';
  /** Reason for the last ejection. */
  reason: 'failing' | 'silent' | 'slow' | undefined;
  /** Time at which an ejected upstream may be probed, by the time in which this process ran. */
  ejectedUntilMs = 0;
  /** Number of ejections without a long healthy period between them; determines the backoff. */
  ejections = 0;
  /** Time at which it became healthy after its last ejection, by the time in which this process ran. */
  healthySinceMs = -Infinity;
  readonly #unanswered = new Set<UnansweredRequest>();
  #consecutiveFailures = 0;
  #successes = 0;
  #slowness = 1;
  #lastProgressMs = -Infinity;

  /** Number of failures since the last progress of any request. */
  get consecutiveFailures(): number {
    return this.#consecutiveFailures;
  }

  /** Number of first tokens received since the last reset. */
  get successes(): number {
    return this.#successes;
  }

  /** Moving average of the time to the first token, as a multiple of the service's average. */
  get slowness(): number {
    return this.#slowness;
  }

  /** Time of the last progress of any request, by the time in which this process ran. */
  get lastProgressMs(): number {
    return this.#lastProgressMs;
  }

  /** Requests without a first token, in order of their start. */
  get unansweredRequests(): ReadonlySet<UnansweredRequest> {
    return this.#unanswered;
  }

  /** When it was last heard of, and how long the request that waits longest has had no first token. */
  activityAt(nowMs: number): UpstreamActivity {
    let oldestMs = nowMs;
    for (const { startedMs } of this.#unanswered) oldestMs = Math.min(oldestMs, startedMs);
    return { sinceReceivedMs: nowMs - this.#lastProgressMs, longestWaitMs: nowMs - oldestMs };
  }

  begin(request: UnansweredRequest): void {
    this.#unanswered.add(request);
  }

  /** Records progress of any request, such as a token. */
  recordProgress(nowMs: number): void {
    this.#lastProgressMs = nowMs;
    this.#consecutiveFailures = 0;
  }

  /** Records a first token and its latency as a multiple of the service's average. */
  recordFirstToken(request: UnansweredRequest, slowness: number): void {
    this.#unanswered.delete(request);
    this.#successes += 1;
    const weight = Math.max(minSmoothingFactor, 1 / this.#successes);
    this.#slowness += weight * (slowness - this.#slowness);
  }

  recordFailure(request: UnansweredRequest): void {
    this.#unanswered.delete(request);
    this.#consecutiveFailures += 1;
  }

  /** Records that a request has ended, whatever its outcome. */
  end(request: UnansweredRequest): void {
    this.#unanswered.delete(request);
  }

  /** Clears the observations, which no longer describe the upstream's present state. */
  reset(): void {
    this.#consecutiveFailures = 0;
    this.#successes = 0;
    this.#slowness = 1;
    this.#unanswered.clear();
  }
}
