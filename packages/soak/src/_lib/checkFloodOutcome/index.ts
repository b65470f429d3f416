import type { ExecutionContext } from 'ava';
import type { MachineLimits } from '../InstanceProcess/index.js';
import type { FloodOutcome } from '../playFlood/index.js';

/** Statuses of an answer, and of a refusal for want of room. */
const answered = [200];
const answeredOrRefused = [200, 429, 503];

/** Options of {@link checkFloodOutcome}. */
export interface FloodCheckOptions {
  /** Whether each request of the crowd is within all limits, so that an ordinary one beside it may be refused. */
  readonly isCrowdOrdinary?: boolean;
}

/** Asserts that an instance has borne a flood within its machine, and has answered ordinary requests. */
export function checkFloodOutcome(
  t: ExecutionContext,
  outcome: FloodOutcome,
  machine: MachineLimits,
  { isCrowdOrdinary = false }: FloodCheckOptions = {},
): void {
  t.log(outcome);
  t.is(outcome.exitCount, 0);
  t.true(outcome.peakMb <= machine.memoryMb, `${outcome.peakMb} MiB`);
  t.true(outcome.maxDescriptors <= machine.maxFds, `${outcome.maxDescriptors} descriptors`);
  const allowed = isCrowdOrdinary ? answeredOrRefused : answered;
  t.true(allowed.includes(outcome.statusBeside ?? 0), `${outcome.statusBeside}`);
  t.is(outcome.statusAfter, 200);
  t.is(outcome.statusOfLarge, 200);
}
