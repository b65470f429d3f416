/** How fast what was seen of a queue is forgotten, in milliseconds: about how long a few prompts are read. */
const forgetMs = 500;
/** Weight of a new observation. */
const weight = 0.5;

/**
 * Guesses how long an engine reads for other instances, from how much later than expected it begins to
 * answer this one.
 *
 * Answers engines whose queue no single instance sees: each of several instances sends a prompt there
 * now and then, finds nothing of its own ahead, and waits behind the others' while engines beside it
 * idle. Its own prompts tell: the last ones began late, or one that waits now is overdue.
 *
 * @example
 * queue.observe(400, nowMs);
 * queue.estimateMs(nowMs + 100, 0);
 */
export class ForeignQueue {
  #queuedMs = 0;
  #atMs = -Infinity;

  /**
   * Takes in how much later than expected a prompt's first event came.
   *
   * @param excessMs - beyond its own reading and what this instance had ordered before it
   * @param nowMs - on the monotonic clock
   */
  observe(excessMs: number, nowMs: number): void {
    const before = this.#remembered(nowMs);
    this.#queuedMs = before + weight * (Math.max(0, excessMs) - before);
    this.#atMs = nowMs;
  }

  /**
   * How long the engine is likely to read for others before anything that is sent now.
   *
   * @param nowMs - on the monotonic clock
   * @param overdueMs - by how much the prompt that waits longest is past its time; 0 for none
   */
  estimateMs(nowMs: number, overdueMs: number): number {
    return Math.max(this.#remembered(nowMs), overdueMs);
  }

  #remembered(nowMs: number): number {
    if (this.#queuedMs === 0) return 0;
    return this.#queuedMs * Math.exp(-Math.max(0, nowMs - this.#atMs) / forgetMs);
  }
}
