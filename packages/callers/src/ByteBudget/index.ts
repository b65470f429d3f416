/**
 * Bounds the total memory used by request and response bodies.
 */
import { RouterError } from '@acaciacrank/base';

/**
 * Counts the bytes held for bodies.
 *
 * Guards against many callers that each slowly send a body within the size limit: together they
 * would exhaust the instance's memory. Further bodies are refused as `overloaded`, and their
 * requests do not run.
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

  /** Starts counting for one HTTP exchange; dispose of the result when the exchange has ended. */
  open(): HeldBytes {
    return new HeldBytes(this);
  }

  /** Adds bytes to the total; a negative number subtracts. */
  count(bytes: number): void {
    this.#heldBytes += bytes;
  }

  /** @throws RouterError `overloaded` if this many more bytes would exceed the limit */
  check(bytes: number): void {
    if (this.#heldBytes + bytes <= this.#maxBytes) return;
    throw new RouterError(
      'overloaded',
      'the memory limit for request and response bodies is reached',
    );
  }
}

/** The bytes that one HTTP exchange holds in a {@link ByteBudget}. */
export class HeldBytes implements Disposable {
  readonly #budget: ByteBudget;
  #bytes = 0;

  constructor(budget: ByteBudget) {
    this.#budget = budget;
  }

  /**
   * Counts part of a request body.
   *
   * @throws RouterError `overloaded` if it would exceed the limit
   */
  take(bytes: number): void {
    this.#budget.check(bytes);
    this.add(bytes);
  }

  /**
   * Counts a response body. It is in memory already, so it is never refused itself, but leaves less
   * room for further request bodies.
   */
  add(bytes: number): void {
    this.#bytes += bytes;
    this.#budget.count(bytes);
  }

  [Symbol.dispose](): void {
    this.#budget.count(-this.#bytes);
    this.#bytes = 0;
  }
}
