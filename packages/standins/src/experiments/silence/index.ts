/**
 * Bounds on silence: what a fixed bound and the learnt one make of dead, silent and stalling streams.
 */
import { createRandom } from '@acaciacrank/base';
import { AdaptiveTimeout, type AdaptiveTimeoutOptions } from '@acaciacrank/upstreams';
import {
  FaultyUpstreams,
  type ConnectionFault,
  type FaultPlan,
} from '../../_lib/FaultyUpstreams/index.js';
import type { RunOptions } from '../../_lib/runNamed/index.js';
import { quantile, StreamLoad, type CallOutcome } from '../../_lib/StreamLoad/index.js';
import type { ResultRow } from '../../printTable/index.js';

const calls = 150;
const maxTokens = 80;
const callIntervalMs = 150;
/** The share of connections that a fault meets. */
const faultShare = 0.1;
/** How often an engine may begin to stall, how likely, how long and how much slower it is then. */
const stall = { everyMs: 1_000, share: 0.15, longestMs: 3_000, factor: 60 };

const bounds: Readonly<Record<string, AdaptiveTimeoutOptions>> = {
  fixed500Ms: { floorMs: 500, ceilingMs: 500 },
  fixed2s: { floorMs: 2_000, ceilingMs: 2_000 },
  fixed10s: { floorMs: 10_000, ceilingMs: 10_000 },
  learnt: { floorMs: 1_000, ceilingMs: 10_000 },
};

/** Gaps of engines in ordinary health, of big models, and of big models in overloaded batches. */
const gapsMs = { fast: 20, slow: 400, overloaded: 1_200 } as const;

interface Case {
  readonly name: string;
  readonly gap: keyof typeof gapsMs;
  readonly fault: 'none' | 'dies' | 'silent' | 'stalls';
}

const cases: readonly Case[] = [
  { name: 'calm', gap: 'fast', fault: 'none' },
  { name: 'dies', gap: 'fast', fault: 'dies' },
  { name: 'silent', gap: 'fast', fault: 'silent' },
  { name: 'stalls', gap: 'fast', fault: 'stalls' },
  { name: 'slow', gap: 'slow', fault: 'none' },
  { name: 'slowSilent', gap: 'slow', fault: 'silent' },
  { name: 'overloaded', gap: 'overloaded', fault: 'none' },
  { name: 'overloadedSilent', gap: 'overloaded', fault: 'silent' },
];

/** One cell a bound and case. */
export async function run({ seed }: RunOptions): Promise<readonly ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const bound of Object.keys(bounds)) {
    for (const entry of cases) rows.push(await runCell(bound, entry, seed));
  }
  return rows;
}

async function runCell(bound: string, entry: Case, seed: number): Promise<ResultRow> {
  const faults = { met: 0 };
  await using load = await StreamLoad.start({
    seed,
    engineOptions: { tokenGapMs: gapsMs[entry.gap], maxRunningRequests: 64 },
    wrap: (parts) => {
      const clients = new FaultyUpstreams(parts.clients, planOf(entry, seed, faults));
      const options = bounds[bound];
      if (options !== undefined) clients.makeTokenGaps = () => new AdaptiveTimeout(options);
      return { ...parts, clients };
    },
  });
  const { clock } = load.fleet;
  if (entry.fault === 'stalls') stallEngines(load);
  const reading: Promise<CallOutcome>[] = [];
  for (let index = 0; index < calls; index += 1) {
    reading.push(load.read({ ...load.callOf(index), maxTokens }));
    await clock.advance(callIntervalMs);
  }
  const outcomes = await clock.runUntil(Promise.all(reading));
  const resumes = load.instance.metrics.counter('resumes');
  return {
    bound,
    isDefault: bound === 'learnt',
    case: entry.name,
    seed,
    requests: calls,
    answered: outcomes.filter(({ final }) => final !== undefined).length,
    brokenOff: outcomes.filter(({ final }) => final === undefined).length,
    faults: faults.met,
    resumes,
    needlessResumes: Math.max(0, resumes - faults.met),
    longestGapP95Ms: quantile(
      outcomes.map(({ longestGapMs }) => longestGapMs),
      0.95,
    ),
    longestGapMaxMs: quantile(
      outcomes.map(({ longestGapMs }) => longestGapMs),
      1,
    ),
  };
}

function planOf({ fault }: Case, seed: number, faults: { met: number }): FaultPlan {
  const random = createRandom(seed + 1);
  return (connection): ConnectionFault | undefined => {
    if (fault !== 'dies' && fault !== 'silent') return undefined;
    if (random() >= faultShare || connection.kind === 'resume') return undefined;
    faults.met += 1;
    return { kind: fault, afterTokens: 1 };
  };
}

/** An engine that reads a long prompt gives its running streams nothing for a while. */
function stallEngines(load: StreamLoad): void {
  const { clock, clients } = load.fleet;
  for (const engine of clients.engines.values()) {
    const next = () => {
      const isStalling = load.random() < stall.share;
      engine.slowFactor = isStalling ? stall.factor : 1;
      const durationMs = isStalling ? stall.longestMs * load.random() : stall.everyMs;
      clock.schedule(durationMs, next);
    };
    next();
  }
}
