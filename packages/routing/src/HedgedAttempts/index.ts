/**
 * Attempts of one request that run beside each other (a hedged request) until one of them has given something.
 */

/** An attempt that may run beside others of the same request. */
export interface Contender<Result> {
  /** Its result; never rejects. */
  readonly ended: Promise<Result>;
  /** Aborts it, since another one has given something. */
  supersede(): void;
}

/** A contender with its result. */
export interface EndedContender<Kind, Result> {
  readonly contender: Kind;
  readonly result: Result;
}

/** How much the result of an attempt says of the request; with `final` all others are aborted. */
export const resultRanks = { superseded: 0, failure: 1, answer: 2, final: 3 } as const;

/** One of {@link resultRanks}. */
export type ResultRank = (typeof resultRanks)[keyof typeof resultRanks];

/** Options of {@link HedgedAttempts}. */
export interface HedgedAttemptsOptions<Kind, Result> {
  /** Called with the result of each contender, in order, before {@link HedgedAttempts.result} resolves. */
  onEnded: (ended: EndedContender<Kind, Result>) => void;
  /** Returns how much a result says of the request. */
  rankOf: (result: Result) => ResultRank;
}

/**
 * Keeps what lives until its replacement has given something.
 *
 * Guards against answers that are lost since an upstream was silent for a while: it is not given up for another one
 * that may be refused, fail or be silent as well.
 *
 * @example
 * const attempts = new HedgedAttempts({ onEnded: recordEnd, rankOf });
 * attempts.add(first);
 * const { result } = await attempts.result();
 */
export class HedgedAttempts<Kind extends Contender<Result>, Result> {
  readonly #running = new Set<Kind>();
  readonly #ended: EndedContender<Kind, Result>[] = [];
  readonly #options: HedgedAttemptsOptions<Kind, Result>;
  #wake: () => void = () => undefined;

  constructor(options: HedgedAttemptsOptions<Kind, Result>) {
    this.#options = options;
  }

  /** The contenders that have not ended. */
  get running(): ReadonlySet<Kind> {
    return this.#running;
  }

  /** Adds a contender that has begun. */
  add(contender: Kind): void {
    this.#running.add(contender);
    void contender.ended.then((result) => {
      this.#ended.push({ contender, result });
      this.#wake();
    });
  }

  /** Records that a contender gives something that goes to the caller: all others are aborted. */
  recordProgress(contender: Kind): void {
    if (this.#running.size < 2) return;
    for (const other of this.#running) if (other !== contender) other.supersede();
  }

  /** Aborts all contenders. */
  supersedeAll(): void {
    for (const contender of this.#running) contender.supersede();
  }

  /** Returns the contender that went on to the end, or if none did the failure that says most, once all have ended. */
  async result(): Promise<EndedContender<Kind, Result>> {
    let best: EndedContender<Kind, Result> | undefined;
    do {
      const ended = await this.#next();
      best = best === undefined ? ended : this.#preferOf(best, ended);
      if (this.#options.rankOf(ended.result) === resultRanks.final) this.supersedeAll();
    } while (this.#running.size > 0);
    return best;
  }

  async #next(): Promise<EndedContender<Kind, Result>> {
    for (;;) {
      const ended = this.#ended.shift();
      if (ended === undefined) {
        await new Promise<void>((resolve) => {
          this.#wake = resolve;
        });
        continue;
      }
      this.#running.delete(ended.contender);
      this.#options.onEnded(ended);
      return ended;
    }
  }

  #preferOf(
    one: EndedContender<Kind, Result>,
    other: EndedContender<Kind, Result>,
  ): EndedContender<Kind, Result> {
    const { rankOf } = this.#options;
    return rankOf(other.result) >= rankOf(one.result) ? other : one;
  }
}
