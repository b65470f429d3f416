/**
 * Splits a byte stream into complete server-sent events.
 */
import { maxEventBytes } from '../limits/index.js';
import { NoAnswerError } from '../NoAnswerError/index.js';

/** Complete events that follow each other. */
export interface CompleteEvents {
  /** The events, byte for byte as the upstream sent them. */
  readonly bytes: Buffer;
  /** The id of each event; undefined if it has none. */
  readonly ids: readonly (string | undefined)[];
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const space = 0x20;
/** Size of the longest end of an event: a line feed, a carriage return and a line feed. */
const maxEventEndBytes = 3;
const idField = Buffer.from('id:', 'latin1');

/**
 * Buffers bytes until an event is complete.
 *
 * Guards against an upstream that fails in the middle of an event: the caller would otherwise
 * receive the first half of it, directly followed by the stream resumed at another upstream.
 */
export class EventBuffer {
  /** The incomplete event, at the start of a buffer with room for more. */
  #buffer: Buffer = Buffer.alloc(0);
  #pendingBytes = 0;

  /** Whether the buffer contains an incomplete event. */
  get hasPartialEvent(): boolean {
    return this.#pendingBytes > 0;
  }

  /** Memory held for the incomplete event, in bytes. */
  get heldBytes(): number {
    return this.#buffer.byteLength;
  }

  /**
   * Adds received bytes and returns the events that they complete.
   *
   * @param chunk - the received bytes
   * @returns the completed events, in order; undefined if there are none
   * @throws NoAnswerError if an event is too large
   */
  push(chunk: Buffer): CompleteEvents | undefined {
    // What was searched before contains no end, but may contain the start of one.
    let searchFrom = Math.max(0, this.#pendingBytes - maxEventEndBytes + 1);
    const isContinued = this.#pendingBytes > 0;
    const bytes = isContinued ? this.#append(chunk) : chunk;
    const ids: (string | undefined)[] = [];
    let start = 0;
    for (let end = findEventEnd(bytes, searchFrom); end > 0; end = findEventEnd(bytes, start)) {
      ids.push(parseEventId(bytes, start, end));
      start = end;
      searchFrom = end;
    }
    this.#pendingBytes = bytes.byteLength - start;
    // Events that are returned share this memory; it is never written to again.
    if (start > 0 || !isContinued) this.#buffer = bytes.subarray(start);
    if (this.#pendingBytes > maxEventBytes) throw new NoAnswerError('eventBytes');
    return start === 0 ? undefined : { bytes: bytes.subarray(0, start), ids };
  }

  /** Returns the incomplete event with the chunk behind it. */
  #append(chunk: Buffer): Buffer {
    const size = this.#pendingBytes + chunk.byteLength;
    if (size > this.#buffer.byteLength) this.#grow(size);
    chunk.copy(this.#buffer, this.#pendingBytes);
    return this.#buffer.subarray(0, size);
  }

  /** Grows the buffer by half: copying it for each chunk would take time by the square of the event's size. */
  #grow(size: number): void {
    const larger = Buffer.allocUnsafeSlow(Math.ceil(1.5 * size));
    this.#buffer.copy(larger, 0, 0, this.#pendingBytes);
    this.#buffer = larger;
  }
}

/**
 * Returns the end of the first event after `start`, including its empty line; -1 if it is
 * incomplete.
 */
function findEventEnd(bytes: Buffer, start: number): number {
  let lineEnd = bytes.indexOf(lineFeed, start);
  while (lineEnd >= 0) {
    const next = lineEnd + 1;
    if (bytes[next] === lineFeed) return next + 1;
    if (bytes[next] === carriageReturn && bytes[next + 1] === lineFeed) return next + 2;
    lineEnd = bytes.indexOf(lineFeed, next);
  }
  return -1;
}

/** Returns the value of the first `id` field of the event between `start` and `end`. */
function parseEventId(bytes: Buffer, start: number, end: number): string | undefined {
  for (let at = start; at < end; at = bytes.indexOf(lineFeed, at) + 1) {
    if (!isIdField(bytes, at)) continue;
    const valueAt = at + idField.byteLength;
    const lineEnd = bytes.indexOf(lineFeed, valueAt);
    const from = bytes[valueAt] === space ? valueAt + 1 : valueAt;
    const to = bytes[lineEnd - 1] === carriageReturn ? lineEnd - 1 : lineEnd;
    return bytes.toString('latin1', from, to);
  }
  return undefined;
}

function isIdField(bytes: Buffer, at: number): boolean {
  return idField.every((byte, index) => bytes[at + index] === byte);
}
