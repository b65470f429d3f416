import { StateStream } from '@acaciacrank/base';

/**
 * The epochs of a store, as its responses report them: the present one, and every later one.
 *
 * An epoch ends when the store returns from an older copy of its objects. Writes that it acknowledged
 * after that copy are lost, and every holder of state from before has to write its state again, read it
 * again or drop it.
 */
export class StoreEpochs extends StateStream<number> {
  #isKnown = false;
  #restoreCount = 0;

  constructor() {
    super(0);
  }

  /** Number of times that the store returned from an older copy since this process started. */
  get restoreCount(): number {
    return this.#restoreCount;
  }

  /**
   * Records the epoch in a response.
   *
   * @param epoch - at least the present one
   *
   * @example
   * epochs.observe(3);
   */
  observe(epoch: number): void {
    const isRestored = this.#isKnown && epoch > this.value;
    const isNew = epoch !== this.value;
    this.#isKnown = true;
    if (isRestored) this.#restoreCount += 1;
    if (isNew) this.set(epoch);
  }

  /**
   * Calls a listener each time that the store returned from an older copy.
   *
   * @param onRestore - called with the new epoch and the one before
   *
   * @example
   * using subscription = store.epochs.followRestores((epoch) => log.warn({ epoch }));
   */
  followRestores(onRestore: (epoch: number, previousEpoch: number) => void): Disposable {
    let previousEpoch = this.value;
    let knownCount = this.#restoreCount;
    return this.follow(
      (epoch) => {
        if (this.#restoreCount > knownCount) onRestore(epoch, previousEpoch);
        knownCount = this.#restoreCount;
        previousEpoch = epoch;
      },
      () => undefined,
    );
  }
}
