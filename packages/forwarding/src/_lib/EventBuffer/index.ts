/**
 * Cuts a stream of bytes into whole events.
 */
import { RouterError } from '@acaciacrank/base';
import { maxEventBytes } from '../limits/index.js';

/** One whole event, as the upstream wrote it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** The event's id, where it has one. */
  readonly id: string | undefined;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/**
 * Holds bytes back until their event is whole.
 *
 * Guards against an upstream that breaks off in the middle of an event: the caller would otherwise
 * get half an event, and the stream that goes on elsewhere would be joined to it.
 */
export class EventBuffer {
  #held: Buffer = Buffer.alloc(0);

  /** Whether part of an event is held. */
  get isPartial(): boolean {
    return this.#held.byteLength > 0;
  }

  /**
   * Takes bytes in and gives whole events out.
   *
   * @param chunk - what came
   * @returns the events that are whole now, in order
   * @throws RouterError `upstreamFailed` for an event that is too large
   */
  push(chunk: Buffer): StreamEvent[] {
    const bytes = this.#held.byteLength === 0 ? chunk : Buffer.concat([this.#held, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = endOfEvent(bytes, start); end > 0; end = endOfEvent(bytes, start)) {
      const event = bytes.subarray(start, end);
      events.push({ bytes: event, id: idOf(event) });
      start = end;
    }
    this.#held = bytes.subarray(start);
    if (this.#held.byteLength > maxEventBytes) {
      throw new RouterError('upstreamFailed', 'the upstream sent an event without an end');
    }
    return events;
  }
}

/** Where the first event from `start` on ends, after its empty line; -1 while it is not whole. */
function endOfEvent(bytes: Buffer, start: number): number {
  let lineEnd = bytes.indexOf(lineFeed, start);
  while (lineEnd >= 0) {
    const next = lineEnd + 1;
    if (bytes[next] === lineFeed) return next + 1;
    if (bytes[next] === carriageReturn && bytes[next + 1] === lineFeed) return next + 2;
    lineEnd = bytes.indexOf(lineFeed, next);
  }
  return -1;
}

function idOf(event: Buffer): string | undefined {
  const match = /^id: ?(.*?)\r?$/m.exec(event.toString('latin1'));
  return match?.[1];
}
