import type { InvariantName } from '../../types.js';
import { accounts } from '../buildSoakConfiguration/index.js';
import type { ObservedCall } from '../Observations/index.js';

/** Options of {@link ReachCheck}. */
export interface ReachCheckOptions {
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  readonly onViolation: (invariant: InvariantName, what: string) => void;
}

/** A time in which some instances reach no upstream. */
interface Cut {
  readonly instances: ReadonlySet<number>;
  readonly fromMs: number;
  readonly untilMs: number;
  /** Whether the others reach them, so that requests can be served. */
  readonly isPartial: boolean;
}

/** Time from which a cut instance has to serve as the others do, in milliseconds. */
const adaptMs = 3_000;
/** Least share of what the others serve that a cut instance serves, in the first seconds and afterwards. */
const minServedRatio = { early: 0.5, later: 0.95 } as const;
/** Time within which nearly all have their answer, and their share. */
const answers = { limitMs: 1_000, minShare: 0.95 } as const;
/** Time within which nearly all are refused if no instance reaches any upstream, in milliseconds. */
const refusalMs = 300;
/** Time that detection takes if all are cut off, in milliseconds. */
const detectMs = 1_500;
/** The account that has tokens for all that it requests; refusals of the others do not depend on a cut. */
const ampleAccount = accounts[0]?.name;
/** Number of calls from which shares are checked. */
const minCalls = 30;

/** Checks what instances that reach no upstream serve, against what the others serve at the same time. */
export class ReachCheck {
  readonly #options: ReachCheckOptions;
  readonly #cuts: Cut[] = [];

  constructor(options: ReachCheckOptions) {
    this.#options = options;
  }

  /** Records that instances reach no upstream from now on. */
  noteCut(instances: readonly number[], durationMs: number, instanceCount: number): void {
    const fromMs = this.#options.now();
    const isPartial = instances.length < instanceCount;
    this.#cuts.push({
      instances: new Set(instances),
      fromMs,
      untilMs: fromMs + durationMs,
      isPartial,
    });
  }

  /** Checks all cuts. */
  finish(calls: readonly ObservedCall[]): void {
    for (const cut of this.#cuts) {
      const during = calls.filter(
        ({ sentAtMs, account }) =>
          sentAtMs >= cut.fromMs && sentAtMs < cut.untilMs && account === ampleAccount,
      );
      if (cut.isPartial) this.#checkPartial(cut, during);
      else this.#checkTotal(cut, during);
    }
  }

  #checkPartial({ instances, fromMs }: Cut, during: readonly ObservedCall[]): void {
    const adaptedMs = fromMs + adaptMs;
    const early = during.filter(({ sentAtMs }) => sentAtMs < adaptedMs);
    const later = during.filter(({ sentAtMs }) => sentAtMs >= adaptedMs);
    this.#checkServed('first 3 s', early, instances, minServedRatio.early);
    this.#checkServed('time after 3 s', later, instances, minServedRatio.later);
    const there = later.filter(({ instance }) => instances.has(instance));
    const inTime = there.filter((call) => call.endedAtMs - call.sentAtMs <= answers.limitMs);
    if (there.length < minCalls || inTime.length >= answers.minShare * there.length) return;
    this.#report(`${inTime.length} of ${there.length} had an answer within a second`);
  }

  #checkServed(
    period: string,
    calls: readonly ObservedCall[],
    instances: ReadonlySet<number>,
    minRatio: number,
  ): void {
    const there = calls.filter(({ instance }) => instances.has(instance));
    const elsewhere = calls.filter(({ instance }) => !instances.has(instance));
    if (there.length < minCalls || elsewhere.length < minCalls) return;
    const served = servedShare(there);
    const servedElsewhere = servedShare(elsewhere);
    if (served >= minRatio * servedElsewhere) return;
    const shares = `${served.toFixed(3)} served there, ${servedElsewhere.toFixed(3)} elsewhere`;
    this.#report(`${shares}, in the ${period}`);
  }

  #checkTotal({ fromMs }: Cut, during: readonly ObservedCall[]): void {
    const later = during.filter(({ sentAtMs }) => sentAtMs >= fromMs + detectMs);
    const refused = later.filter(
      ({ outcome, sentAtMs, endedAtMs }) =>
        outcome === 'refused' && endedAtMs - sentAtMs <= refusalMs,
    );
    if (later.length < minCalls || refused.length >= answers.minShare * later.length) return;
    this.#report(`${refused.length} of ${later.length} were refused at once, with all cut off`);
  }

  #report(what: string): void {
    this.#options.onViolation('unreachedUpstreams', what);
  }
}

function servedShare(calls: readonly ObservedCall[]): number {
  return calls.filter(({ outcome }) => outcome === 'served').length / calls.length;
}
