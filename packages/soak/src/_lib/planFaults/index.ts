import type { Random } from '@acaciacrank/base';
import type { FaultKind, PlannedFault } from '../../types.js';

/** Kind of a fault, its weight in the random choice, and the range of its duration. */
interface FaultProfile {
  readonly kind: FaultKind;
  readonly weight: number;
  readonly minDurationMs: number;
  readonly maxDurationMs: number;
}

const faultProfiles: readonly FaultProfile[] = [
  { kind: 'kill', weight: 3, minDurationMs: 0, maxDurationMs: 0 },
  { kind: 'pause', weight: 2, minDurationMs: 300, maxDurationMs: 3_000 },
  { kind: 'powerOff', weight: 2, minDurationMs: 8_000, maxDurationMs: 14_000 },
  { kind: 'stop', weight: 3, minDurationMs: 8_500, maxDurationMs: 8_500 },
  { kind: 'reload', weight: 1, minDurationMs: 0, maxDurationMs: 0 },
  { kind: 'storeAway', weight: 2, minDurationMs: 500, maxDurationMs: 6_000 },
  { kind: 'storeSlow', weight: 2, minDurationMs: 1_000, maxDurationMs: 4_000 },
  { kind: 'storeLosesAnswers', weight: 2, minDurationMs: 1_000, maxDurationMs: 5_000 },
  { kind: 'storeTurnsAway', weight: 2, minDurationMs: 500, maxDurationMs: 6_000 },
  { kind: 'storeTurnsAway', weight: 1, minDurationMs: 14_000, maxDurationMs: 20_000 },
  { kind: 'storeForgets', weight: 1, minDurationMs: 500, maxDurationMs: 1_000 },
  { kind: 'resetUpstream', weight: 3, minDurationMs: 0, maxDurationMs: 0 },
  { kind: 'silenceUpstream', weight: 2, minDurationMs: 0, maxDurationMs: 0 },
  { kind: 'delayUpstream', weight: 1, minDurationMs: 500, maxDurationMs: 3_000 },
  { kind: 'cutUpstreamOneWay', weight: 2, minDurationMs: 300, maxDurationMs: 2_000 },
  { kind: 'leaveUpstream', weight: 3, minDurationMs: 6_000, maxDurationMs: 6_000 },
  { kind: 'limitUpstream', weight: 5, minDurationMs: 5_000, maxDurationMs: 15_000 },
  { kind: 'changeConfiguration', weight: 5, minDurationMs: 0, maxDurationMs: 0 },
];

/** Mean time between two series of faults, and between two faults of a series. */
const meanIntervalsMs = { betweenSeries: 6_000, withinSeries: 400 } as const;
const maxSeriesLength = 4;

/**
 * Generates the faults of a run: series of overlapping faults with undisturbed periods between them.
 *
 * @param random - random numbers; the same sequence gives the same plan
 * @param runDurationMs - duration of the run
 *
 * @example
 * planFaults(createRandom(7), 60_000).length;
 */
export function planFaults(random: Random, runDurationMs: number): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let atMs = meanIntervalsMs.betweenSeries * random();
  while (atMs < runDurationMs) {
    const length = 1 + Math.floor(random() * maxSeriesLength);
    for (let step = 0; step < length && atMs < runDurationMs; step += 1) {
      const { kind, minDurationMs, maxDurationMs } = drawProfile(random);
      const durationMs = Math.round(minDurationMs + random() * (maxDurationMs - minDurationMs));
      plan.push({
        kind,
        atMs: Math.round(atMs),
        durationMs,
        target: Math.floor(random() * 1_000),
      });
      atMs += 2 * random() * meanIntervalsMs.withinSeries;
    }
    atMs += 2 * random() * meanIntervalsMs.betweenSeries;
  }
  return plan;
}

/** Mean time between two restores of the store, and the range of the time that it is away before. */
const restoreTimesMs = { meanInterval: 15_000, minAway: 300, maxAway: 2_000 } as const;

/**
 * Generates the times at which the store returns from an older copy. They are drawn apart from the
 * other faults, so that a seed plans the same of those with and without restores.
 *
 * @param random - random numbers; the same sequence gives the same plan
 * @param runDurationMs - duration of the run
 *
 * @example
 * planRestores(createRandom(7), 60_000).length;
 */
export function planRestores(random: Random, runDurationMs: number): PlannedFault[] {
  const { meanInterval, minAway, maxAway } = restoreTimesMs;
  const plan: PlannedFault[] = [];
  let atMs = meanInterval * (0.5 + random());
  while (atMs < runDurationMs) {
    const durationMs = Math.round(minAway + random() * (maxAway - minAway));
    const target = Math.floor(random() * Number.MAX_SAFE_INTEGER);
    plan.push({ kind: 'storeRestored', atMs: Math.round(atMs), durationMs, target });
    atMs += meanInterval * (0.5 + random());
  }
  return plan;
}

/** Mean time between two overloads of an upstream, and the range of their durations. */
const overloadTimesMs = { meanInterval: 8_000, min: 2_000, max: 12_000 } as const;

