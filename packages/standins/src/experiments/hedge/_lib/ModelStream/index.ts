import type { UpstreamId } from '@acaciacrank/base';

/** How a stream ended: all events came, the instance ended it, or its deadline passed. */
export type StreamEnd = 'whole' | 'cut' | 'late';

/** One stream, as its caller sees it. */
export class ModelStream {
  readonly beganMs: number;
  /** Upstreams that it was sent to. */
  readonly attempted = new Set<UpstreamId>();
  events = 0;
  end: StreamEnd | undefined;
  /** Whether it was at an upstream with the fault. */
  isAffected = false;
  #lastEventMs: number;
  #longestGapMs = 0;

  constructor(nowMs: number) {
    this.beganMs = nowMs;
    this.#lastEventMs = nowMs;
  }

  /** The longest time that its caller waited for an event that came, in milliseconds. */
  get longestGapMs(): number {
    return this.#longestGapMs;
  }

  /** Records that an event has reached the caller. */
  recordEvent(nowMs: number): void {
    this.events += 1;
    this.#longestGapMs = Math.max(this.#longestGapMs, nowMs - this.#lastEventMs);
    this.#lastEventMs = nowMs;
  }
}
