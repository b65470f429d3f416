/**
 * Types of the fault matrix: steps, faults and invariants.
 */

/** An external call of an actor; steps are numbered in the order of the calls. */
export interface Step {
  /** The caller: an instance or an operator. */
  readonly actor: string;
  /** The called operation, for example `store.write`. */
  readonly call: string;
}

/** Kinds of faults that can be injected at a step. */
export const faultKinds = [
  'crashBefore',
  'crashAfter',
  'answerLost',
  'silent',
  'slow',
  'pause',
  'storeDown',
  'partition',
  'upstreamsPause',
] as const;

/** One kind of fault. */
export type FaultKind = (typeof faultKinds)[number];

/** One fault at one step. */
export interface PlannedFault {
  /** Index of the step, from 0. */
  readonly step: number;
  readonly fault: FaultKind;
}

/** A violated invariant. */
export interface Violation {
  readonly invariant: InvariantName;
  readonly what: string;
}

/** The invariants that are checked after each run. */
export const invariantNames = [
  'overspend',
  'oneBillPerKey',
  'billIsWhole',
  'billBeforeFinalFrame',
  'wholeAnswer',
  'pauseEndsNothing',
  'runsAtMostOnce',
  'notRunIsTrue',
  'versionNeverFalls',
  'versionReachesAll',
  'noWorkAfterLeaving',
  'plannedStopCutsNothing',
  'topUpCountsOnce',
  'ordersNeverGoBack',
  'everyCallEnds',
] as const;

/** One of the invariants. */
export type InvariantName = (typeof invariantNames)[number];
