/**
 * Bounds the total memory used by request and response bodies.
 */
import { RouterError } from '@acaciacrank/base';
import type { BufferPressure } from '../BufferPressure/index.js';

/** Options of {@link BodyMemory}. */
export interface BodyMemoryOptions {
  /** Size of all bodies, in bytes. */
  readonly maxBytes: number;
  /** Whether all buffers together are too large; they are not looked at by default. */
  readonly pressure?: Pick<BufferPressure, 'isHighAfter'>;
  /** Called when a response is closed, since others need its memory. */
  readonly onResponseClosed?: () => void;
}

/** The part of a response that is needed to close its connection; it may wait there behind another response. */
interface ClosableResponse {
  readonly req: { readonly socket: { destroy(): unknown } };
}

/** Bodies of up to this size are not refused for the buffers of the process, in bytes: requests are few enough for them. */
const smallBodyBytes = 4_096;
/** How much of the memory response bodies may take: the rest is for requests. */
const maxResponseShare = 0.75;
/** Number of bodies in very small chunks that are received at a time; each may take much of the processor's time. */
const maxFragmentedBodies = 8;

/**
 * Counts the bytes held for bodies.
 *
 * Guards against many callers that each send a body within the size limit, slowly or not to its end: together they
 * would exhaust the instance's memory. Where there is no room, the body that has been incomplete for longest gives way,
 * since an ordinary one is whole soon; it is refused as `overloaded`, and its request does not run. Where responses take
 * too much, the one of which nothing has been read for longest is closed.
 */
export class BodyMemory {
  readonly #maxBytes: number;
  readonly #pressure: BodyMemoryOptions['pressure'];
  /** Bodies that are not complete, the oldest first. */
  readonly #incomplete = new Map<HeldBytes, (error: RouterError) => void>();
  /** Those of them that arrive in very small chunks, the first to have done so first. */
  readonly #fragmented = new Set<HeldBytes>();
  /** Responses that are being sent, the one of which nothing has been read for longest first. */
  readonly #responses = new Map<HeldBytes, ClosableResponse>();
  readonly #onResponseClosed: () => void;
  #heldBytes = 0;
  #responseBytes = 0;

