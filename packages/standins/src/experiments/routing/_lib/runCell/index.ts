/**
 * One run of the routing experiment, with one policy, fault case and load factor.
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
import { createRows, type RequestOutcome } from '../outcomes/index.js';
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

/** Fault cases of the experiment. */
export const cellCases = ['calm', 'instanceLost', 'thirdSlow', 'reportsLag'] as const;
/** One of {@link cellCases}. */
export type CellCase = (typeof cellCases)[number];

/** Parameters of one run. */
export interface Cell {
  readonly policy: ComparedPolicy;
  readonly case: CellCase;
  readonly loadFactor: number;
  readonly seed: number;
  /** Arrival period of the requests, in milliseconds. */
  readonly durationMs: number;
}

const healthyLink = { isDown: false, delayMs: 0, responsesToLose: 0 };
/** Requests that arrive during the warm-up of caches and limits are not measured. */
const warmUpMs = 3 * millisecondsInSecond;
/** When the fault is injected. */
const faultAtMs = 4 * millisecondsInSecond;
const slowFactor = 4;
const slowEngineStride = 3;
const normalReportLagMs = 500;
const longReportLagMs = 2_000;
/** Maximum number of attempts of a caller whose connection breaks; a refusal is not retried. */
const maxCallerAttempts = 3;
/** Maximum wait of a caller before the retry after a broken connection. */
const maxCallerBackoffMs = 250;
/** A request that has not ended this long after the end of arrivals counts as lost. */
const drainLimitMs = 60 * millisecondsInSecond;

/**
 * Runs the simulation in virtual time.
 *
 * @param cell - policy, fault case, load and seed
 * @returns one row for each class
 *
 * @example
 * const rows = await runCell({ policy, case: 'calm', loadFactor: 1, seed: 1, durationMs: 12_000 });
 */
export async function runCell(cell: Cell): Promise<ResultRow[]> {
  const simulation = await createSimulation(cell);
  const { clock } = simulation;
  const outcomes: RequestOutcome[] = [];
  clock.schedule(faultAtMs, () => {
    injectFault(cell.case, simulation);
  });
  const senders = workloadClasses.map((workloadClass) =>
    sendRequests(simulation, cell, workloadClass, outcomes),
  );
  const finished = Promise.all(senders).then((pending) => Promise.all(pending.flat()));
  const timeLimit = clock.sleep(cell.durationMs + drainLimitMs);
  await clock.runUntil(Promise.race([finished, timeLimit]));
  await clock.runUntil(Promise.all(simulation.instances.map((instance) => instance.crash())));
  const labels = {
    policy: cell.policy.name,
    isDefault: cell.policy.isDefault,
    case: cell.case,
    loadFactor: cell.loadFactor,
    seed: cell.seed,
  };
  const span = { fromMs: warmUpMs, untilMs: cell.durationMs };
  return createRows(labels, outcomes, simulation.engines, span);
}

interface Simulation {
  readonly clock: ManualClock;
  readonly platform: MemoryPlatform;
  readonly engines: readonly StandinEngine[];
  readonly instances: readonly SimulatedInstance[];
  readonly callerRandom: Random;
}

async function createSimulation(cell: Cell): Promise<Simulation> {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const clients = new LocalUpstreamClients();
  const reportLagMs = cell.case === 'reportsLag' ? longReportLagMs : normalReportLagMs;
  const engines = Array.from({ length: engineCount }, (_, index) => {
    const id = `e${index}` as UpstreamId;
    const engine = new StandinEngine({ id, clock, reportLagMs, ...engineOptions });
    clients.engines.set(id, engine);
    platform.setInstance(createListedInstance(id, 'engine', index));
    return engine;
  });
  const instanceIds = Array.from({ length: instanceCount }, (_, index) => instanceIdOf(index));
  for (const [index, id] of instanceIds.entries()) {
    platform.setInstance(createListedInstance(id, 'entry', index));
  }
  const instances = instanceIds.map(
    (instanceId, index) =>
      new SimulatedInstance({
        instanceId,
        clock,
        clients,
        random: createRandom(cell.seed * 1_000 + index),
        list: new MemoryInstanceList(platform, healthyLink),
        selector: cell.policy.createSelector(),
        registryOptions: cell.policy.registryOptions(createRandom(cell.seed * 1_000 + 100 + index)),
      }),
  );
  await clock.runUntil(Promise.all(instances.map(({ registry }) => registry.start())));
  const callerRandom = createRandom(cell.seed * 1_000 + 500);
  return { clock, platform, engines, instances, callerRandom };
}

