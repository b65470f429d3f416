/**
 * Compares what is done when an upstream is silent: streams that are ended for it, how long their callers wait for the
 * next event, and how often they are sent, by how many upstreams are silent, for how long, and the size of the fleet.
 */
import { createRandom, ManualClock, type UpstreamId } from '@acaciacrank/base';
import type { RunOptions } from '../../_lib/runModuleByName/index.js';
import { quantile } from '../../_lib/StreamLoad/index.js';
import type { ResultRow } from '../../printTable/index.js';
import { ModelInstance, type SilencePolicy } from './_lib/ModelInstance/index.js';
import { ModelUpstream, type ModelFault } from './_lib/ModelUpstream/index.js';

/** A fleet of which some upstreams fail at once. */
export interface HedgeCase {
  readonly instances: number;
  readonly fault: ModelFault;
  /** Share of the upstreams that fail; 0 for a single one. */
  readonly share: number;
  readonly policy: SilencePolicy;
}

/** What became of the streams that were at upstreams which failed. */
export interface HedgeResult {
  readonly requests: number;
  readonly sendsPerRequest: number;
  /** Time that callers waited for the next event, of the streams that are whole, in milliseconds. */
  readonly nextEventP50Ms: number;
  readonly nextEventMaxMs: number;
  /** Streams that an instance ended before their deadline, and those whose deadline passed. */
  readonly cut: number;
  readonly late: number;
}

const upstreamsPerInstance = 2;
const streamsPerSecondPerInstance = 8;
/** Time before the fault, in which the retry budget fills, and the time after it; streams begin until its end. */
const times = { beforeMs: 5_000, loadMs: 6_000, settleMs: 12_000 } as const;

const fleetSizes = [4, 28, 78] as const;
const policies = ['abortThenAsk', 'hedge', 'hedgeWithoutPanicThreshold'] as const;
const silencesMs = [500, 1_000, 2_000, 4_000] as const;
const shares = { one: 0, most: 0.6, all: 1 } as const;

/** Plays each fault at each size with each policy. */
export async function run({ seed }: RunOptions): Promise<readonly ResultRow[]> {
  const faults: readonly ModelFault[] = [
    ...silencesMs.map((durationMs) => ({ kind: 'silence', durationMs }) as const),
    { kind: 'reset' },
    { kind: 'drop' },
  ];
  const rows: ResultRow[] = [];
  for (const instances of fleetSizes) {
    for (const fault of faults) {
      for (const [name, share] of Object.entries(shares)) {
        for (const policy of policies) {
          const result = await simulateHedge({ instances, fault, share, policy }, seed);
          const silentMs = fault.kind === 'silence' ? fault.durationMs : '-';
          rows.push({ instances, fault: fault.kind, silentMs, share: name, policy, ...result });
        }
      }
    }
  }
  return rows;
}

/**
 * Plays one case on virtual time.
 *
 * @example
 * const { cut } = await simulateHedge({ instances: 4, fault: { kind: 'drop' }, share: 0, policy: 'hedge' }, 1);
 */
export async function simulateHedge(hedgeCase: HedgeCase, seed: number): Promise<HedgeResult> {
  const { instances: instanceCount, fault, share, policy } = hedgeCase;
  const clock = new ManualClock();
  const random = createRandom(seed);
  const upstreams = Array.from(
    { length: instanceCount * upstreamsPerInstance },
    (_, index) => new ModelUpstream(`u${index}` as UpstreamId),
  );
  const options = { clock, random, policy, upstreams, instanceCount };
  const instances = Array.from({ length: instanceCount }, () => new ModelInstance(options));
  const loadUntilMs = times.beforeMs + times.loadMs;
  for (const instance of instances) {
    for (
      let atMs = 0;
      atMs < loadUntilMs;
      atMs += (2 * random() * 1_000) / streamsPerSecondPerInstance
    )
      clock.schedule(atMs, () => {
        instance.begin();
      });
  }
  await clock.advance(times.beforeMs);
  const affected = upstreams.slice(0, Math.max(1, Math.round(share * upstreams.length)));
  for (const upstream of affected) upstream.begin(fault, clock.monotonicMs());
  for (const instance of instances) instance.applyFault(fault.kind === 'reset');
  await clock.advance(times.loadMs + times.settleMs);
  return summarize(instances);
}

function summarize(instances: readonly ModelInstance[]): HedgeResult {
  const streams = instances.flatMap((instance) =>
    instance.streams.filter(({ isAffected }) => isAffected),
  );
  const gapsMs = streams
    .filter(({ end }) => end === 'whole')
    .map(({ longestGapMs }) => Math.round(longestGapMs));
  const sends = streams.reduce((sum, { attempted }) => sum + attempted.size, 0);
  const count = (wanted: string) => streams.filter(({ end }) => end === wanted).length;
  return {
    requests: streams.length,
    sendsPerRequest: Math.round((100 * sends) / Math.max(1, streams.length)) / 100,
    nextEventP50Ms: quantile(gapsMs, 0.5),
    nextEventMaxMs: quantile(gapsMs, 1),
    cut: count('cut'),
    late: count('late'),
  };
}
