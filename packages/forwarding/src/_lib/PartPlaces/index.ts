/**
 * Which engines hold parts of prompts, as far as this instance knows.
 */
import type { UpstreamId } from '@acaciacrank/base';

/** Parts remembered at most; the one used longest ago goes first. */
const maxParts = 4_096;
/**
 * How long an engine is taken to hold a part after it was last sent there, in milliseconds: it drops
 * what was used longest ago when it needs room.
 */
const heldMs = 20_000;

/** Remembers for each part the engines that it was sent to, and when last. */
export class PartPlaces {
  readonly #places = new Map<string, Map<UpstreamId, number>>();

  /**
   * The engines that hold a part.
   *
   * @param partId - the part
   * @param nowMs - on the monotonic clock
   */
  holders(partId: string, nowMs: number): ReadonlySet<UpstreamId> {
    const held = [...(this.#places.get(partId) ?? [])].filter(([, atMs]) => nowMs - atMs < heldMs);
    return new Set(held.map(([id]) => id));
  }

  /** Notes where a part is sent. */
  note(partId: string, upstreamId: UpstreamId, nowMs: number): void {
    const engines = this.#places.get(partId) ?? new Map<UpstreamId, number>();
    for (const [id, atMs] of engines) if (nowMs - atMs >= heldMs) engines.delete(id);
    engines.set(upstreamId, nowMs);
    this.#places.delete(partId);
    this.#places.set(partId, engines);
    const [oldest] = this.#places.keys();
    if (this.#places.size > maxParts && oldest !== undefined) this.#places.delete(oldest);
  }

  /** Forgets all that an engine held: it has started again. */
  forget(upstreamId: UpstreamId): void {
    for (const engines of this.#places.values()) engines.delete(upstreamId);
  }
}
