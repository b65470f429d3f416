import { createRandom, type Random } from '@acaciacrank/base';
import { mkdirSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { LoadGenerator } from '../_lib/LoadGenerator/index.js';
import { DeadlyCaller } from '../_lib/DeadlyCaller/index.js';
import { DeadlyPartCaller } from '../_lib/DeadlyPartCaller/index.js';
import { ResumingCaller } from '../_lib/ResumingCaller/index.js';
import { DirectoryPoller } from '../_lib/DirectoryPoller/index.js';
import { FaultInjector } from '../_lib/FaultInjector/index.js';
import { Observations } from '../_lib/Observations/index.js';
import {
  planDeadlyParts,
  planDeadlyRequests,
  planFaults,
  planFloods,
  planOverloads,
  planRestores,
  planVersionMixes,
} from '../_lib/planFaults/index.js';
import { planPauses } from '../_lib/planPauses/index.js';
import { SoakEnvironment } from '../_lib/SoakEnvironment/index.js';
import type { PlannedFault, SoakOptions, SoakReport } from '../types.js';

/**
 * Runs real instances as separate processes with a fake store and fake upstreams, injects faults from
 * outside and checks the system's invariants from what callers and upstreams observe.
 *
 * @param options - the seed determines load and faults
 * @returns the report; the run passed if it has no violations
 * @throws {Error} if an instance does not become ready in time
 *
 * @example
 * const { violations } = await runSoak({ ...options, seed: 7 });
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  await using soak = new Soak(options);
  return await soak.run();
}

/** Interval of the looks at what the processes use, in milliseconds. */
const machineCheckIntervalMs = 250;

class Soak implements AsyncDisposable {
  readonly #options: SoakOptions;
  readonly #random: Random;
  readonly #startedAtMs = performance.now();
  readonly #observations = new Observations(() => this.#now());
  readonly #environment: SoakEnvironment;
  readonly #faults: readonly PlannedFault[];
  readonly #injector: FaultInjector;
  #createdDeadlyCaller: DeadlyCaller | undefined;
  #createdDeadlyPartCaller: DeadlyPartCaller | undefined;
  #createdResumingCaller: ResumingCaller | undefined;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    mkdirSync(options.directory, { recursive: true });
    this.#faults = options.faults ?? this.#planFaults();
    const observations = this.#observations;
    const { injectedDefect } = options;
    const now = () => this.#now();
    const environment = new SoakEnvironment({
      ...options,
      random: this.#random,
      observations,
      hasLongStreams: this.#faults.some(({ kind }) => kind === 'pauseUpstreams'),
      now,
    });
    this.#environment = environment;
    this.#injector = new FaultInjector({
      environment,
      observations,
      deadlyCaller: () => this.#deadlyCaller,
      deadlyPartCaller: () => this.#deadlyPartCaller,
      resumingCaller: () => this.#resumingCaller,
      injectedDefect,
    });
  }

  get #deadlyCaller(): DeadlyCaller {
    return (this.#createdDeadlyCaller ??= new DeadlyCaller({
      random: this.#random,
      callerPorts: this.#environment.instances.map(({ process }) => process.ports.front),
      isVaried: this.#options.injectedDefect === 'varyDeadly',
    }));
  }

  get #deadlyPartCaller(): DeadlyPartCaller {
    return (this.#createdDeadlyPartCaller ??= new DeadlyPartCaller({
      random: this.#random,
      check: this.#observations.deadlyParts,
      callerPorts: this.#environment.instances.map(({ process }) => process.ports.front),
      isVaried: this.#options.injectedDefect === 'varyPart',
    }));
  }

  get #resumingCaller(): ResumingCaller {
    return (this.#createdResumingCaller ??= new ResumingCaller({
      random: this.#random,
      check: this.#observations.versions,
      now: () => this.#now(),
      callerPorts: this.#environment.instances.map(({ process }) => process.ports.front),
    }));
  }

  async run(): Promise<SoakReport> {
    const { durationMs } = this.#options;
    await this.#environment.start();
    const loadStartMs = this.#now();
    const loadAbort = new AbortController();
    const loadDone = this.#runLoad(loadAbort.signal);
    const processes = this.#environment.instances.map(({ process }) => process);
    const machineTimer = setInterval(() => {
      this.#observations.machines.check(processes);
    }, machineCheckIntervalMs);
    for (const fault of this.#faults) {
      await sleep(Math.max(0, loadStartMs + fault.atMs - this.#now()));
      await this.#injector.inject(fault);
    }
    await sleep(Math.max(0, loadStartMs + durationMs - this.#now()));
    loadAbort.abort();
    clearInterval(machineTimer);
    this.#observations.machines.check(processes);
    await loadDone;
    this.#observations.finish();
    return this.#report();
  }

  #planFaults(): PlannedFault[] {
    const { durationMs, seed, hasRestores } = this.#options;
    const faults = planFaults(createRandom(seed), durationMs);
    const overloads = planOverloads(createRandom(seed + 2), durationMs);
    const restores = hasRestores === true ? planRestores(createRandom(seed + 1), durationMs) : [];
    const deadly = planDeadlyRequests(createRandom(seed + 3), durationMs);
    const parts = planDeadlyParts(createRandom(seed + 6), durationMs);
    const mixes = planVersionMixes(createRandom(seed + 4), durationMs);
    const pauses = planPauses(createRandom(seed + 5), durationMs);
    const floods = planFloods(createRandom(seed + 7), durationMs);
    const others = [...overloads, ...deadly, ...parts, ...mixes, ...pauses, ...floods];
    return [...faults, ...others, ...restores].sort((a, b) => a.atMs - b.atMs);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#environment[Symbol.asyncDispose]();
  }

  #now(): number {
    return performance.now() - this.#startedAtMs;
  }

  /** Generates load and polls the directories until the signal is aborted. */
  async #runLoad(signal: AbortSignal): Promise<void> {
    const { injectedDefect, requestsPerSecond } = this.#options;
    const instances = this.#environment.instances.map(({ process }) => process.ports);
    const load = new LoadGenerator({
      random: this.#random,
      observations: this.#observations,
      now: () => this.#now(),
      callerPorts: instances.map(({ front }) => front),
      directoryPorts: instances.map(({ directory }) => directory),
      requestsPerSecond,
      hasDepartures: this.#faults.some(({ kind }) => kind === 'pause'),
      injectedDefect,
    });
    const { directoryCheck } = this.#observations;
    const poller = new DirectoryPoller({
      instances,
      check: directoryCheck,
      injectedDefect,
    });
    await Promise.all([load.run(signal), poller.run(signal)]);
  }

  #report(): SoakReport {
    const { seed, durationMs } = this.#options;
    const { calls, violations } = this.#observations;
    const count = (...outcomes: string[]) =>
      calls.filter(({ outcome }) => outcomes.includes(outcome)).length;
    return {
      seed,
      durationMs,
      requests: calls.length,
      served: count('served'),
      refused: count('refused', 'spent'),
      failed: count('failed', 'cut'),
      left: this.#observations.departures.departureCount,
      ...this.#observations.versions.counts,
      faults: this.#injector.counts,
      violations,
    };
  }
}
