import type { Random } from '@acaciacrank/base';
import type { FaultKind, PlannedFault } from '../../types.js';

/** A fault's kind, how often it is drawn against the others, and how long it lasts, in milliseconds. */
interface FaultShape {
  readonly kind: FaultKind;
  readonly weight: number;
  readonly leastMs: number;
  readonly mostMs: number;
}

const shapes: readonly FaultShape[] = [
  { kind: 'kill', weight: 3, leastMs: 0, mostMs: 0 },
  { kind: 'pause', weight: 2, leastMs: 300, mostMs: 3_000 },
  { kind: 'powerOff', weight: 2, leastMs: 8_000, mostMs: 14_000 },
  { kind: 'stop', weight: 3, leastMs: 8_500, mostMs: 8_500 },
  { kind: 'reload', weight: 1, leastMs: 0, mostMs: 0 },
  { kind: 'storeAway', weight: 2, leastMs: 500, mostMs: 6_000 },
  { kind: 'storeSlow', weight: 2, leastMs: 1_000, mostMs: 4_000 },
  { kind: 'storeLosesAnswers', weight: 2, leastMs: 1_000, mostMs: 5_000 },
  { kind: 'storeTurnsAway', weight: 2, leastMs: 500, mostMs: 6_000 },
  { kind: 'storeTurnsAway', weight: 1, leastMs: 14_000, mostMs: 20_000 },
  { kind: 'storeForgets', weight: 1, leastMs: 500, mostMs: 1_000 },
  { kind: 'resetUpstream', weight: 3, leastMs: 0, mostMs: 0 },
  { kind: 'silenceUpstream', weight: 2, leastMs: 0, mostMs: 0 },
  { kind: 'delayUpstream', weight: 1, leastMs: 500, mostMs: 3_000 },
  { kind: 'cutUpstreamOneWay', weight: 2, leastMs: 300, mostMs: 2_000 },
  { kind: 'leaveUpstream', weight: 3, leastMs: 6_000, mostMs: 6_000 },
  { kind: 'limitUpstream', weight: 5, leastMs: 5_000, mostMs: 15_000 },
  { kind: 'changeConfiguration', weight: 5, leastMs: 0, mostMs: 0 },
];

/** The mean time between two series of faults, and within one series, in milliseconds. */
const pauses = { between: 6_000, within: 400 } as const;
/** How many faults a series has at most. */
const longestSeries = 4;

/**
 * Draws the faults of a run: in series that overlap, with calm times between them.
 *
 * @param random - decides; the same source gives the same plan
 * @param durationMs - how long the run lasts
 *
 * @example
 * planFaults(createRandom(7), 60_000).length;
 */
export function planFaults(random: Random, durationMs: number): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let atMs = pauses.between * random();
  while (atMs < durationMs) {
    const length = 1 + Math.floor(random() * longestSeries);
    for (let step = 0; step < length && atMs < durationMs; step += 1) {
      const { kind, leastMs, mostMs } = draw(random);
      const forMs = Math.round(leastMs + random() * (mostMs - leastMs));
      plan.push({ kind, atMs: Math.round(atMs), forMs, target: Math.floor(random() * 1_000) });
      atMs += 2 * random() * pauses.within;
    }
    atMs += 2 * random() * pauses.between;
  }
  return plan;
}

function draw(random: Random): FaultShape {
  let at = random() * shapes.reduce((sum, { weight }) => sum + weight, 0);
  for (const shape of shapes) {
    at -= shape.weight;
    if (at < 0) return shape;
  }
  return shapes[0] as FaultShape;
}
