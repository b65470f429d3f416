/** Room of an upstream that falls over when it has to refuse too many requests. */
export interface BrittleRoomOptions {
  /** Number of requests that it runs at the same time. */
  readonly slots: number;
  /** Number of requests that wait for a slot at most, before and after it says that it is brittle for a while. */
  readonly queue: { readonly before: number; readonly after: number };
  /** Number of requests that it may refuse within a second. */
  readonly maxRefusalsPerS: number;
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
}

/** Time after which fewer requests may wait, in milliseconds. */
const shrinkAfterMs = 3_000;

/** Counts what an upstream runs, lets wait and refuses. */
export class BrittleRoom {
  readonly options: BrittleRoomOptions;
  readonly #sinceMs: number;
  readonly #waiting: (() => void)[] = [];
  #running = 0;
  #refusedMs: number[] = [];

  constructor(options: BrittleRoomOptions) {
    this.options = options;
    this.#sinceMs = options.now();
  }

  /** `RUNNING,WAITING,SLOTS`, as it reports its load. */
  get load(): string {
    return `${this.#running},${this.#waiting.length},${this.options.slots}`;
  }

  /** Takes a request in if there is room for it; resolves when it may run. */
  enter(): Promise<void> | undefined {
    const { slots, queue, now } = this.options;
    if (this.#running < slots) {
      this.#running += 1;
      return Promise.resolve();
    }
    const hasShrunk = now() - this.#sinceMs >= shrinkAfterMs;
    if (this.#waiting.length >= (hasShrunk ? queue.after : queue.before)) return undefined;
    return new Promise((resolve) => {
      this.#waiting.push(resolve);
    });
  }

  /** Ends a request that ran. */
  leave(): void {
    const next = this.#waiting.shift();
    if (next === undefined) this.#running -= 1;
    else next();
  }

  /** Counts a refusal; returns whether it falls over. */
  refuse(): boolean {
    const nowMs = this.options.now();
    this.#refusedMs = this.#refusedMs.filter((atMs) => nowMs - atMs < 1_000);
    this.#refusedMs.push(nowMs);
    return this.#refusedMs.length > this.options.maxRefusalsPerS;
  }
}
