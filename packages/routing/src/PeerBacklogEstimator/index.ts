/** Time constant for the decay of the estimate, in milliseconds: about the prefill time of a few prompts. */
const decayMs = 500;
/** Weight of the latest observation. */
const smoothingFactor = 0.5;

/**
 * Estimates the prefill backlog that other instances cause at an engine, from how much later than
 * expected the engine starts to answer this instance.
 *
 * No single instance sees the whole queue of an engine: if each of several instances occasionally sends
 * a prompt there, each sees no prompt of its own ahead, yet waits behind those of the others while other
 * engines are idle. Two observations reveal the backlog: recent prompts started late, or a waiting prompt
 * is overdue.
 *
 * @example
 * estimator.observe(400, nowMs);
 * estimator.estimateMs(nowMs + 100, 0);
 */
export class PeerBacklogEstimator {
  #backlogMs = 0;
  #observedMs = -Infinity;

  /**
   * Records how much later than expected a prompt's first event arrived.
   *
   * @param excessMs - delay beyond its own prefill and that of this instance's earlier prompts
   * @param nowMs - current time of the monotonic clock
   */
  observe(excessMs: number, nowMs: number): void {
    const previousMs = this.#decayedBacklogMs(nowMs);
    this.#backlogMs = previousMs + smoothingFactor * (Math.max(0, excessMs) - previousMs);
    this.#observedMs = nowMs;
  }

  /**
   * Estimates how long the engine will prefill prompts of other instances before one that is sent now, in
   * milliseconds.
   *
   * @param nowMs - current time of the monotonic clock
   * @param overdueMs - how overdue the longest-waiting prompt is; 0 for none
   */
  estimateMs(nowMs: number, overdueMs: number): number {
    return Math.max(this.#decayedBacklogMs(nowMs), overdueMs);
  }

  #decayedBacklogMs(nowMs: number): number {
    if (this.#backlogMs === 0) return 0;
    return this.#backlogMs * Math.exp(-Math.max(0, nowMs - this.#observedMs) / decayMs);
  }
}
