/**
 * Tracks which engines probably have parts of prompts in their cache.
 */
import type { UpstreamId } from '@acaciacrank/base';

/** Maximum number of tracked parts; the least recently used one is evicted. */
const maxParts = 4_096;
/**
 * How long after a part was last sent to an engine the engine is assumed to have it, in
 * milliseconds. An engine evicts the least recently used parts when it needs room.
 */
const retentionMs = 20_000;

/** Stores for each part the engines that it was sent to and the time it was last sent. */
export class PromptPartLocations {
  readonly #enginesByPart = new Map<string, Map<UpstreamId, number>>();

  /**
   * Returns the engines that are assumed to have a part in their cache.
   *
   * @param partId - the part
   * @param nowMs - the current time on the monotonic clock, in milliseconds
   */
  enginesWith(partId: string, nowMs: number): ReadonlySet<UpstreamId> {
    const recent = [...(this.#enginesByPart.get(partId) ?? [])].filter(
      ([, atMs]) => nowMs - atMs < retentionMs,
    );
    return new Set(recent.map(([id]) => id));
  }

  /** Records that a part is sent to an engine. */
  recordSent(partId: string, upstreamId: UpstreamId, nowMs: number): void {
    const engines = this.#enginesByPart.get(partId) ?? new Map<UpstreamId, number>();
    for (const [id, atMs] of engines) if (nowMs - atMs >= retentionMs) engines.delete(id);
    engines.set(upstreamId, nowMs);
    this.#enginesByPart.delete(partId);
    this.#enginesByPart.set(partId, engines);
    const [oldest] = this.#enginesByPart.keys();
    if (this.#enginesByPart.size > maxParts && oldest !== undefined)
      this.#enginesByPart.delete(oldest);
  }

  /** Forgets that a part was sent to an engine. */
  forget(partId: string, upstreamId: UpstreamId): void {
    this.#enginesByPart.get(partId)?.delete(upstreamId);
  }

  /** Removes an engine from all parts, since its cache is empty after a restart. */
  removeEngine(upstreamId: UpstreamId): void {
    for (const engines of this.#enginesByPart.values()) engines.delete(upstreamId);
  }
}
