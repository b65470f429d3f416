/** Parts of at least this size are kept as they were received, in bytes; smaller ones are copied together. */
const minOwnPartBytes = 4_096;
/** Size of a block that small parts are copied to, in bytes: as much as has been received, within these bounds. */
const blockBytes = { min: 4_096, max: 65_536 } as const;
/** What a part costs beside its bytes, in bytes. */
const partOverheadBytes = 256;
/** More chunks than this, of less than this many bytes on average, are fragments. */
const minFragments = 1_024;
const maxFragmentBytes = 64;
const noBlock = Buffer.alloc(0);

/**
 * A body while it is received, and the memory that it takes.
 *
 * Guards against bodies in very small chunks: each chunk is an object with memory of its own, so that its bytes say little
 * about what it costs.
 *
 * @example
 * const allocatedBytes = body.append(chunk);
 */
export class BodyBuffer {
  readonly #parts: Buffer[] = [];
  #block: Buffer = noBlock;
  #blockUsedBytes = 0;
  #bytes = 0;
  #chunkCount = 0;

  /** Number of bytes that were received. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Whether it has come in so many small chunks that reading them takes more time than the body is worth. */
  get isFragmented(): boolean {
    return this.#chunkCount > minFragments && this.#bytes < this.#chunkCount * maxFragmentBytes;
  }

  /** Adds a chunk; returns how many bytes were allocated or kept for it. */
  append(chunk: Buffer): number {
    const isFirst = this.#bytes === 0;
    this.#bytes += chunk.byteLength;
    this.#chunkCount += 1;
    if (!isFirst && chunk.byteLength < minOwnPartBytes) return this.#copy(chunk);
    this.#seal();
    this.#parts.push(chunk);
    // Most bodies have one chunk, which costs no more than its request.
    return isFirst ? chunk.byteLength : chunk.byteLength + partOverheadBytes;
  }

  /** Returns the whole body. */
  toBuffer(): Buffer {
    this.#seal();
    const [first] = this.#parts;
    return this.#parts.length === 1 && first !== undefined ? first : Buffer.concat(this.#parts);
  }

  #copy(chunk: Buffer): number {
    if (chunk.byteLength <= this.#block.byteLength - this.#blockUsedBytes) {
      this.#blockUsedBytes += chunk.copy(this.#block, this.#blockUsedBytes);
      return 0;
    }
    this.#seal();
    const size = Math.min(blockBytes.max, Math.max(blockBytes.min, this.#bytes));
    this.#block = Buffer.allocUnsafeSlow(size);
    this.#blockUsedBytes = chunk.copy(this.#block);
    return size + partOverheadBytes;
  }

  /** Closes the block that small parts are copied to. */
  #seal(): void {
    if (this.#blockUsedBytes === 0) return;
    this.#parts.push(this.#block.subarray(0, this.#blockUsedBytes));
    this.#block = noBlock;
    this.#blockUsedBytes = 0;
  }
}