  constructor({ maxBytes, pressure, onResponseClosed = () => undefined }: BodyMemoryOptions) {
    this.#maxBytes = maxBytes;
    this.#pressure = pressure;
    this.#onResponseClosed = onResponseClosed;
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

  /** Adds bytes of a response; others are closed if all responses take too much. */
  addResponse(held: HeldBytes, bytes: number, response: ClosableResponse): void {
    this.#pressure?.isHighAfter(bytes);
    this.#responseBytes += bytes;
    this.#setLast(held, response);
    while (this.#responseBytes > this.#maxBytes * maxResponseShare) {
      const [oldest] = this.#responses.keys();
      if (oldest === undefined || oldest === held) return;
      this.#closeResponse(oldest);
    }
  }

  /** Records that some of a response was read. */
  recordRead(held: HeldBytes): void {
    const response = this.#responses.get(held);
    if (response !== undefined) this.#setLast(held, response);
  }

  /** Records that a response has ended. */
  removeResponse(held: HeldBytes, bytes: number): void {
    this.#responses.delete(held);
    this.#responseBytes -= bytes;
  }

  /** Records that a body is incomplete; `onGiveWay` is called if it gives way to another. */
  addIncomplete(held: HeldBytes, onGiveWay: (error: RouterError) => void): void {
    if (!this.#incomplete.has(held)) this.#incomplete.set(held, onGiveWay);
  }

  /** Records that a body is complete, or is not read any more. */
  removeIncomplete(held: HeldBytes): void {
    this.#incomplete.delete(held);
    this.#fragmented.delete(held);
  }

  /** Records that a body arrives in very small chunks; the one that has for longest gives way if there are too many. */
  addFragmented(held: HeldBytes): void {
    this.#fragmented.add(held);
    const [oldest] = this.#fragmented;
    if (oldest !== undefined && this.#fragmented.size > maxFragmentedBodies) this.#giveWay(oldest);
  }

  /**
   * Whether there is room for a body that is not read yet. The bodies that are incomplete give way to it.
   *
   * @param bytes - its size; 0 if unknown
   */
  hasRoomFor(bytes: number): boolean {
    const isSmall = bytes > 0 && bytes <= smallBodyBytes;
    const isAlone = this.#heldBytes === 0 && this.#incomplete.size === 0;
    if (isSmall || isAlone) return true;
    if (this.#pressure?.isHighAfter(0) === true) return false;
    return this.#incomplete.size > 0 || this.#heldBytes + bytes <= this.#maxBytes;
  }

  /**
   * Checks that there is room for the buffers of a body. One alone always has it.
   *
   * @throws RouterError `overloaded` if the buffers of the process are too large
   */
  checkBuffers(bytes: number, ownBytes: number): void {
    if (this.#pressure?.isHighAfter(bytes) !== true) return;
    const isAlone = this.#heldBytes === ownBytes && this.#incomplete.size <= 1;
    if (!isAlone && ownBytes + bytes > smallBodyBytes) throw createOverloadedError();
  }

  /**
   * Makes room for more bytes.
   *
   * @throws RouterError `overloaded` if this many more bytes would exceed the limit
   */
  makeRoom(bytes: number, keep: HeldBytes): void {
    while (this.#heldBytes + bytes > this.#maxBytes) {
      const [oldest] = this.#incomplete.keys();
      if (oldest === undefined || oldest === keep) throw createOverloadedError();
      this.#giveWay(oldest);
    }
  }

  #setLast(held: HeldBytes, response: ClosableResponse): void {
    this.#responses.delete(held);
    this.#responses.set(held, response);
  }

  #closeResponse(held: HeldBytes): void {
    const response = this.#responses.get(held);
    held[Symbol.dispose]();
    response?.req.socket.destroy();
    this.#onResponseClosed();
  }

  #giveWay(held: HeldBytes): void {
    const onGiveWay = this.#incomplete.get(held);
    held[Symbol.dispose]();
    onGiveWay?.(createOverloadedError());
  }
}

/** The bytes that one HTTP exchange holds in a {@link BodyMemory}. */
export class HeldBytes implements Disposable {
  readonly #memory: BodyMemory;
  #bytes = 0;
  #responseBytes = 0;

  constructor(memory: BodyMemory) {
    this.#memory = memory;
  }

  /**
   * Counts part of a request body.
   *
   * @throws RouterError `overloaded` if it would exceed the limit
   */
  take(bytes: number): void {
    this.#memory.checkBuffers(bytes, this.#bytes);
    this.#memory.makeRoom(bytes, this);
    this.#add(bytes);
  }

  /** Counts what is in memory already. */
  #add(bytes: number): void {
    this.#bytes += bytes;
    this.#memory.count(bytes);
  }

  /** Counts part of a response body, which may be closed when others need the memory. */
  addResponse(bytes: number, response: ClosableResponse): void {
    this.#add(bytes);
    this.#responseBytes += bytes;
    this.#memory.addResponse(this, bytes, response);
  }

  /** Records that some of the response was read. */
  recordRead(): void {
    this.#memory.recordRead(this);
  }

  /** Lets the body give way to others until {@link endReading}. */
  beginReading(onGiveWay: (error: RouterError) => void): void {
    this.#memory.addIncomplete(this, onGiveWay);
  }

  /** Records that the body arrives in very small chunks. */
  recordFragmented(): void {
    this.#memory.addFragmented(this);
  }

  /** The body is complete, or is not read any more. */
  endReading(): void {
    this.#memory.removeIncomplete(this);
  }

  [Symbol.dispose](): void {
    this.endReading();
    this.#memory.removeResponse(this, this.#responseBytes);
    this.#memory.count(-this.#bytes);
    this.#bytes = 0;
    this.#responseBytes = 0;
  }
}

function createOverloadedError(): RouterError {
  return new RouterError(
    'overloaded',
    'the memory limit for request and response bodies is reached',
  );
}