function instanceIdOf(index: number): InstanceId {
  return `i${index}` as InstanceId;
}

function createListedInstance(id: string, role: 'engine' | 'entry', index: number): ListedInstance {
  return {
    id: id as InstanceId,
    role,
    ...(role === 'engine' ? { service: engineService } : {}),
    url: `http://127.0.0.1/${id}`,
    failureDomain: `fd${index % 3}` as FailureDomainId,
    state: 'live',
  };
}

function injectFault(cellCase: CellCase, { platform, engines, instances }: Simulation): void {
  if (cellCase === 'instanceLost') {
    platform.removeInstance(instanceIdOf(0));
    void instances[0]?.crash();
  }
  if (cellCase === 'thirdSlow') {
    for (const [index, engine] of engines.entries()) {
      if (index % slowEngineStride === 0) engine.slowFactor = slowFactor;
    }
  }
}

async function sendRequests(
  simulation: Simulation,
  cell: Cell,
  workloadClass: WorkloadClass,
  outcomes: RequestOutcome[],
): Promise<Promise<void>[]> {
  const random = createRandom(cell.seed * 1_000 + 600 + workloadClass.priority);
  const source = new RequestSource(workloadClass, random);
  const requestsPerSecond = arrivalsPerSecond(workloadClass, cell.loadFactor);
  const pending: Promise<void>[] = [];
  for (;;) {
    await simulation.clock.sleep(
      (-Math.log(1 - random()) / requestsPerSecond) * millisecondsInSecond,
    );
    if (simulation.clock.monotonicMs() >= cell.durationMs) return pending;
    pending.push(sendWithRetries(simulation, source.next(), outcomes));
  }
}

/**
 * Simulates one caller: looks up an instance in the directory, sends the request, and retries on
 * another instance when the connection breaks.
 */
async function sendWithRetries(
  simulation: Simulation,
  request: WorkloadRequest,
  outcomes: RequestOutcome[],
): Promise<void> {
  const { clock } = simulation;
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
  for (let attempt = 0; attempt < maxCallerAttempts; attempt += 1) {
    const instance = lookUpInstance(simulation, request, attempt);
    try {
      await sendOnce(simulation, instance, outcome);
      outcome.state = 'answered';
      outcome.endedMs = clock.monotonicMs();
      return;
    } catch (error) {
      if (!(error instanceof RouterError)) throw error;
      if (!brokenConnectionKinds.has(error.kind)) {
        outcome.state = 'refused';
        return;
      }
      await clock.sleep(simulation.callerRandom() * maxCallerBackoffMs);
    }
  }
  outcome.state = 'lost';
}

const brokenConnectionKinds: ReadonlySet<string> = new Set(['upstreamFailed', 'cancelled']);

/**
 * Distributes callers over the two instances that the directory returns for their account; callers
 * cache its response for a while.
 */
function lookUpInstance(
  simulation: Simulation,
  request: WorkloadRequest,
  attempt: number,
): SimulatedInstance {
  const candidates = chooseInstances(request.accountId, simulation.platform.instances(), {
    count: 2,
  });
  const index = (hashText(request.key) + attempt) % candidates.length;
  const chosen = simulation.instances[Number(candidates[index]?.id.slice(1))];
  if (chosen === undefined) throw new Error('the directory returned no instance');
  return chosen;
}

async function sendOnce(
  { clock }: Simulation,
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
