import type { ServerResponse } from 'node:http';

/** Whether, and when, a caller disconnects before its response is complete. */
export class CallerDisconnect {
  readonly #response: ServerResponse;
  #isGone = false;
  readonly #callbacks = new Set<() => void>();

  /** @param response - the response, at the beginning of its request */
  constructor(response: ServerResponse) {
    this.#response = response;
    response.once('close', () => {
      if (response.writableFinished) return;
      this.#isGone = true;
      for (const callback of [...this.#callbacks]) callback();
    });
  }

  /** Whether the caller has disconnected, or has ended its side of the connection, which it does just before. */
  get isGone(): boolean {
    return this.#isGone || this.#response.socket?.readableEnded === true;
  }

  /** Calls back once at the moment at which the caller disconnects, unless disposed of before. */
  onGone(callback: () => void): Disposable {
    this.#callbacks.add(callback);
    return { [Symbol.dispose]: () => void this.#callbacks.delete(callback) };
  }
}
