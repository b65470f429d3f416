import { hashText } from '@acaciacrank/base';
import { cutOffInstances, instanceCount, type FaultCase } from '../cases/index.js';
import type { WorkloadRequest } from '../workload/index.js';

/** Number of instances that the directory returns for one account. */
const instancesPerAccount = 3;
/** Time until a lost instance is replaced, in milliseconds. */
export const replacementDelayMs = 5_000;

/** The instance that serves a request; the same for every policy. */
export interface Placement {
  /** Index of the instance in the fleet, from 0; a replacement takes over the index. */
  readonly slot: number;
  /** Side of the partition: 0 reaches the store, 1 does not. */
  readonly side: number;
  /** When the instance is lost while the request runs; undefined if it is not lost by then. */
  readonly lostAtMs: number | undefined;
}

/**
 * Selects the instance of a request: one of the account's preferred instances, or the next of these
 * while that one is being replaced.
 *
 * @param request - the request
 * @param faultCase - the injected faults
 *
 * @example
 * const { slot } = placeRequest(request, { name: 'calm' });
 */
export function placeRequest(request: WorkloadRequest, faultCase: FaultCase): Placement {
  const preferred = preferredSlotsOf(request.budget.accountId);
  const first = Math.floor(request.instanceDraw * preferred.length);
  const candidates = [...preferred.slice(first), ...preferred.slice(0, first)];
  const isUp = (slot: number) => !isBeingReplaced(slot, request.atMs, faultCase);
  const slot = candidates.find(isUp) ?? 0;
  const nextLostMs = nextLossTimeMs(slot, request.atMs, faultCase);
  const endMs = request.atMs + request.durationMs;
  return {
    slot,
    side: cutOffInstances.has(slot) ? 1 : 0,
    lostAtMs: nextLostMs !== undefined && nextLostMs < endMs ? nextLostMs : undefined,
  };
}

/** Times before `untilMs` at which an instance is lost; instances are lost in round-robin order. */
export function lossTimesMs(slot: number, untilMs: number, faultCase: FaultCase): number[] {
  const { lossIntervalMs } = faultCase;
  if (lossIntervalMs === undefined) return [];
  const times: number[] = [];
  for (
    let atMs = (slot + 1) * lossIntervalMs;
    atMs < untilMs;
    atMs += instanceCount * lossIntervalMs
  ) {
    times.push(atMs);
  }
  return times;
}

function isBeingReplaced(slot: number, atMs: number, faultCase: FaultCase): boolean {
  const times = lossTimesMs(slot, atMs + 1, faultCase);
  return times.some((lostMs) => atMs >= lostMs && atMs < lostMs + replacementDelayMs);
}

function nextLossTimeMs(slot: number, atMs: number, faultCase: FaultCase): number | undefined {
  const lossCycleMs = instanceCount * (faultCase.lossIntervalMs ?? 0);
  const times = lossTimesMs(slot, atMs + lossCycleMs + 1, faultCase);
  return times.find((lostMs) => lostMs > atMs);
}

/** The account's instances by rendezvous hashing, as in the directory. */
function preferredSlotsOf(accountId: string): number[] {
  const score = (slot: number) => hashText(`${accountId}\n${slot}`);
  return [...Array(instanceCount).keys()]
    .sort((a, b) => score(b) - score(a))
    .slice(0, instancesPerAccount);
}
