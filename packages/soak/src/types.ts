/**
 * What a soak run is asked for, and what it found.
 */

/** A promise of the system that the soak checks from what callers and upstreams see. */
export type PromiseName =
  | 'atMostOnce'
  | 'trueRefusal'
  | 'wholeAnswer'
  | 'prepaid'
  | 'retryBudget'
  | 'configuration'
  | 'leavingUpstream'
  | 'upstreamLimit'
  | 'plannedStop'
  | 'goneInstance'
  | 'liveInstance'
  | 'served';

/** One promise that did not hold. */
export interface Violation {
  readonly promise: PromiseName;
  /** When it was seen, in milliseconds from the start of the run. */
  readonly atMs: number;
  readonly what: string;
}

/** What the soak breaks on purpose, without telling its checks; only for tests of the checks. */
export type DeliberateBreak =
  | 'runTwice'
  | 'refuseAfterRun'
  | 'cutAnswer'
  | 'raiseLimit'
  | 'repeatArrivals'
  | 'holdConfiguration'
  | 'holdLeaving'
  | 'hideLimit'
  | 'killForStop'
  | 'nameGone'
  | 'hideLive'
  | 'refuseAll';

/** Kinds of faults. */
export type FaultKind =
  | 'kill'
  | 'pause'
  | 'powerOff'
  | 'stop'
  | 'reload'
  | 'storeAway'
  | 'storeSlow'
  | 'storeLosesAnswers'
  | 'storeTurnsAway'
  | 'storeForgets'
  | 'resetUpstream'
  | 'silenceUpstream'
  | 'delayUpstream'
  | 'cutUpstreamOneWay'
  | 'leaveUpstream'
  | 'limitUpstream'
  | 'changeConfiguration';

/** One fault of a plan. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** When it begins, in milliseconds from the start of the load. */
  readonly atMs: number;
  readonly forMs: number;
  /** Which instance or upstream; taken modulo how many there are. */
  readonly target: number;
}

/** Options of `runSoak`. */
export interface SoakOptions {
  readonly seed: number;
  /** How long load and faults last, in milliseconds. */
  readonly durationMs: number;
  readonly instances: number;
  /** Requests begun in a second, over all callers. */
  readonly requestsPerSecond: number;
  /** Where the processes' logs go. */
  readonly directory: string;
  /** In place of the faults that the seed draws. */
  readonly faults?: readonly PlannedFault[];
  readonly deliberateBreak?: DeliberateBreak;
}

/** What a run came to. */
export interface SoakReport {
  readonly seed: number;
  readonly durationMs: number;
  readonly requests: number;
  readonly served: number;
  readonly refused: number;
  readonly failed: number;
  readonly faults: Readonly<Record<string, number>>;
  readonly violations: readonly Violation[];
}
