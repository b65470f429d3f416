/**
 * Relays a stream of events from an upstream to the caller.
 */
import { RouterError } from '@acaciacrank/base';
import type { ServerResponse } from 'node:http';
import { EventBuffer } from '../EventBuffer/index.js';
import type { UpstreamResponseHead } from '../Exchange/index.js';
import type { ForwardCall } from '../ForwardCall/index.js';

/** Options of {@link StreamRelay}. */
export interface StreamRelayOptions {
  call: ForwardCall;
  /** The head of the upstream's response. */
  head: UpstreamResponseHead;
  /** Creates the headers of the response to the caller. */
  callerHeaders: () => string[];
  /** Whether a peer relays the stream, which debits the events. */
  isRelayed: boolean;
  /** Called before the first events of this part of the stream are passed on. */
  onBegin: () => void;
  /** Called each time that events are complete, before they are passed on. */
  onEvents: () => void;
}

/** Relays complete events as they arrive; an incomplete one waits for its rest. */
export class StreamRelay {
  readonly #options: StreamRelayOptions;
  readonly #buffer = new EventBuffer();
  #hasBegun = false;

  constructor(options: StreamRelayOptions) {
    this.#options = options;
  }

  /**
   * Relays the events that a part of the body completes.
   *
   * @returns undefined if the caller takes more at once, otherwise a promise to wait for
   * @throws RouterError `upstreamFailed` if an event is missing, duplicated or too large
   */
  relay(chunk: Buffer): Promise<void> | undefined {
    const events = this.#buffer.push(chunk);
    if (events === undefined) return undefined;
    const { progress, writer } = this.#options.call;
    const lastEventId = checkSequence(progress.lastEventId, events.ids);
    this.#options.onEvents();
    if (!this.#hasBegun) this.#options.onBegin();
    this.#hasBegun = true;
    progress.lastEventId = lastEventId;
    progress.events += events.ids.length;
    if (this.#options.isRelayed) progress.peerEvents += events.ids.length;
    this.#ensureHead();
    return writer.writeNow(events.bytes);
  }

  /** Whether it has relayed no event. */
  get isEmpty(): boolean {
    return !this.#hasBegun;
  }

  /** Memory held for the event that is not complete, in bytes. */
  get heldBytes(): number {
    return this.#buffer.heldBytes;
  }

  /** Ends the stream; returns whether its last event is complete. */
  finish(): boolean {
    if (this.#buffer.hasPartialEvent) return false;
    this.#ensureHead();
    return true;
  }

  #ensureHead(): void {
    const { call, head, callerHeaders } = this.#options;
    const { response } = call;
    if (response.headersSent) return;
    if (!head.isFramed) delimitByConnectionClose(response);
    response.writeHead(head.status, callerHeaders());
  }
}

/**
 * Ends the response to the caller by closing the connection, as the upstream did.
 *
 * Guards against an upstream that crashes while sending a response without a length: the operating
 * system closes its connection in an orderly way, so that the truncated response looks complete.
 * With a content length or chunked encoding this instance would confirm that it is complete. With a
 * close-delimited response the caller knows exactly as much as it would from the upstream itself.
 */
export function delimitByConnectionClose(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  response.useChunkedEncodingByDefault = false;
}

/**
 * Checks that events follow each other, and the last one before them.
 *
 * @returns the id of the last one
 * @throws RouterError `upstreamFailed` if one is missing or duplicated
 */
function checkSequence(
  last: string | undefined,
  ids: readonly (string | undefined)[],
): string | undefined {
  let lastEventId = last;
  for (const id of ids) {
    if (!isNextEvent(lastEventId, id))
      throw new RouterError('upstreamFailed', 'an event is missing or duplicated');
    lastEventId = id ?? lastEventId;
  }
  return lastEventId;
}

/** Whether an event may follow another one: numeric ids must be consecutive. */
function isNextEvent(last: string | undefined, next: string | undefined): boolean {
  if (last === undefined || next === undefined) return true;
  const lastNumber = Number(last);
  const nextNumber = Number(next);
  if (!Number.isSafeInteger(lastNumber) || !Number.isSafeInteger(nextNumber)) return true;
  return nextNumber === lastNumber + 1;
}
