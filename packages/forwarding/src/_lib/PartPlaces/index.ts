/**
 * Where parts of prompts were read last, as far as this instance knows.
 */
import type { UpstreamId } from '@acaciacrank/base';

/** Parts remembered at most; the one used longest ago goes first. */
const maxParts = 4_096;

/** Remembers for each part the upstream that it was sent to last. */
export class PartPlaces {
  readonly #places = new Map<string, UpstreamId>();

  /** The upstream that a part was sent to last; undefined where that is not known. */
  last(partId: string): UpstreamId | undefined {
    return this.#places.get(partId);
  }

  /** Notes where a part is sent. */
  note(partId: string, upstreamId: UpstreamId): void {
    this.#places.delete(partId);
    this.#places.set(partId, upstreamId);
    const [oldest] = this.#places.keys();
    if (this.#places.size > maxParts && oldest !== undefined) this.#places.delete(oldest);
  }
}