/**
 * Generates the times at which an upstream is overloaded. They are drawn apart from the other faults, so that a
 * seed plans the same of those as before there were overloads.
 *
 * @param random - random numbers; the same sequence gives the same plan
 * @param runDurationMs - duration of the run
 *
 * @example
 * planOverloads(createRandom(7), 60_000).length;
 */
export function planOverloads(random: Random, runDurationMs: number): PlannedFault[] {
  const { meanInterval, min, max } = overloadTimesMs;
  const plan: PlannedFault[] = [];
  let atMs = meanInterval * 2 * random();
  while (atMs < runDurationMs) {
    const durationMs = Math.round(min + random() * (max - min));
    const target = Math.floor(random() * 1_000);
    plan.push({ kind: 'overloadUpstream', atMs: Math.round(atMs), durationMs, target });
    atMs += meanInterval * 2 * random();
  }
  return plan;
}

/** Mean time between two deadly requests. */
const deadlyRequestIntervalMs = 12_000;

/**
 * Generates the times at which a caller sends a request that ends upstreams. They are drawn apart from the other
 * faults, like the overloads.
 *
 * @param random - random numbers; the same sequence gives the same plan
 * @param runDurationMs - duration of the run
 *
 * @example
 * planDeadlyRequests(createRandom(7), 60_000).length;
 */
export function planDeadlyRequests(random: Random, runDurationMs: number): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let atMs = deadlyRequestIntervalMs * 2 * random();
  while (atMs < runDurationMs) {
    const target = Math.floor(random() * 1_000);
    plan.push({ kind: 'deadlyRequest', atMs: Math.round(atMs), durationMs: 0, target });
    atMs += deadlyRequestIntervalMs * 2 * random();
  }
  return plan;
}

/** Mean time between two deadly parts, and for how long requests with one are sent. */
const deadlyPartTimesMs = { meanInterval: 15_000, duration: 6_000 } as const;

/**
 * Generates the times at which callers send requests that share a part which ends upstreams. They are drawn apart from
 * the other faults, like the overloads.
 *
 * @param random - random numbers; the same sequence gives the same plan
 * @param runDurationMs - duration of the run
 *
 * @example
 * planDeadlyParts(createRandom(7), 60_000).length;
 */
export function planDeadlyParts(random: Random, runDurationMs: number): PlannedFault[] {
  const { meanInterval, duration: durationMs } = deadlyPartTimesMs;
  const plan: PlannedFault[] = [];
  let atMs = meanInterval * 2 * random();
  while (atMs < runDurationMs) {
    const target = Math.floor(random() * 1_000);
    plan.push({ kind: 'deadlyPart', atMs: Math.round(atMs), durationMs, target });
    atMs += durationMs + meanInterval * 2 * random();
  }
  return plan;
}

/** Mean time between two times of mixed versions, and how long these last. */
const versionMixTimesMs = { meanInterval: 15_000, duration: 6_000 } as const;

/**
 * Generates the times at which two versions of an engine serve side by side. They are drawn apart from the other
 * faults, like the overloads.
 *
 * @param random - random numbers; the same sequence gives the same plan
 * @param runDurationMs - duration of the run
 *
 * @example
 * planVersionMixes(createRandom(7), 60_000).length;
 */
export function planVersionMixes(random: Random, runDurationMs: number): PlannedFault[] {
  const { meanInterval, duration: durationMs } = versionMixTimesMs;
  const plan: PlannedFault[] = [];
  let atMs = meanInterval * random();
  while (atMs < runDurationMs) {
    plan.push({ kind: 'mixVersions', atMs: Math.round(atMs), durationMs, target: 0 });
    atMs += durationMs + meanInterval * 2 * random();
  }
  return plan;
}

/** Floods take this long, and begin after each other at this mean interval, in milliseconds. */
const floodTimesMs = { meanInterval: 6_000, duration: 1_500 } as const;

/**
 * Plans floods of clients that keep no limit, apart from the other faults.
 *
 * @param random - source of randomness of its own
 * @param runDurationMs - duration of the run
 *
 * @example
 * planFloods(createRandom(7), 60_000).length;
 */
export function planFloods(random: Random, runDurationMs: number): PlannedFault[] {
  const { meanInterval, duration: durationMs } = floodTimesMs;
  const plan: PlannedFault[] = [];
  let atMs = meanInterval * random();
  while (atMs < runDurationMs) {
    const target = Math.floor(random() * 1_000);
    plan.push({ kind: 'floodInstance', atMs: Math.round(atMs), durationMs, target });
    atMs += meanInterval * 2 * random();
  }
  return plan;
}

function drawProfile(random: Random): FaultProfile {
  let remainingWeight = random() * faultProfiles.reduce((sum, { weight }) => sum + weight, 0);
  for (const profile of faultProfiles) {
    remainingWeight -= profile.weight;
    if (remainingWeight < 0) return profile;
  }
  return faultProfiles[0] as FaultProfile;
}
