/**
 * Attempts of one request that run beside each other (a hedged request) until one of them has given something.
 */
import type { AttemptResult } from '../AttemptResult/index.js';

/** An attempt that may run beside others of the same request. */
export interface Contender {
  /** Its result; never rejects. */
  readonly ended: Promise<AttemptResult>;
  /** Aborts it, since another one has given something. */
  supersede(): void;
}

/** A contender with its result. */
export interface EndedContender<Kind extends Contender> {
  readonly contender: Kind;
  readonly result: AttemptResult;
}

/** Responses with this status or above may be specific to one upstream. */
const firstServerError = 500;

/**
 * Keeps what lives until its replacement has given something.
 *
 * Guards against answers that are lost since an upstream was silent for a while: it is not given up for another one
 * that may be refused, fail or be silent as well.
 *
 * @example
 * const attempts = new HedgedAttempts(recordEnd);
 * attempts.add(first);
 * const { result } = await attempts.result();
 */
export class HedgedAttempts<Kind extends Contender> {
  readonly #running = new Set<Kind>();
  readonly #ended: EndedContender<Kind>[] = [];
  readonly #onEnded: (ended: EndedContender<Kind>) => void;
  #wake: () => void = () => undefined;

  /** @param onEnded - called with the result of each contender, in order, before {@link result} resolves */
  constructor(onEnded: (ended: EndedContender<Kind>) => void) {
    this.#onEnded = onEnded;
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

  /**
   * Returns the contender that went on to the end, or if none did the failure that says most, once all have ended;
   * contenders can be added again then.
   */
  async result(): Promise<EndedContender<Kind>> {
    let best: EndedContender<Kind> | undefined;
    do {
      const ended = await this.#next();
      best = best === undefined ? ended : preferOf(best, ended);
      if (isFinal(ended.result)) this.supersedeAll();
    } while (this.#running.size > 0);
    return best;
  }

  async #next(): Promise<EndedContender<Kind>> {
    for (;;) {
      const ended = this.#ended.shift();
      if (ended === undefined) {
        await new Promise<void>((resolve) => {
          this.#wake = resolve;
        });
        continue;
      }
      this.#running.delete(ended.contender);
      this.#onEnded(ended);
      return ended;
    }
  }
}

function preferOf<Kind extends Contender>(
  one: EndedContender<Kind>,
  other: EndedContender<Kind>,
): EndedContender<Kind> {
  return rankOf(other.result) >= rankOf(one.result) ? other : one;
}

function isFinal(result: AttemptResult): boolean {
  return rankOf(result) === ranks.final;
}

/** How much a result says of the request. */
const ranks = { superseded: 0, failure: 1, answer: 2, final: 3 } as const;

function rankOf(result: AttemptResult): number {
  switch (result.kind) {
    case 'superseded':
      return ranks.superseded;
    case 'answer':
      return result.status < firstServerError ? ranks.final : ranks.answer;
    case 'streamed':
    case 'relayed':
    case 'deadline':
    case 'callerGone':
      return ranks.final;
    default:
      return ranks.failure;
  }
}
