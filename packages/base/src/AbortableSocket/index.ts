import { Socket } from 'node:net';

/** What undici destroys a socket with whose request is aborted. */
const abortedRequest = { code: 'UND_ERR_INFO', message: 'aborted' } as const;

/**
 * A socket of an HTTP client that is reset when its request is aborted.
 *
 * Guards against a request that reaches its server long after it was given up: the end of a connection in good order is
 * sent after all that the kernel still holds, or sends again once the way is back; a reset drops it.
 *
 * @example
 * const client = new Client(origin, { connect: (_options, callback) => callback(null, openSocket(new AbortableSocket())) });
 */
export class AbortableSocket extends Socket {
  /** Why it is reset; Node's reset names no error, without which undici fails the aborted request a second time. */
  #resetError: Error | undefined;

  override destroy(error?: Error): this {
    if (this.#resetError !== undefined) return super.destroy(this.#resetError);
    if (!isAborted(error) || this.connecting || this.destroyed) return super.destroy(error);
    // Node cannot reset a connection whose own end it has begun to send.
    if (this.readableEnded || this.writableEnded) return super.destroy(error);
    this.#resetError = error;
    return this.resetAndDestroy();
  }
}

function isAborted(error?: Error & { readonly code?: unknown }): error is Error {
  return error?.code === abortedRequest.code && error.message === abortedRequest.message;
}
