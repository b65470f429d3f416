import { RouterError } from '@acaciacrank/base';
import { maxBufferedBytes } from '../limits/index.js';

/**
 * Collects the body of a response.
 *
 * @example
 * collector.add(chunk);
 * collector.body.byteLength;
 */
export class BodyCollector {
  readonly #maxBytes: number;
  readonly #chunks: Buffer[] = [];
  #bytes = 0;

  /** @param maxBytes - the size limit, in bytes */
  constructor(maxBytes = maxBufferedBytes) {
    this.#maxBytes = maxBytes;
  }

  /** The body so far. */
  get body(): Buffer {
    const [first] = this.#chunks;
    return this.#chunks.length === 1 && first !== undefined ? first : Buffer.concat(this.#chunks);
  }

  /**
   * Adds a part of the body.
   *
   * @throws RouterError `upstreamFailed` if the body is too large
   */
  add(chunk: Buffer): void {
    this.#bytes += chunk.byteLength;
    if (this.#bytes > this.#maxBytes)
      throw new RouterError('upstreamFailed', 'the response exceeds the size limit');
    this.#chunks.push(chunk);
  }
}
