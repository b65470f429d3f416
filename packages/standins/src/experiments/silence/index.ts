/**
 * Compares fixed idle timeouts with the adaptive one for streams whose engine dies, falls silent or
 * stalls.
 */
import { createRandom } from '@acaciacrank/base';
import { AdaptiveTimeout, type AdaptiveTimeoutOptions } from '@acaciacrank/upstreams';
import {
  FaultyUpstreams,
  type ConnectionFault,
  type FaultPlan,
} from '../../_lib/FaultyUpstreams/index.js';
import type { RunOptions } from '../../_lib/runModuleByName/index.js';
import { quantile, StreamLoad, type CallOutcome } from '../../_lib/StreamLoad/index.js';
import type { ResultRow } from '../../printTable/index.js';

const requestCount = 150;
const maxTokens = 80;
const callIntervalMs = 150;
/** Fraction of the connections into which a fault is injected. */
const faultShare = 0.1;
/**
 * Stalls of an engine: time between two draws, probability of a stall, maximum duration and slowdown
 * factor.
 */
const stall = { everyMs: 1_000, share: 0.15, longestMs: 3_000, factor: 60 };

/** The compared timeouts by the name that the `bound` column shows; `learnt` is the adaptive one. */
const timeouts: Readonly<Record<string, AdaptiveTimeoutOptions>> = {
  fixed500Ms: { floorMs: 500, ceilingMs: 500 },
  fixed2s: { floorMs: 2_000, ceilingMs: 2_000 },
  fixed10s: { floorMs: 10_000, ceilingMs: 10_000 },
  learnt: { floorMs: 1_000, ceilingMs: 10_000 },
};

/** Token gaps of healthy engines, of large models, and of large models in overloaded batches. */
const gapsMs = { fast: 20, slow: 400, overloaded: 1_200 } as const;

interface SilenceCase {
  readonly name: string;
  readonly gap: keyof typeof gapsMs;
  readonly fault: 'none' | 'dies' | 'silent' | 'stalls';
}

const cases: readonly SilenceCase[] = [
  { name: 'calm', gap: 'fast', fault: 'none' },
  { name: 'dies', gap: 'fast', fault: 'dies' },
  { name: 'silent', gap: 'fast', fault: 'silent' },
  { name: 'stalls', gap: 'fast', fault: 'stalls' },
  { name: 'slow', gap: 'slow', fault: 'none' },
  { name: 'slowSilent', gap: 'slow', fault: 'silent' },
  { name: 'overloaded', gap: 'overloaded', fault: 'none' },
  { name: 'overloadedSilent', gap: 'overloaded', fault: 'silent' },
];

/** Runs each fault case with each timeout. */
export async function run({ seed }: RunOptions): Promise<readonly ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const timeoutName of Object.keys(timeouts)) {
    for (const silenceCase of cases) rows.push(await runCell(timeoutName, silenceCase, seed));
  }
  return rows;
}

async function runCell(
  timeoutName: string,
  silenceCase: SilenceCase,
  seed: number,
): Promise<ResultRow> {
  const faults = { injectedCount: 0 };
  await using load = await StreamLoad.start({
    seed,
    engineOptions: { tokenGapMs: gapsMs[silenceCase.gap], maxRunningRequests: 64 },
    wrap: (parts) => {
      const clients = new FaultyUpstreams(
        parts.clients,
        createFaultPlan(silenceCase, seed, faults),
      );
      const options = timeouts[timeoutName];
      if (options !== undefined) clients.makeTokenGaps = () => new AdaptiveTimeout(options);
      return { ...parts, clients };
    },
  });
  const { clock } = load.fleet;
  if (silenceCase.fault === 'stalls') stallEngines(load);
  const reads: Promise<CallOutcome>[] = [];
  for (let index = 0; index < requestCount; index += 1) {
    reads.push(load.read({ ...load.createCall(index), maxTokens }));
    await clock.advance(callIntervalMs);
  }
  const outcomes = await clock.runUntil(Promise.all(reads));
  const resumes = load.instance.metrics.counter('resumes');
  return {
    bound: timeoutName,
    isDefault: timeoutName === 'learnt',
    case: silenceCase.name,
    seed,
    requests: requestCount,
    answered: outcomes.filter(({ final }) => final !== undefined).length,
    brokenOff: outcomes.filter(({ final }) => final === undefined).length,
    faults: faults.injectedCount,
    resumes,
    needlessResumes: Math.max(0, resumes - faults.injectedCount),
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

function createFaultPlan(
  { fault }: SilenceCase,
  seed: number,
  faults: { injectedCount: number },
): FaultPlan {
  const random = createRandom(seed + 1);
  return (connection): ConnectionFault | undefined => {
    if (fault !== 'dies' && fault !== 'silent') return undefined;
    if (random() >= faultShare || connection.kind === 'resume') return undefined;
    faults.injectedCount += 1;
    return { kind: fault, afterTokens: 1 };
  };
}

/** Simulates the prefill of long prompts, during which the engine's running streams get no tokens. */
function stallEngines(load: StreamLoad): void {
  const { clock, clients } = load.fleet;
  for (const engine of clients.engines.values()) {
    const scheduleNext = () => {
      const isStalling = load.random() < stall.share;
      engine.slowFactor = isStalling ? stall.factor : 1;
      const durationMs = isStalling ? stall.longestMs * load.random() : stall.everyMs;
      clock.schedule(durationMs, scheduleNext);
    };
    scheduleNext();
  }
}
