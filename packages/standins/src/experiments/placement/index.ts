/**
 * `npm run experiment -- placement`: compares what instances know of an engine's slots when they place
 * prompts, over sizes of fleets and loads.
 */
import {
  createRandom,
  ManualClock,
  type FailureDomainId,
  type Random,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import { pickUpstream, PromptPartLocations, UpstreamTable } from '@acaciacrank/forwarding';
import { PrefillTimeModel } from '@acaciacrank/routing';
import type { RunOptions } from '../../_lib/runModuleByName/index.js';
import type { ResultRow } from '../../printTable/index.js';
import { SimulatedEngine } from './_lib/EngineFleet/index.js';

/**
 * What an instance knows of the slots that other instances use: nothing, what responses report, or all at
 * each moment, which no instance can know.
 */
export type SlotKnowledge = 'none' | 'reports' | 'all';

/** One cell of the comparison. */
export interface PlacementCell {
  readonly instances: number;
  readonly engines: number;
  readonly slots: number;
  /** Fraction of all slots that the load would use if it were spread evenly. */
  readonly utilization: number;
  /** Fraction of the prompts that share one part. */
  readonly hotShare: number;
}

/** What the callers of a cell saw. */
export interface PlacementOutcome {
  readonly requests: number;
  readonly firstEventP50Ms: number;
  readonly firstEventP95Ms: number;
  readonly lateShare: number;
  /** Thousands of tokens of shared parts that were prefilled again, for each thousand requests. */
  readonly movedParts: number;
}

const service = 'engines' as ServiceName;
const domain = 'here' as FailureDomainId;
const durationMs = 20_000;
const warmUpMs = 4_000;
const stepMs = 5;
/** A prompt of 1,400 tokens of which 600 are shared, and a stream of 1.3 s. */
const request = { ownTokens: 800, sharedTokens: 600, streamMs: 1_300 };
const msPerToken = 1 / 64;
const aimMs = 400;
const partCount = 600;
const noSlotLimit = 1_000_000;

const cells: readonly PlacementCell[] = [
  { instances: 4, engines: 13, slots: 64, utilization: 0.2, hotShare: 0 },
  { instances: 28, engines: 98, slots: 16, utilization: 0.2, hotShare: 0 },
  { instances: 28, engines: 98, slots: 16, utilization: 0.2, hotShare: 0.3 },
  { instances: 28, engines: 33, slots: 16, utilization: 0.6, hotShare: 0.1 },
  { instances: 28, engines: 33, slots: 16, utilization: 0.85, hotShare: 0 },
  { instances: 100, engines: 20, slots: 16, utilization: 0.6, hotShare: 0.1 },
  { instances: 2, engines: 60, slots: 4, utilization: 0.6, hotShare: 0.1 },
];

/** Runs each cell with each kind of knowledge. */
export function run({ seed }: RunOptions): Promise<readonly ResultRow[]> {
  return cells.reduce<Promise<ResultRow[]>>(async (before, cell) => {
    const rows = await before;
    for (const knowledge of ['none', 'reports', 'all'] as const) {
      const outcome = await simulatePlacement(cell, knowledge, seed);
      rows.push({ ...cell, knowledge, isDefault: knowledge === 'reports', seed, ...outcome });
    }
    return rows;
  }, Promise.resolve([]));
}

/**
 * Simulates one cell.
 *
 * @param cell - sizes and load
 * @param knowledge - what the instances know of slots
 * @param seed - of the random load
 *
 * @example
 * const { lateShare } = await simulatePlacement(cell, 'reports', 1);
 */
export async function simulatePlacement(
  cell: PlacementCell,
  knowledge: SlotKnowledge,
  seed: number,
): Promise<PlacementOutcome> {
  const simulation = new PlacementSimulation(cell, knowledge, createRandom(seed));
  await simulation.run();
  return simulation.outcome;
}

interface PlacingInstance {
  readonly table: UpstreamTable;
  readonly locations: PromptPartLocations;
}

class PlacementSimulation {
  readonly #cell: PlacementCell;
  readonly #knowledge: SlotKnowledge;
  readonly #random: Random;
  readonly #clock = new ManualClock();
  readonly #engines: ReadonlyMap<string, SimulatedEngine>;
  readonly #instances: readonly PlacingInstance[];
  readonly #model = new PrefillTimeModel();
  readonly #firstEventsMs: number[] = [];
  #spills = 0;

  constructor(cell: PlacementCell, knowledge: SlotKnowledge, random: Random) {
    this.#cell = cell;
    this.#knowledge = knowledge;
    this.#random = random;
    const schedule = (delayMs: number, task: () => void) => {
      this.#clock.schedule(delayMs, task);
    };
    const nowMs = () => this.#clock.monotonicMs();
    const ids = Array.from({ length: cell.engines }, (_, index) => `e${index}`);
    this.#engines = new Map(
      ids.map((id) => [id, new SimulatedEngine(id, cell.slots, schedule, nowMs)]),
    );
    this.#instances = Array.from({ length: cell.instances }, () => this.#createInstance(ids));
  }

  get outcome(): PlacementOutcome {
    const sorted = this.#firstEventsMs.toSorted((a, b) => a - b);
    const quantile = (share: number) => Math.round(sorted[Math.floor(sorted.length * share)] ?? 0);
    const late = sorted.filter((firstEventMs) => firstEventMs > aimMs).length;
    return {
      requests: sorted.length,
      firstEventP50Ms: quantile(0.5),
      firstEventP95Ms: quantile(0.95),
      lateShare: Math.round((1_000 * late) / sorted.length) / 1_000,
      movedParts: Math.round((1_000 * this.#spills) / sorted.length) / 1_000,
    };
  }

  /** Sends requests at random times, then waits for the last streams. */
  async run(): Promise<void> {
    const { engines, slots, utilization } = this.#cell;
    const perMs = (engines * slots * utilization) / request.streamMs;
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
      await this.#clock.advance(stepMs);
      for (let due = perMs * stepMs; this.#random() < due; due -= 1) this.#send(passedMs);
    }
    await this.#clock.advance(10 * request.streamMs);
  }

  #createInstance(ids: readonly string[]): PlacingInstance {
    const table = new UpstreamTable({
      clock: this.#clock,
      onChange: () => undefined,
      instanceCount: () => (this.#knowledge === 'all' ? 1 : this.#cell.instances),
    });
    const slots = this.#knowledge === 'none' ? noSlotLimit : this.#cell.slots;
    const records = ids.map((id) => ({
      id: id as UpstreamId,
      service,
      ip: '10.0.0.1',
      port: 80,
      failureDomain: domain,
      slots,
      state: 'live' as const,
    }));
    table.replaceAll(records);
    return { table, locations: new PromptPartLocations() };
  }

  #send(passedMs: number): void {
    const { instances, hotShare } = this.#cell;
    const { table, locations } = this.#instances[Math.floor(this.#random() * instances)] ?? {};
    if (table === undefined || locations === undefined) return;
    const candidates = table.usable(service);
    if (this.#knowledge === 'all') {
      for (const upstream of candidates) {
        const engine = this.#engines.get(upstream.id);
        if (engine !== undefined) upstream.recordLoad(engine.load);
      }
    }
    const isHot = this.#random() < hotShare;
    const part = isHot ? 'hot' : `part${Math.floor(this.#random() ** 2 * partCount)}`;
    const promptParts = [
      { id: part, tokens: request.sharedTokens },
      { id: 'own', tokens: request.ownTokens },
    ];
    const sentMs = this.#clock.monotonicMs();
    const pick = pickUpstream({
      candidates,
      attemptedIds: new Set(),
      promptParts,
      promptTokens: request.sharedTokens + request.ownTokens,
      engine: undefined,
      model: this.#model,
      ownDomain: domain,
      promptPartLocations: locations,
      nowMs: sentMs,
      random: this.#random,
    });
    if (pick === undefined) return;
    const { upstream } = pick;
    const inFlight = upstream.begin(pick.prefill);
    this.#engines.get(upstream.id)?.send({
      ownPrefillMs: request.ownTokens * msPerToken,
      sharedPrefillMs: request.sharedTokens * msPerToken,
      sharedPart: part,
      streamMs: request.streamMs,
      onFirstEvent: (report) => {
        upstream.recordReceived(inFlight, true);
        if (this.#knowledge === 'reports') upstream.recordLoad(report);
        if (passedMs < warmUpMs) return;
        this.#firstEventsMs.push(this.#clock.monotonicMs() - sentMs);
        if (pick.why === 'spilled') this.#spills += 1;
      },
      onEnd: () => {
        upstream.end(inFlight);
      },
    });
  }
}
