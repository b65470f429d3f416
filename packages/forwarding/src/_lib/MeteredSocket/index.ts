import { ClientSocket } from '@acaciacrank/base';

/** Size of the parts in which bytes are handed to the parser, in bytes. */
const maxPartBytes = 16_384;

/**
 * A socket that hands its bytes over in parts and reports each one once it has been parsed.
 *
 * Guards against the work and memory of a parser that is given many thousand header fields or chunks at once: whoever
 * counts the parts can end the connection between two of them.
 */
export class MeteredSocket extends ClientSocket {
  readonly #onParsed: (bytes: number) => void;
  #unreportedBytes = 0;

  /** @param onParsed - called with the size of each part before the next one is read */
  constructor(onParsed: (bytes: number) => void) {
    super();
    this.#onParsed = onParsed;
  }

  // The stream declares its result as `any`.
  override read(size?: number): unknown {
    this.#report();
    if (this.destroyed) return null;
    const length = Math.min(maxPartBytes, this.readableLength);
    const part: unknown = super.read(size ?? (length > 0 ? length : undefined));
    if (part instanceof Uint8Array) this.#unreportedBytes = part.byteLength;
    return part;
  }

  #report(): void {
    const bytes = this.#unreportedBytes;
    this.#unreportedBytes = 0;
    if (bytes > 0) this.#onParsed(bytes);
  }
}
