import { Socket } from 'node:net';

/** What undici destroys a socket with whose request is aborted. */
const abortedRequest = { code: 'UND_ERR_INFO', message: 'aborted' } as const;
/** Size of the buffer into which libuv reads, in bytes; after a smaller read it looks for the end in a later turn. */
const readBufferBytes = 65_536;

/**
 * The other end has reset a connection. The code is not `ECONNRESET`, with which undici takes a response without a
 * length for whole.
 */
class ConnectionResetError extends Error {
  readonly code = 'ERR_CONNECTION_RESET';
  readonly syscall = 'read';

  constructor() {
    super('the connection was reset by its other end');
  }
}

/**
 * A socket of an HTTP client whose end says what it means, to both ends.
 *
 * Guards against a request that reaches its server long after it was given up: the end of a connection in good order is
 * sent after all that the kernel still holds, or sends again once the way is back. When its request is aborted, the
 * connection is reset, which drops that.
 *
 * Guards against a part of a response that looks whole: a reset of the other end is not its end. Libuv reports a reset
 * as an end if it finds both bytes and a reset, as in a process that reads late.
 *
 * @example
 * const client = new Client(origin, { connect: (_options, callback) => callback(null, openSocket(new ClientSocket())) });
 */
export class ClientSocket extends Socket {
  /** Why it is reset; Node's reset names no error, without which undici fails the aborted request a second time. */
  #resetError: Error | undefined;
  /** The turn of the event loop in which a part was read last, unless that filled the buffer. */
  #readTurn = -1;

  override destroy(error?: Error & { readonly code?: unknown }): this {
    if (this.#resetError !== undefined) return super.destroy(this.#resetError);
    if (error?.code === 'ECONNRESET') return super.destroy(new ConnectionResetError());
    if (!isAborted(error) || this.connecting || this.destroyed) return super.destroy(error);
    // Node cannot reset a connection whose own end it has begun to send.
    if (this.readableEnded || this.writableEnded) return super.destroy(error);
    this.#resetError = error;
    return this.resetAndDestroy();
  }

  /** Whether an end that is read now is a reset: one in good order is read in a later turn than the bytes before it. */
  get #isReset(): boolean {
    return this.#readTurn === currentTurn() && !this.writableEnded;
  }

  override push(part: unknown, encoding?: BufferEncoding): boolean {
    if (part instanceof Uint8Array)
      this.#readTurn = part.byteLength < readBufferBytes ? currentTurn() : -1;
    if (part !== null || !this.#isReset) return super.push(part, encoding);
    this.destroy(new ConnectionResetError());
    return false;
  }
}

function isAborted(error?: Error & { readonly code?: unknown }): error is Error {
  return error?.code === abortedRequest.code && error.message === abortedRequest.message;
}

const turns = { current: 0, isCounted: false };

/** Number of the current turn of the event loop, among those in which it was asked for. */
function currentTurn(): number {
  if (!turns.isCounted) {
    turns.isCounted = true;
    setImmediate(() => {
      turns.isCounted = false;
      turns.current += 1;
    });
  }
  return turns.current;
}
