import type { Random } from '@acaciacrank/base';
import type { FaultKind, PlannedFault } from '../../types.js';

/** Mean time between two pauses of upstreams, and the range of their durations. */
const pauseTimesMs = { meanInterval: 10_000, min: 500, max: 2_500 } as const;

/** A fault that happens beside a pause of upstreams: how often, and the range of its duration. */
interface CompanionProfile {
  readonly kind: FaultKind;
  readonly share: number;
  readonly minDurationMs: number;
  readonly maxDurationMs: number;
}

const companionProfiles: readonly CompanionProfile[] = [
  { kind: 'changeConfiguration', share: 0.5, minDurationMs: 0, maxDurationMs: 0 },
  { kind: 'stop', share: 0.3, minDurationMs: 8_500, maxDurationMs: 8_500 },
  { kind: 'pause', share: 0.3, minDurationMs: 300, maxDurationMs: 2_000 },
];

/** How long before a pause of upstreams a companion begins at the earliest, in milliseconds. */
const companionLeadMs = 200;

/**
 * Generates the times at which upstreams are paused, and the faults beside them. They are drawn apart from the
 * other faults, so that a seed plans the same of those as before there were pauses.
 *
 * @param random - random numbers; the same sequence gives the same plan
 * @param runDurationMs - duration of the run
 *
 * @example
 * planPauses(createRandom(7), 60_000).length;
 */
export function planPauses(random: Random, runDurationMs: number): PlannedFault[] {
  const { meanInterval, min, max } = pauseTimesMs;
  const plan: PlannedFault[] = [];
  let atMs = meanInterval * 2 * random();
  while (atMs < runDurationMs) {
    const durationMs = Math.round(min + random() * (max - min));
    const target = Math.floor(random() * 1_000);
    plan.push({ kind: 'pauseUpstreams', atMs: Math.round(atMs), durationMs, target });
    plan.push(...planCompanions(random, atMs, durationMs));
    atMs += meanInterval * 2 * random();
  }
  return plan;
}

function planCompanions(random: Random, pauseAtMs: number, pauseMs: number): PlannedFault[] {
  return companionProfiles.flatMap(({ kind, share, minDurationMs, maxDurationMs }) => {
    const isDrawn = random() < share;
    const atMs = pauseAtMs - companionLeadMs + random() * (companionLeadMs + pauseMs);
    const durationMs = Math.round(minDurationMs + random() * (maxDurationMs - minDurationMs));
    const target = Math.floor(random() * 1_000);
    if (!isDrawn) return [];
    return [{ kind, atMs: Math.max(0, Math.round(atMs)), durationMs, target }];
  });
}
