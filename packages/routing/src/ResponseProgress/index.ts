/** Why bytes that an upstream sends are taken for no answer. */
export type EndlessBytes =
  /** The head exceeds its size. */
  | 'headBytes'
  /** The head arrives in small parts over too long a time. */
  | 'slowHead'
  /** Too many interim responses (status 1xx) come before the head. */
  | 'interimResponses'
  /** The body's framing (chunk sizes, extensions, trailers) is much larger than what it frames. */
  | 'framingBytes'
  /** Tiny parts come again and again, and no event or body is complete. */
  | 'trickle';

/** Maximum size of a head, with the interim responses before it, in bytes. */
const maxHeadBytes = 32_768;
/** Maximum time in which bytes of a head arrive, in milliseconds. */
const maxHeadMs = 1_500;
/** Minimum number of reads of such a head: one that was interrupted once is complete with the next read. */
const minHeadReads = 3;
/** Maximum number of interim responses before a head. */
const maxInterimResponses = 32;
/** Maximum framing of a body with what is left of its head, in bytes, and in bytes for each byte of the body. */
const maxFramingBytes = 32_768;
const maxFramingRatio = 2;
/** Minimum time over which a trickle arrives, in milliseconds and in target latencies of the route. */
const minTrickle = { durationMs: 2_000, targetLatencies: 5 } as const;
/** Minimum number of reads of a trickle. */
const minTrickleReads = 32;
/** Number of reads from which a response that another one has outrun is held against its upstream as a trickle. */
const minTrickleSignReads = 8;
/** Mean size of the reads below which they are a trickle, in bytes: less than one packet of a slow link. */
const maxTrickleReadBytes = 512;
/** A longer interval between two reads counts as this long, in milliseconds: silence is no trickle. */
const maxIntervalMs = 1_000;

/** Options of {@link ResponseProgress}. */
export interface ResponseProgressOptions {
  /** The target latency of the route, in milliseconds. */
  readonly targetLatencyMs: number;
}

/**
 * Tells bytes without end from a response, by the bytes that are read and by what they complete.
 *
 * Decides only when bytes arrive: an upstream that is silent for a while is never taken for one that sends without
 * end. The size of bodies is not bounded here.
 *
 * @example
 * const progress = new ResponseProgress({ targetLatencyMs: 400 });
 * progress.recordRead(40_000, nowMs);
 * //=> 'headBytes'
 */
export class ResponseProgress {
  readonly #minTrickleMs: number;
  #hasHead = false;
  #isBounded = false;
  #interimResponses = 0;
  /** Bytes read from the connection, and those of them that are payload, since the head or the start. */
  #readBytes = 0;
  #payloadBytes = 0;
  /** Reads since the head or event was begun, their bytes, and the time over which they came. */
  #reads = 0;
  #recentBytes = 0;
  #activeMs = 0;
  #lastReadMs: number | undefined;

  constructor({ targetLatencyMs }: ResponseProgressOptions) {
    const { durationMs, targetLatencies } = minTrickle;
    this.#minTrickleMs = Math.max(durationMs, targetLatencies * targetLatencyMs);
  }

  /**
   * Records bytes that were read and parsed.
   *
   * @returns why they are no answer; undefined if they may be one
   */
  recordRead(bytes: number, nowMs: number): EndlessBytes | undefined {
    if (this.#lastReadMs !== undefined)
      this.#activeMs += Math.min(maxIntervalMs, nowMs - this.#lastReadMs);
    this.#lastReadMs = nowMs;
    this.#reads += 1;
    this.#readBytes += bytes;
    this.#recentBytes += bytes;
    return this.#hasHead ? this.#checkBody() : this.#checkHead();
  }

  /** Records an interim response; returns why it is one too many. */
  recordInterim(): EndlessBytes | undefined {
    this.#interimResponses += 1;
    this.#restart();
    return this.#interimResponses > maxInterimResponses ? 'interimResponses' : undefined;
  }

  /** @param isBounded - whether the head states the length of a body that is complete as a whole */
  recordHead({ isBounded }: { isBounded: boolean }): void {
    this.#hasHead = true;
    this.#isBounded = isBounded;
    this.#readBytes = 0;
    this.#restart();
  }

  /** Records bytes of the body. */
  recordPayload(bytes: number): void {
    this.#payloadBytes += bytes;
  }

  /** Records that an event is complete. */
  recordEvent(): void {
    this.#restart();
  }

  /** Whether tiny parts have arrived again and again since something was complete. */
  get isTrickling(): boolean {
    return this.#reads >= minTrickleSignReads && this.#areReadsTiny;
  }

  get #areReadsTiny(): boolean {
    return this.#recentBytes < this.#reads * maxTrickleReadBytes;
  }

  #restart(): void {
    this.#reads = 0;
    this.#recentBytes = 0;
    this.#activeMs = 0;
  }

  #checkHead(): EndlessBytes | undefined {
    if (this.#readBytes > maxHeadBytes) return 'headBytes';
    if (this.#activeMs >= maxHeadMs && this.#reads >= minHeadReads) return 'slowHead';
    return undefined;
  }

  #checkBody(): EndlessBytes | undefined {
    const framingBytes = this.#readBytes - this.#payloadBytes;
    if (framingBytes > maxFramingBytes + maxFramingRatio * this.#payloadBytes)
      return 'framingBytes';
    if (this.#isBounded || this.#activeMs < this.#minTrickleMs) return undefined;
    return this.#reads >= minTrickleReads && this.#areReadsTiny ? 'trickle' : undefined;
  }
}
