/**
 * Collects disposable items and disposes of them in reverse order.
 *
 * An item that is added after disposal has begun is disposed of immediately, so that a task that
 * is still starting during shutdown leaks nothing.
 */
export class DisposableStore implements AsyncDisposable {
  readonly #items: (Disposable | AsyncDisposable)[] = [];
  #disposed = false;

  /** Whether {@link dispose} has been called. */
  get isDisposed(): boolean {
    return this.#disposed;
  }

  /**
   * Adds an item that is disposed of together with the store.
   *
   * @param item - the item to dispose of later
   * @returns the same item
   *
   * @example
   * const timer = store.add(clock.schedule(1_000, tick));
   */
  add<Item extends Disposable | AsyncDisposable>(item: Item): Item {
    if (this.#disposed) void disposeOf(item);
    else this.#items.push(item);
    return item;
  }

  /** Disposes of all items, the most recently added first. */
  async dispose(): Promise<void> {
    if (this.#disposed) return;
    this.#disposed = true;
    for (const item of this.#items.reverse()) await disposeOf(item);
    this.#items.length = 0;
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.dispose();
  }
}

async function disposeOf(item: Disposable | AsyncDisposable): Promise<void> {
  if (Symbol.asyncDispose in item) await item[Symbol.asyncDispose]();
  else item[Symbol.dispose]();
}
