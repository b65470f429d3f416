/**
 * A bound on the memory that bodies take together.
 */
import { RouterError } from '@acaciacrank/base';

/**
 * Counts bytes held for bodies.
 *
 * Guards against many callers that each send a body within its own bound and slowly: together they
 * would take the instance's memory. The next body is then refused as `overloaded`, not run.
 */
export class ByteBudget {
  readonly #maxBytes: number;
  #heldBytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Opens an account for one exchange; dispose of it when the exchange has ended. */
  open(): HeldBytes {
    return new HeldBytes(this);
  }

  /** Counts bytes in, or out when negative. */
  count(bytes: number): void {
    this.#heldBytes += bytes;
  }

  /** @throws RouterError `overloaded` when so many more do not fit */
  check(bytes: number): void {
    if (this.#heldBytes + bytes <= this.#maxBytes) return;
    throw new RouterError('overloaded', 'too many bodies are held at this instance');
  }
}

/** What one exchange holds of a {@link ByteBudget}. */
export class HeldBytes implements Disposable {
  readonly #budget: ByteBudget;
  #bytes = 0;

  constructor(budget: ByteBudget) {
    this.#budget = budget;
  }

  /**
   * Counts part of a caller's body.
   *
   * @throws RouterError `overloaded`
   */
  take(bytes: number): void {
    this.#budget.check(bytes);
    this.add(bytes);
  }

  /** Counts an answer, which is there already: it makes the next body wait, not itself. */
  add(bytes: number): void {
    this.#bytes += bytes;
    this.#budget.count(bytes);
  }

  [Symbol.dispose](): void {
    this.#budget.count(-this.#bytes);
    this.#bytes = 0;
  }
}
