/**
 * Splits a byte stream into complete server-sent events.
 */
import { RouterError } from '@acaciacrank/base';
import { maxEventBytes } from '../limits/index.js';

/** One complete event, byte for byte as the upstream sent it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** The event's id; undefined if it has none. */
  readonly id: string | undefined;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/**
 * Buffers bytes until an event is complete.
 *
 * Guards against an upstream that fails in the middle of an event: the caller would otherwise
 * receive the first half of it, directly followed by the stream resumed at another upstream.
 */
export class EventBuffer {
  #pending: Buffer = Buffer.alloc(0);

  /** Whether the buffer contains an incomplete event. */
  get hasPartialEvent(): boolean {
    return this.#pending.byteLength > 0;
  }

  /**
   * Adds received bytes and returns the events that they complete.
   *
   * @param chunk - the received bytes
   * @returns the completed events, in order
   * @throws RouterError `upstreamFailed` if an event is too large
   */
  push(chunk: Buffer): StreamEvent[] {
    const bytes = this.#pending.byteLength === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
      const event = bytes.subarray(start, end);
      events.push({ bytes: event, id: parseEventId(event) });
      start = end;
    }
    this.#pending = bytes.subarray(start);
    if (this.#pending.byteLength > maxEventBytes) {
      throw new RouterError(
        'upstreamFailed',
        'the upstream sent an event that exceeds the size limit',
      );
    }
    return events;
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

function parseEventId(event: Buffer): string | undefined {
  const match = /^id: ?(.*?)\r?$/m.exec(event.toString('latin1'));
  return match?.[1];
}
