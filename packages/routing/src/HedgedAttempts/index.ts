/**
 * Attempts of one request that run beside each other (a hedged request) until one of them has given something.
 */

/** An attempt that may run beside others of the same request. */
export interface Contender<Result> {
  readonly ended: Promise<Result>;
  /** Aborts it, since another one has given something. */
  supersede(): void;
}

/** A contender with its result. */
export interface EndedContender<Kind, Result> {
  readonly contender: Kind;
  readonly result: Result;
}

/**
 * How much the result of an attempt says of the request; what has a higher rank is preferred. With `deadline`,
 * `callerGone` and `final` all others are aborted.
 */
export const resultRanks = {
  superseded: 0,
  notSent: 1,
  notRun: 2,
  failure: 3,
  deadline: 4,
  /** Something that counts if no other attempt brings anything. */
  held: 5,
  callerGone: 6,
  final: 7,
} as const;

const ranksThatEndAll: ReadonlySet<ResultRank> = new Set([
  resultRanks.deadline,
  resultRanks.callerGone,
  resultRanks.final,
]);

/** One of {@link resultRanks}. */
export type ResultRank = (typeof resultRanks)[keyof typeof resultRanks];

/** Options of {@link HedgedAttempts}. */
export interface HedgedAttemptsOptions<Kind, Result> {
  /** Called with the result of each contender, in order, before {@link HedgedAttempts.result} resolves. */
  onEnded: (ended: EndedContender<Kind, Result>) => void;
  /** Returns how much a result says of the request. */
  rankOf: (result: Result) => ResultRank;
  /** Returns the result of an attempt that threw. */
  toFailure: (thrown: unknown) => Result;
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
  #best: EndedContender<Kind, Result> | undefined;
  #wake: () => void = () => undefined;

  constructor(options: HedgedAttemptsOptions<Kind, Result>) {
    this.#options = options;
  }

  /** The contenders that have not ended. */
  get running(): ReadonlySet<Kind> {
    return this.#running;
  }

  /** Whether one has ended with something that counts if no other brings anything. */
  get hasHeld(): boolean {
    if (this.#best === undefined) return false;
    return this.#options.rankOf(this.#best.result) === resultRanks.held;
  }

  /** Adds a contender that has begun. */
  add(contender: Kind): void {
    this.#running.add(contender);
    const end = (result: Result) => {
      this.#ended.push({ contender, result });
      this.#wake();
    };
    contender.ended.then(end, (thrown: unknown) => {
      end(this.#options.toFailure(thrown));
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

  /**
   * Returns the contender that continued to the end, or if none did the failure that says most, once all have ended;
   * contenders can be added again then.
   */
  async result(): Promise<EndedContender<Kind, Result>> {
    this.#best = undefined;
    for (;;) {
      const ended = await this.#next();
      this.#best = this.#best === undefined ? ended : this.#preferOf(this.#best, ended);
      if (ranksThatEndAll.has(this.#options.rankOf(ended.result))) this.supersedeAll();
      this.#options.onEnded(ended);
      if (this.#running.size === 0) return this.#best;
    }
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
