/**
 * The decisions about one request, gathered for its one log line.
 */
import type { Clock } from '@acaciacrank/base';

/** One decision: what was decided, by what, and how old the inputs were. */
export type StoryStep = Readonly<Record<string, string | number | boolean | undefined>>;

/** The most steps that one line tells; a request has few attempts. */
const maxSteps = 12;

/** Gathers decisions in order, each with the time since the request came. */
export class RequestStory {
  readonly receivedMs: number;
  readonly steps: StoryStep[] = [];
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.receivedMs = clock.monotonicMs();
  }

  /** Milliseconds since the request came. */
  get elapsedMs(): number {
    return Math.round(this.#clock.monotonicMs() - this.receivedMs);
  }

  /** Adds a decision. */
  add(did: string, inputs: StoryStep = {}): void {
    if (this.steps.length < maxSteps) this.steps.push({ did, atMs: this.elapsedMs, ...inputs });
  }
}
