/**
 * How many upstreams one request ends that callers repeat at any instance, and what it costs in messages, by the size
 * of the fleet and with links that lose messages.
 */
import {
  createRandom,
  type FeatureId,
  type Random,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import type { RequestFeatures, RequestQuarantine } from '@acaciacrank/callers';
import type { RunOptions } from '../../_lib/runModuleByName/index.js';
import { simulateParts, type PartCase } from './_lib/PartSimulation/index.js';
import { QuarantineFleet } from './_lib/QuarantineFleet/index.js';
import type { ResultRow } from '../../printTable/index.js';

/** A fleet whose links may fail while callers repeat a request that ends upstreams. */
export interface SuspectCase {
  readonly instances: number;
  /** Share of the messages between any two instances that are lost. */
  readonly lossRatio: number;
  /** Whether the home of the service is gone, unknown to the others. */
  readonly isHomeGone: boolean;
  /** Number of callers that repeat the request at the same time. */
  readonly callers: number;
}

/** What became of it. */
export interface SuspectResult {
  /** Number of upstreams that ended. */
  readonly ends: number;
  /** Messages of all instances together, and the most that one instance sent. */
  readonly messages: number;
  readonly mostOfOne: number;
  readonly bytes: number;
  /** Messages that were lost. */
  readonly lost: number;
}

const service = 'tutor' as ServiceName;
const upstreams = Array.from({ length: 24 }, (_, index) => `u${index}` as UpstreamId);
/** Requests that run beside the guilty one at an upstream when it ends. */
const companionsPerEnd = 63;
/** How often each caller sends the request, the time between two attempts, and how long it runs, in ms. */
const repeats = { perCaller: 12, pauseMs: 60, runMs: 20 } as const;

/** One deadly part, five requests with it a second. */
export const calmParts: PartCase = {
  instances: 28,
  parts: 1,
  deadlyPerSecond: 5,
  lossRatio: 0,
  isHomeGone: false,
  crashesPerSecond: 0,
};

const fleetSizes = [2, 28, 78, 390] as const;

/** Plays each size calmly, with lossy links, with the home gone and with several callers at once. */
export async function run({ seed }: RunOptions): Promise<readonly ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const instances of fleetSizes) {
    const calm = { instances, lossRatio: 0, isHomeGone: false, callers: 1 };
    const cases = {
      calm,
      lossy: { ...calm, lossRatio: 0.05 },
      homeGone: { ...calm, isHomeGone: true },
      threeCallers: { ...calm, callers: 3 },
    };
    for (const [name, suspectCase] of Object.entries(cases)) {
      const { ends, messages, mostOfOne, bytes } = await simulateSuspect(suspectCase, seed);
      const perInstance = Math.round((100 * messages) / instances) / 100;
      rows.push({ instances, case: name, ends, messages, perInstance, mostOfOne, bytes });
    }
  }
  return [...rows, ...(await playParts(seed))];
}

/** Plays deadly parts: one and three, seldom and often, with lossy links and with the home gone. */
async function playParts(seed: number): Promise<readonly ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const instances of fleetSizes) {
    const one = { ...calmParts, instances };
    const cases = {
      onePart: one,
      threeParts: { ...one, parts: 3 },
      seldom: { ...one, deadlyPerSecond: 0.2 },
      often: { ...one, deadlyPerSecond: 20 },
      lossyParts: { ...one, lossRatio: 0.05 },
      partsHomeGone: { ...one, isHomeGone: true },
      crashesAlone: { ...one, parts: 0, deadlyPerSecond: 0, crashesPerSecond: 1.4 },
    };
    for (const [name, partCase] of Object.entries(cases)) {
      const result = await simulateParts(partCase, seed);
      rows.push({ instances, case: name, ...result, blamedMs: result.blamedMs ?? '-' });
    }
  }
  return rows;
}

/** Plays one case on virtual time. */
export async function simulateSuspect(
  suspectCase: SuspectCase,
  seed: number,
): Promise<SuspectResult> {
  using simulation = new SuspectSimulation(suspectCase, createRandom(seed));
  return await simulation.run();
}

function featuresOf(name: string): RequestFeatures {
  const content = name as FeatureId;
  return { service, parts: [], content, known: [] };
}

class SuspectSimulation implements Disposable {
  readonly #case: SuspectCase;
  readonly #random: Random;
  readonly #fleet: QuarantineFleet;
  #companionCount = 0;
  #ends = 0;

  constructor(suspectCase: SuspectCase, random: Random) {
    this.#case = suspectCase;
    this.#random = random;
    this.#fleet = new QuarantineFleet(suspectCase.instances);
  }

  async run(): Promise<SuspectResult> {
    this.#fleet.disturbLinks(service, this.#case);
    const calls = Array.from({ length: this.#case.callers }, () => this.#repeat());
    await this.#fleet.clock.runUntil(Promise.all(calls));
    const traffic = this.#fleet.instances.map(({ links }) => links.traffic);
    const sum = (values: readonly number[]) => values.reduce((total, one) => total + one, 0);
    return {
      ends: this.#ends,
      messages: sum(traffic.map(({ sentMessages }) => sentMessages)),
      mostOfOne: Math.max(...traffic.map(({ sentMessages }) => sentMessages)),
      bytes: sum(traffic.map(({ sentBytes }) => sentBytes)),
      lost: sum(traffic.map(({ lostMessages }) => lostMessages)),
    };
  }

  [Symbol.dispose](): void {
    this.#fleet[Symbol.dispose]();
  }

  /** One caller that repeats the request at random instances. */
  async #repeat(): Promise<void> {
    for (let attempt = 0; attempt < repeats.perCaller; attempt += 1) {
      const instance = this.#pick(this.#fleet.instances);
      if (instance !== undefined) await this.#send(instance.quarantine).catch(() => undefined);
      await this.#fleet.clock.sleep(repeats.pauseMs);
    }
  }

  async #send(quarantine: RequestQuarantine): Promise<void> {
    const features = featuresOf('guilty');
    const deadlineMs = this.#fleet.clock.monotonicMs() + 3_000;
    const suspect = quarantine.isSuspect(features)
      ? await quarantine.admit({ features, candidates: () => upstreams, deadlineMs })
      : undefined;
    const upstream = suspect?.upstreamId ?? this.#pick(upstreams);
    const sentMs = this.#fleet.clock.monotonicMs();
    await this.#fleet.clock.sleep(repeats.runMs);
    if (upstream === undefined) return;
    await this.#end(quarantine, upstream, sentMs);
    suspect?.finish(false);
  }

  /** The upstream ends under the request, and under others that random instances had there. */
  #end(quarantine: RequestQuarantine, upstreamId: UpstreamId, sentMs: number): Promise<void> {
    this.#ends += 1;
    const crash = {
      upstreamId,
      sentMs,
      lostMs: this.#fleet.clock.monotonicMs(),
      hasLivedOn: false,
    };
    const reporting = quarantine.recordCrash({ ...crash, features: featuresOf('guilty') });
    for (let index = 0; index < companionsPerEnd; index += 1) {
      this.#companionCount += 1;
      const features = featuresOf(`companion-${this.#companionCount}`);
      void this.#pick(this.#fleet.instances)?.quarantine.recordCrash({ ...crash, features });
    }
    return reporting;
  }

  #pick<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.#random() * items.length)];
  }
}
