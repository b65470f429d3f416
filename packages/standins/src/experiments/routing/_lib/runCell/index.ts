/**
 * One cell of the routing experiment: a policy, a case and a load.
 */
import {
  createRandom,
  hashText,
  ManualClock,
  millisecondsInSecond,
  RouterError,
  type FailureDomainId,
  type InstanceId,
  type Random,
  type UpstreamId,
} from '@acaciacrank/base';
import type { ListedInstance } from '@acaciacrank/store';
import { chooseInstances } from '@acaciacrank/routing';
import { LocalUpstreamClients } from '../../../../LocalUpstreamClients/index.js';
import { MemoryInstanceList, MemoryPlatform } from '@acaciacrank/store';
import type { ResultRow } from '../../../../printTable/index.js';
import { StandinEngine } from '../../../../StandinEngine/index.js';
import { rowsOf, type RequestOutcome } from '../outcomes/index.js';
import type { ComparedPolicy } from '../policies/index.js';
import { engineService, SimulatedInstance } from '../SimulatedInstance/index.js';
import {
  arrivalsPerSecond,
  engineCount,
  engineOptions,
  instanceCount,
  RequestSource,
  workloadClasses,
  type WorkloadClass,
  type WorkloadRequest,
} from '../workload/index.js';

/** What goes wrong in a cell. */
export const cellCases = ['calm', 'instanceLost', 'thirdSlow', 'reportsLag'] as const;
/** One of {@link cellCases}. */
export type CellCase = (typeof cellCases)[number];

/** What one cell is. */
export interface Cell {
  readonly policy: ComparedPolicy;
  readonly case: CellCase;
  readonly loadFactor: number;
  readonly seed: number;
  /** How long requests arrive, in milliseconds. */
  readonly durationMs: number;
}

const reachable = { isDown: false, delayMs: 0, answersToLose: 0 };
/** Requests that arrive while caches and limits are still cold are not measured. */
const warmUpMs = 3 * millisecondsInSecond;
/** When the instance is lost or the engines become slow. */
const faultAtMs = 4 * millisecondsInSecond;
const slowFactor = 4;
const everyNthIsSlow = 3;
const usualReportLagMs = 500;
const longReportLagMs = 2_000;
/** How often a caller tries when its connection breaks; a refusal is final. */
const maxCallerTries = 3;
/** The most that a caller waits before it tries again after a broken connection. */
const maxCallerBackOffMs = 250;
/** What has not ended so long after the last arrival counts as lost. */
const drainLimitMs = 60 * millisecondsInSecond;

/**
 * Runs one cell on virtual time.
 *
 * @param cell - what to run
 * @returns one row for each class
 *
 * @example
 * const rows = await runCell({ policy, case: 'calm', loadFactor: 1, seed: 1, durationMs: 12_000 });
 */
export async function runCell(cell: Cell): Promise<ResultRow[]> {
  const world = await createWorld(cell);
  const { clock } = world;
  const outcomes: RequestOutcome[] = [];
  clock.schedule(faultAtMs, () => {
    bringAbout(cell.case, world);
  });
  const arrivals = workloadClasses.map((workloadClass) =>
    arrive(world, cell, workloadClass, outcomes),
  );
  const finished = Promise.all(arrivals).then((pending) => Promise.all(pending.flat()));
  const limit = clock.sleep(cell.durationMs + drainLimitMs);
  await clock.runUntil(Promise.race([finished, limit]));
  await clock.runUntil(Promise.all(world.instances.map((instance) => instance.die())));
  const labels = {
    policy: cell.policy.name,
    isDefault: cell.policy.isDefault,
    case: cell.case,
    loadFactor: cell.loadFactor,
    seed: cell.seed,
  };
  const span = { fromMs: warmUpMs, untilMs: cell.durationMs };
  return rowsOf(labels, outcomes, world.engines, span);
}

interface World {
  readonly clock: ManualClock;
  readonly platform: MemoryPlatform;
  readonly engines: readonly StandinEngine[];
  readonly instances: readonly SimulatedInstance[];
  readonly callerRandom: Random;
}

