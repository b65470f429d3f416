import { DisposableStore, SystemClock, type Random } from '@acaciacrank/base';
import { MemoryPlatform } from '@acaciacrank/store';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import type { SoakOptions } from '../../types.js';
import { FaultProxy } from '../FaultProxy/index.js';
import { freePorts } from '../freePorts/index.js';
import { InstanceProcess } from '../InstanceProcess/index.js';
import type { Observations } from '../Observations/index.js';
import { soakDocument } from '../soakDocument/index.js';
import { StoreStandin } from '../StoreStandin/index.js';
import { UpstreamStandin } from '../UpstreamStandin/index.js';

/** An upstream and the way to it. */
export interface ReachedUpstream {
  readonly standin: UpstreamStandin;
  readonly proxy: FaultProxy;
}

/** An instance and its way to the store. */
export interface ReachingInstance {
  readonly process: InstanceProcess;
  readonly storeProxy: FaultProxy;
}

/** Options of {@link SoakScene}. */
export interface SoakSceneOptions extends SoakOptions {
  readonly random: Random;
  readonly observations: Observations;
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
}

/** The program under test, as the workspace builds it. */
const program = fileURLToPath(import.meta.resolve('@acaciacrank/platform')).replace(
  /index\.js$/,
  'bin.js',
);
/** For callers, readiness, the directory and links. */
const portsOfInstance = 4;
/** How many upstreams each service has. */
const upstreamCounts = { app: 3, records: 2, lm: 3 } as const;
/** How long the instances have before load begins, how long they may take, and one answer, in milliseconds. */
const startTimes = { settleMs: 1_500, limitMs: 20_000, answerMs: 2_000 } as const;
/** How long an upstream serves on after it said that it leaves, in milliseconds. */
const leavingMs = 5_000;

/** The instances under test, and the stand-ins for the store and the upstreams around them. */
export class SoakScene implements AsyncDisposable {
  readonly store: StoreStandin;
  readonly instances: ReachingInstance[] = [];
  readonly upstreams: ReachedUpstream[] = [];
  readonly #options: SoakSceneOptions;
  readonly #owned = new DisposableStore();
  readonly #platform = new MemoryPlatform(new SystemClock());
  #version = 0;
  #upstreamCount = 0;

  constructor(options: SoakSceneOptions) {
    this.#options = options;
    this.store = this.#owned.add(new StoreStandin(this.#platform, options.random));
  }

  /** Starts everything, and waits until all instances are ready. */
  async start(): Promise<void> {
    const { instances, directory } = this.#options;
    const storePort = await this.store.listen();
    this.changeConfiguration();
    for (const [service, count] of Object.entries(upstreamCounts)) {
      for (let index = 0; index < count; index += 1) await this.#addUpstream(service);
    }
    const free = await freePorts(portsOfInstance * instances);
    for (let index = 0; index < instances; index += 1) {
      const storeProxy = this.#owned.add(new FaultProxy(storePort));
      const [front = 0, ready = 0, directoryPort = 0, fleet = 0] = free.splice(0, portsOfInstance);
      const process = new InstanceProcess({
        name: `instance-${index}`,
        program,
        ports: { front, ready, directory: directoryPort, fleet },
        storePort: await storeProxy.listen(),
        directory,
      });
      this.instances.push({ process, storeProxy });
      process.start();
    }
    await Promise.all(this.instances.map(({ process }) => untilReady(process)));
    await sleep(startTimes.settleMs);
  }

  /** Writes the next version of the configuration. */
  changeConfiguration(): void {
    const { deliberateBreak } = this.#options;
    this.#version += 1;
    const limitFactor = deliberateBreak === 'raiseLimit' ? 100 : 1;
    const isHeld = deliberateBreak === 'holdConfiguration' && this.#version > 1;
    if (!isHeld) {
      const document = soakDocument(this.#version, limitFactor);
      this.#platform.write('config/main', document, { kind: 'none' });
    }
    this.#options.observations.acknowledge(this.#version);
  }

  /** An upstream leaves in good order, and another one takes its place. */
  async leave(upstream: ReachedUpstream): Promise<void> {
    const { standin, proxy } = upstream;
    const at = this.upstreams.indexOf(upstream);
    if (standin.leavingSinceMs !== undefined || at < 0) return;
    this.upstreams.splice(at, 1);
    await this.#addUpstream(standin.service);
    standin.leavingSinceMs = this.#options.now();
    if (this.#options.deliberateBreak === 'holdLeaving') return;
    this.#describe(upstream, 'draining');
    setTimeout(() => {
      const key = `servers/${standin.id}`;
      const stored = this.#platform.read(key);
      if (stored !== undefined) this.#platform.remove(key, stored.version);
      proxy.reset();
      proxy.setMode('refuse');
    }, leavingMs);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.instances.map(({ process }) => process.end()));
    await this.#owned.dispose();
  }

  async #addUpstream(service: string): Promise<void> {
    this.#upstreamCount += 1;
    const id = `u${this.#upstreamCount}`;
    const { observations, now } = this.#options;
    const standin = this.#owned.add(new UpstreamStandin({ id, service, observations, now }));
    const proxy = this.#owned.add(new FaultProxy(await standin.listen()));
    await proxy.listen();
    const upstream = { standin, proxy };
    this.upstreams.push(upstream);
    this.#describe(upstream, 'ready');
  }

  #describe({ standin, proxy }: ReachedUpstream, state: 'ready' | 'draining'): void {
    const address = `127.0.0.1:${proxy.port}`;
    const { id, service } = standin;
    const record = { service, address, zone: 'here', slots: 16, state };
    this.#platform.write(`servers/${id}`, record, { kind: 'none' });
  }
}

async function untilReady(process: InstanceProcess): Promise<void> {
  const limitMs = performance.now() + startTimes.limitMs;
  let reason = 'it did not answer';
  while (performance.now() < limitMs) {
    try {
      const signal = AbortSignal.timeout(startTimes.answerMs);
      const answer = await fetch(`http://127.0.0.1:${process.ports.ready}/readiness`, { signal });
      if (answer.ok) return;
      reason = `it answered ${answer.status}`;
    } catch (thrown) {
      // Nobody listens there yet.
      reason = String((thrown as Error).cause ?? thrown);
    }
    await sleep(50);
  }
  const { limitMs: waitedMs } = startTimes;
  throw new Error(`not ready in ${waitedMs} ms: ${reason}; ${process.account}`);
}
