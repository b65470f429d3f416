import { bounds, toleranceMs } from '../InstanceProcess/index.js';
import type { InvariantName } from '../../types.js';
import type { ObservedCall } from '../Observations/index.js';

/** Options of {@link DeadlyPartCheck}. */
export interface DeadlyPartCheckOptions {
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  readonly onViolation: (invariant: InvariantName, what: string) => void;
}

/** What is observed of one part. */
interface PartRecord {
  readonly endsMs: number[];
  readonly untilMs: number;
}

/** Number of upstreams that one part may end, and of ends after which nothing with it may be sent. */
const limits = { ends: 8, known: 5 } as const;
/** Least share of the sound streams that is served then, and the number from which that is checked. */
const sound = { minServedShare: 0.95, minCount: 30 } as const;

/** Checks how many upstreams end under requests that share a part, and what becomes of sound ones beside them. */
export class DeadlyPartCheck {
  readonly #options: DeadlyPartCheckOptions;
  readonly #parts = new Map<string, PartRecord>();
  /** Times with faults of other kinds, in which sound requests may fail. */
  readonly #otherFaults: { readonly fromMs: number; readonly toMs: number }[] = [];

  constructor(options: DeadlyPartCheckOptions) {
    this.#options = options;
  }

  /** Records that requests with a part are sent for a time. */
  noteBegin(part: string, durationMs: number): void {
    this.#parts.set(part, { endsMs: [], untilMs: this.#options.now() + durationMs });
  }

  /** Records a fault of another kind. */
  noteOtherFault(durationMs: number): void {
    const fromMs = this.#options.now();
    this.#otherFaults.push({ fromMs, toMs: fromMs + durationMs + 2 * bounds.stableWindowMs });
  }

  /** Records that a request with a part has reached an upstream. */
  noteArrival(part: string): void {
    const fifthMs = this.#parts.get(part)?.endsMs[limits.known - 1] ?? Infinity;
    const lateMs = this.#options.now() - fifthMs - bounds.stableWindowMs;
    if (lateMs <= 0) return;
    const what = `${part} was sent to an upstream ${Math.round(lateMs)} ms later than a window after its fifth end`;
    this.#options.onViolation('deadlyPart', what);
  }

  /** Records that an upstream ends under a request with a part. */
  noteEnd(part: string): void {
    const endsMs = this.#parts.get(part)?.endsMs ?? [];
    endsMs.push(this.#options.now());
    if (endsMs.length !== limits.ends + 1) return;
    this.#options.onViolation('deadlyPart', `${part} has ended ${endsMs.length} upstreams`);
  }

  /** Checks the sound streams from two windows after the fifth end of a part on, or the last one. */
  finish(calls: readonly ObservedCall[]): void {
    for (const [part, { endsMs, untilMs }] of this.#parts) {
      const knownMs = endsMs[limits.known - 1] ?? endsMs.at(-1);
      if (knownMs === undefined) continue;
      const fromMs = knownMs + 2 * bounds.stableWindowMs;
      const beside = calls.filter(
        ({ path, outcome, sentAtMs, endedAtMs }) =>
          path === '/chat/' &&
          outcome !== 'spent' &&
          sentAtMs >= fromMs &&
          sentAtMs <= untilMs &&
          !this.#isDisturbed(sentAtMs, endedAtMs),
      );
      const served = beside.filter(({ outcome }) => outcome === 'served').length;
      if (beside.length < sound.minCount || served >= sound.minServedShare * beside.length)
        continue;
      const what = `${served} of ${beside.length} sound streams beside ${part} were served`;
      this.#options.onViolation('deadlyPart', what);
    }
  }

  #isDisturbed(sentMs: number, endedMs: number): boolean {
    return this.#otherFaults.some(
      ({ fromMs, toMs }) => fromMs <= endedMs && toMs + toleranceMs >= sentMs,
    );
  }
}