async function createWorld(cell: Cell): Promise<World> {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const clients = new LocalUpstreamClients();
  const reportLagMs = cell.case === 'reportsLag' ? longReportLagMs : usualReportLagMs;
  const engines = Array.from({ length: engineCount }, (_, index) => {
    const id = `e${index}` as UpstreamId;
    const engine = new StandinEngine({ id, clock, reportLagMs, ...engineOptions });
    clients.engines.set(id, engine);
    platform.setInstance(listed(id, 'engine', index));
    return engine;
  });
  const instanceIds = Array.from({ length: instanceCount }, (_, index) => instanceIdOf(index));
  for (const [index, id] of instanceIds.entries()) {
    platform.setInstance(listed(id, 'entry', index));
  }
  const instances = instanceIds.map(
    (instanceId, index) =>
      new SimulatedInstance({
        instanceId,
        clock,
        clients,
        random: createRandom(cell.seed * 1_000 + index),
        list: new MemoryInstanceList(platform, reachable),
        choice: cell.policy.createChoice(),
        registry: cell.policy.registry(createRandom(cell.seed * 1_000 + 100 + index)),
      }),
  );
  await clock.runUntil(Promise.all(instances.map(({ registry }) => registry.start())));
  const callerRandom = createRandom(cell.seed * 1_000 + 500);
  return { clock, platform, engines, instances, callerRandom };
}

function instanceIdOf(index: number): InstanceId {
  return `i${index}` as InstanceId;
}

function listed(id: string, role: 'engine' | 'entry', index: number): ListedInstance {
  return {
    id: id as InstanceId,
    role,
    ...(role === 'engine' ? { service: engineService } : {}),
    url: `http://127.0.0.1/${id}`,
    failureDomain: `fd${index % 3}` as FailureDomainId,
    state: 'live',
  };
}

function bringAbout(cellCase: CellCase, { platform, engines, instances }: World): void {
  if (cellCase === 'instanceLost') {
    platform.removeInstance(instanceIdOf(0));
    void instances[0]?.die();
  }
  if (cellCase === 'thirdSlow') {
    for (const [index, engine] of engines.entries()) {
      if (index % everyNthIsSlow === 0) engine.slowFactor = slowFactor;
    }
  }
}

async function arrive(
  world: World,
  cell: Cell,
  workloadClass: WorkloadClass,
  outcomes: RequestOutcome[],
): Promise<Promise<void>[]> {
  const random = createRandom(cell.seed * 1_000 + 600 + workloadClass.priority);
  const source = new RequestSource(workloadClass, random);
  const perSecond = arrivalsPerSecond(workloadClass, cell.loadFactor);
  const pending: Promise<void>[] = [];
  for (;;) {
    await world.clock.sleep((-Math.log(1 - random()) / perSecond) * millisecondsInSecond);
    if (world.clock.monotonicMs() >= cell.durationMs) return pending;
    pending.push(call(world, source.next(), outcomes));
  }
}

/** One caller: asks the directory, calls, and calls another instance when the connection breaks. */
async function call(
  world: World,
  request: WorkloadRequest,
  outcomes: RequestOutcome[],
): Promise<void> {
  const { clock } = world;
  const outcome: RequestOutcome = {
    request,
    startedMs: clock.monotonicMs(),
    firstTokenMs: undefined,
    gapsMs: [],
    frames: 0,
    endedMs: Infinity,
    state: 'pending',
  };
  outcomes.push(outcome);
  for (let tries = 0; tries < maxCallerTries; tries += 1) {
    const instance = askDirectory(world, request, tries);
    try {
      await callOnce(world, instance, outcome);
      outcome.state = 'answered';
      outcome.endedMs = clock.monotonicMs();
      return;
    } catch (error) {
      if (!(error instanceof RouterError)) throw error;
      if (!brokenConnectionKinds.has(error.kind)) {
        outcome.state = 'refused';
        return;
      }
      await clock.sleep(world.callerRandom() * maxCallerBackOffMs);
    }
  }
  outcome.state = 'lost';
}

const brokenConnectionKinds: ReadonlySet<string> = new Set(['upstreamFailed', 'cancelled']);

/** Callers spread over the two instances that the directory names; its answer is cached a while. */
function askDirectory(world: World, request: WorkloadRequest, tries: number): SimulatedInstance {
  const named = chooseInstances(request.accountId, world.platform.instances(), { count: 2 });
  const index = (hashText(request.key) + tries) % named.length;
  const chosen = world.instances[Number(named[index]?.id.slice(1))];
  if (chosen === undefined) throw new Error('the directory names no instance');
  return chosen;
}

async function callOnce(
  { clock }: World,
  instance: SimulatedInstance,
  outcome: RequestOutcome,
): Promise<void> {
  outcome.gapsMs = [];
  outcome.frames = 0;
  let lastFrameMs = 0;
  await instance.serve(outcome.request, () => {
    const nowMs = clock.monotonicMs();
    outcome.firstTokenMs ??= nowMs;
    if (outcome.frames > 0) outcome.gapsMs.push(nowMs - lastFrameMs);
    outcome.frames += 1;
    lastFrameMs = nowMs;
  });
}
