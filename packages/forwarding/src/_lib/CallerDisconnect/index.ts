import type { ServerResponse } from 'node:http';

/** Tells whether, and when, a caller disconnects before its response is complete. */
export class CallerDisconnect {
  #isGone = false;
  #onGone: (() => void) | undefined;

  constructor(response: ServerResponse) {
    response.once('close', () => {
      if (response.writableFinished) return;
      this.#isGone = true;
      this.#onGone?.();
    });
  }

  /** Whether the caller has disconnected. */
  get isGone(): boolean {
    return this.#isGone;
  }

  /** Sets the callback for the moment at which the caller disconnects; undefined for none. */
  set onGone(callback: (() => void) | undefined) {
    this.#onGone = callback;
  }
}
