/**
 * Relays a stream of events from an upstream to the caller.
 */
import { RouterError } from '@acaciacrank/base';
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

  /**
   * Ends the stream.
   *
   * @returns why it has been broken off; undefined if it is whole, as far as the upstream's response shows
   */
  finish(): string | undefined {
    if (this.#buffer.hasPartialEvent) return 'the stream ended in the middle of an event';
    if (!this.#options.head.isFramed && this.#isBareStart)
      return 'the stream ended with its connection before its first event';
    this.#ensureHead();
    return undefined;
  }

  /** Whether nothing of the whole stream has arrived, from this upstream or another one before. */
  get #isBareStart(): boolean {
    const { progress, head } = this.#options.call;
    return progress.events === 0 && head.resumeAfter === undefined;
  }

  #ensureHead(): void {
    const { call, head, callerHeaders } = this.#options;
    if (call.response.headersSent) return;
    call.writer.begin(head.status, callerHeaders());
  }
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
