import { NoAnswerError } from '../NoAnswerError/index.js';

/** Smaller parts are copied into blocks, since each part by itself costs some hundred bytes. */
const minPartBytes = 4_096;
/** Bounds of the size of a block, in bytes. */
const blockBytes = { min: 512, max: 65_536 } as const;

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
  #block: Buffer = Buffer.alloc(0);
  #blockUsed = 0;

  /** @param maxBytes - the size limit, in bytes */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Size of the body so far. */
  get bytes(): number {
    return this.#bytes;
  }

  /** The body so far. */
  get body(): Buffer {
    this.#endBlock();
    const [first] = this.#chunks;
    if (this.#chunks.length === 1 && first !== undefined) return first;
    const body = Buffer.concat(this.#chunks);
    this.#chunks.splice(0, Infinity, body);
    return body;
  }

  /**
   * Adds a part of the body.
   *
   * @throws NoAnswerError if the body is too large
   */
  add(chunk: Buffer): void {
    this.#bytes += chunk.byteLength;
    if (this.#bytes > this.#maxBytes) throw new NoAnswerError('bodyBytes');
    if (chunk.byteLength < minPartBytes) {
      this.#copy(chunk);
      return;
    }
    this.#endBlock();
    this.#chunks.push(chunk);
  }

  #copy(chunk: Buffer): void {
    if (this.#block.byteLength - this.#blockUsed < chunk.byteLength) {
      this.#endBlock();
      const size = Math.min(blockBytes.max, Math.max(blockBytes.min, 2 * this.#bytes));
      this.#block = Buffer.allocUnsafeSlow(size);
    }
    this.#blockUsed += chunk.copy(this.#block, this.#blockUsed);
  }

  #endBlock(): void {
    if (this.#blockUsed > 0) this.#chunks.push(this.#block.subarray(0, this.#blockUsed));
    this.#block = this.#block.subarray(this.#blockUsed);
    this.#blockUsed = 0;
  }
}
