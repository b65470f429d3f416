import type { ServerResponse } from 'node:http';

/** Tells whether, and when, a caller disconnects before its response is complete. */
export class CallerDisconnect {
  #isGone = false;
  readonly #callbacks = new Set<() => void>();

  constructor(response: ServerResponse) {
    response.once('close', () => {
      if (response.writableFinished) return;
      this.#isGone = true;
      for (const callback of [...this.#callbacks]) callback();
    });
  }

  /** Whether the caller has disconnected. */
  get isGone(): boolean {
    return this.#isGone;
  }

  /** Calls back once at the moment at which the caller disconnects, unless disposed of before. */
  onGone(callback: () => void): Disposable {
    this.#callbacks.add(callback);
    return { [Symbol.dispose]: () => void this.#callbacks.delete(callback) };
  }
}
