/**
 * Attempts of one request that run beside each other (a hedged request) until one of them has given something.
 */
import { toRouterError } from '@acaciacrank/base';
import type { AttemptResult } from '../AttemptResult/index.js';

/** An attempt that may run beside others of the same request. */
export interface Contender {
  readonly ended: Promise<AttemptResult>;
  /** Aborts it, since another one has given something. */
  supersede(): void;
}

/** A contender with its result. */
export interface EndedContender<Kind extends Contender> {
  readonly contender: Kind;
  readonly result: AttemptResult;
}

/** Options of {@link HedgedAttempts}. */
export interface HedgedAttemptsOptions<Kind extends Contender> {
  /** Called with the result of each contender, in order, before {@link HedgedAttempts.result} resolves. */
  readonly onEnded: (ended: EndedContender<Kind>) => void;
  /** Whether events of a stream have been passed on, so that nothing but further events is of use. */
  readonly hasBegun: () => boolean;
}

/** Responses with this status or above may be specific to one upstream. */
const firstServerError = 500;

/** How much a result says of the request; what has a higher rank is preferred. */
const ranks = {
  superseded: 0,
  notSent: 1,
  notRun: 2,
  broken: 3,
  deadline: 4,
  /** Something that counts if no other contender brings anything. */
  held: 5,
  callerGone: 6,
  final: 7,
} as const;

/**
 * Keeps what lives until its replacement has given something.
 *
 * Guards against answers that are lost since an upstream was silent for a while: it is not given up for another one
 * that may be refused, fail or be silent as well.
 *
 * @example
 * const attempts = new HedgedAttempts({ onEnded, hasBegun });
 * attempts.add(first);
 * const { result } = await attempts.result();
 */
export class HedgedAttempts<Kind extends Contender> {
  readonly #running = new Set<Kind>();
  readonly #ended: EndedContender<Kind>[] = [];
  readonly #options: HedgedAttemptsOptions<Kind>;
  #best: EndedContender<Kind> | undefined;
  #wake: () => void = () => undefined;

  constructor(options: HedgedAttemptsOptions<Kind>) {
    this.#options = options;
  }

  /** The contenders that have not ended. */
  get running(): ReadonlySet<Kind> {
    return this.#running;
  }

  /** Whether one has ended with something that counts if no other brings anything. */
  get hasHeld(): boolean {
    return this.#best !== undefined && this.#rankOf(this.#best.result) === ranks.held;
  }

  /** Adds a contender that has begun. */
  add(contender: Kind): void {
    this.#running.add(contender);
    const end = (result: AttemptResult) => {
      this.#ended.push({ contender, result });
      this.#wake();
    };
    contender.ended.then(end, (thrown: unknown) => {
      const reason = toRouterError(thrown).message;
      end({ kind: 'broken', reason, isConnectionLost: false });
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
    this.#best = undefined;
    for (;;) {
      const ended = await this.#next();
      this.#best = this.#best === undefined ? ended : this.#preferOf(this.#best, ended);
      if (this.#endsAll(ended.result)) this.supersedeAll();
      this.#options.onEnded(ended);
      if (this.#running.size === 0) return this.#best;
    }
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
      return ended;
    }
  }

  #preferOf(one: EndedContender<Kind>, other: EndedContender<Kind>): EndedContender<Kind> {
    return this.#rankOf(other.result) >= this.#rankOf(one.result) ? other : one;
  }

  #endsAll(result: AttemptResult): boolean {
    const rank = this.#rankOf(result);
    return rank === ranks.final || rank === ranks.deadline || rank === ranks.callerGone;
  }

  #rankOf(result: AttemptResult): number {
    const hasBegun = this.#options.hasBegun();
    switch (result.kind) {
      case 'answer':
        if (hasBegun) return ranks.broken;
        return result.status < firstServerError ? ranks.final : ranks.held;
      case 'streamed':
        return hasBegun && result.isEmpty ? ranks.held : ranks.final;
      case 'relayed':
        return ranks.final;
      default:
        return ranks[result.kind];
    }
  }
}
