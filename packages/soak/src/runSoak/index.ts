import { createRandom, type Random } from '@acaciacrank/base';
import { mkdirSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { CallerLoad } from '../_lib/CallerLoad/index.js';
import { DirectoryWatch } from '../_lib/DirectoryWatch/index.js';
import { FaultInjector } from '../_lib/FaultInjector/index.js';
import { Observations } from '../_lib/Observations/index.js';
import { planFaults } from '../_lib/planFaults/index.js';
import { SoakScene } from '../_lib/SoakScene/index.js';
import type { SoakOptions, SoakReport } from '../types.js';

/**
 * Runs real instances as processes of their own between stand-ins, injects faults from outside and
 * checks the system's promises from what callers and upstreams see.
 *
 * @param options - the seed decides load and faults
 * @returns what happened; it holds when there is no violation
 *
 * @example
 * const { violations } = await runSoak({ ...options, seed: 7 });
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  await using soak = new Soak(options);
  return await soak.run();
}

class Soak implements AsyncDisposable {
  readonly #options: SoakOptions;
  readonly #random: Random;
  readonly #startedMs = performance.now();
  readonly #observations = new Observations(() => this.#now());
  readonly #scene: SoakScene;
  readonly #injector: FaultInjector;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    mkdirSync(options.directory, { recursive: true });
    const observations = this.#observations;
    const { deliberateBreak } = options;
    const now = () => this.#now();
    const scene = new SoakScene({ ...options, random: this.#random, observations, now });
    this.#scene = scene;
    this.#injector = new FaultInjector({ scene, observations, deliberateBreak });
  }

  async run(): Promise<SoakReport> {
    const { durationMs, seed } = this.#options;
    await this.#scene.start();
    const loadFromMs = this.#now();
    const ended = new AbortController();
    const running = this.#load(ended.signal);
    const faults = this.#options.faults ?? planFaults(createRandom(seed), durationMs);
    for (const fault of faults) {
      await sleep(Math.max(0, loadFromMs + fault.atMs - this.#now()));
      await this.#injector.inject(fault);
    }
    await sleep(Math.max(0, loadFromMs + durationMs - this.#now()));
    ended.abort();
    await running;
    this.#observations.finish();
    return this.#report();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#scene[Symbol.asyncDispose]();
  }

  #now(): number {
    return performance.now() - this.#startedMs;
  }

  /** Callers, and the look at directories, until the signal is aborted. */
  async #load(signal: AbortSignal): Promise<void> {
    const { deliberateBreak, requestsPerSecond } = this.#options;
    const instances = this.#scene.instances.map(({ process }) => process.ports);
    const load = new CallerLoad({
      random: this.#random,
      observations: this.#observations,
      now: () => this.#now(),
      frontPorts: instances.map(({ front }) => front),
      directoryPorts: instances.map(({ directory }) => directory),
      requestsPerSecond,
      deliberateBreak,
    });
    const { naming } = this.#observations;
    const watch = new DirectoryWatch({ instances, check: naming, deliberateBreak });
    await Promise.all([load.run(signal), watch.run(signal)]);
  }

  #report(): SoakReport {
    const { seed, durationMs } = this.#options;
    const { calls, violations } = this.#observations;
    const count = (...wanted: string[]) =>
      calls.filter(({ outcome }) => wanted.includes(outcome)).length;
    return {
      seed,
      durationMs,
      requests: calls.length,
      served: count('served'),
      refused: count('refused', 'spent'),
      failed: count('failed', 'cut'),
      faults: this.#injector.counts,
      violations,
    };
  }
}
