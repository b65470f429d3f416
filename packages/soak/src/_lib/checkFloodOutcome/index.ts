import type { ExecutionContext } from 'ava';
import type { MachineLimits } from '../InstanceProcess/index.js';
import type { FloodOutcome } from '../playFlood/index.js';

/** Asserts that an instance has borne a flood within its machine, and has answered ordinary requests. */
export function checkFloodOutcome(
  t: ExecutionContext,
  outcome: FloodOutcome,
  machine: MachineLimits,
): void {
  t.log(outcome);
  t.is(outcome.exitCount, 0);
  t.true(outcome.peakMb <= machine.memoryMb, `${outcome.peakMb} MiB`);
  t.true(outcome.maxDescriptors <= machine.maxFds, `${outcome.maxDescriptors} descriptors`);
  t.is(outcome.statusBeside, 200);
  t.is(outcome.statusAfter, 200);
  t.is(outcome.statusOfLarge, 200);
}
