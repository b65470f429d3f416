/**
 * Fault cases of the grants experiment.
 */
import { millisecondsInMinute } from '@acaciacrank/base';

/** Arrival period of the requests of one run, in milliseconds of virtual time. */
export const runMs = 15 * millisecondsInMinute;
/** Number of router instances. */
export const instanceCount = 5;
/** Indexes of the instances that a partition cuts off from the store and from the other instances. */
export const cutOffInstances: ReadonlySet<number> = new Set([3, 4]);
/** Size of the top-up in the top-up case, as a fraction of the budget's opening tokens. */
export const topUpShare = 0.3;

/** A half-open interval of virtual time, in milliseconds from the start. */
export interface Span {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** The faults that are injected in one run. */
export interface FaultCase {
  readonly name: string;
  /** While the cut-off instances reach neither the store nor the other instances. */
  readonly partition?: Span;
  /** While no instance reaches the store; instances still reach each other. */
  readonly outage?: Span;
  /** Time at which every budget is topped up in the store. */
  readonly topUpAtMs?: number;
  /** Time between two instance losses; a replacement starts with no state. */
  readonly lossIntervalMs?: number;
}

const partition = { fromMs: 0.2 * runMs, untilMs: 0.6 * runMs };

/** The fault cases for which the users have set a target. */
export const faultCases: readonly FaultCase[] = [
  { name: 'calm' },
  { name: 'longPartition', partition },
  { name: 'oneSidedTopUp', partition, topUpAtMs: 0.4 * runMs },
  { name: 'instanceLostEveryMinute', lossIntervalMs: millisecondsInMinute },
  { name: 'storeOutage', outage: { fromMs: 0.3 * runMs, untilMs: 0.5 * runMs } },
];

/** Whether a time lies in a span; false when there is no span. */
export function isWithinSpan(span: Span | undefined, atMs: number): boolean {
  return span !== undefined && atMs >= span.fromMs && atMs < span.untilMs;
}
