/**
 * An abort signal that combines a deadline with a parent signal.
 */
import { RouterError, type Clock } from '@acaciacrank/base';

/**
 * Aborted when the parent signal is aborted, with the parent's reason, or when the time limit has
 * passed, with a RouterError as its reason. Disposing stops the timer.
 */
export class DeadlineSignal implements Disposable {
  readonly #controller = new AbortController();
  readonly #timer: Disposable;
  readonly #parent: AbortSignal;
  readonly #onParentAbort = () => {
    this.#controller.abort(this.#parent.reason);
  };

  constructor(
    clock: Clock,
    limitMs: number,
    parent: AbortSignal,
    reason: () => RouterError = () => deadlineExceededError(limitMs),
  ) {
    this.#parent = parent;
    this.#timer = clock.schedule(limitMs, () => {
      this.#controller.abort(reason());
    });
    parent.addEventListener('abort', this.#onParentAbort, { once: true });
    if (parent.aborted) this.#onParentAbort();
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  [Symbol.dispose](): void {
    this.#timer[Symbol.dispose]();
    this.#parent.removeEventListener('abort', this.#onParentAbort);
  }
}

function deadlineExceededError(limitMs: number): RouterError {
  return new RouterError('deadlineExceeded', `the answer was not complete within ${limitMs} ms`);
}
