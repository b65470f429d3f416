import { createRandom, DisposableStore, SystemClock, type Random } from '@acaciacrank/base';
import { MemoryPlatform } from '@acaciacrank/store';
import { mkdirSync } from 'node:fs';
import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { CallerLoad } from '../_lib/CallerLoad/index.js';
import { DirectoryWatch } from '../_lib/DirectoryWatch/index.js';
import { FaultProxy } from '../_lib/FaultProxy/index.js';
import { InstanceProcess, stopLimitMs } from '../_lib/InstanceProcess/index.js';
import { closeServer } from '../_lib/listenOnLoopback/index.js';
import { Observations } from '../_lib/Observations/index.js';
import { planFaults } from '../_lib/planFaults/index.js';
import { soakDocument } from '../_lib/soakDocument/index.js';
import { StoreStandin } from '../_lib/StoreStandin/index.js';
import { UpstreamStandin } from '../_lib/UpstreamStandin/index.js';
import type { PlannedFault, SoakOptions, SoakReport } from '../types.js';

/** The program under test, as the workspace builds it. */
const program = fileURLToPath(import.meta.resolve('@acaciacrank/platform')).replace(
  /index\.js$/,
  'bin.js',
);
/** The ports that instances listen on: a range for each process, shared by one in a hundred. */
const ports = { least: 20_000, each: 120, ranges: 100 } as const;
/** For callers, readiness, the directory and links. */
const portsOfInstance = 4;
/** How many upstreams each service has. */
const upstreamCounts = { app: 3, records: 2, lm: 3 } as const;
/** How long the instances have before load begins, and how long they may take at the most, in milliseconds. */
const startTimes = { settleMs: 1_500, limitMs: 20_000 } as const;
/** How long an upstream serves on after it said that it leaves, in milliseconds. */
const leavingMs = 5_000;

/** An upstream and the way to it. */
interface ReachedUpstream {
  readonly standin: UpstreamStandin;
  readonly proxy: FaultProxy;
}

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
  readonly #owned = new DisposableStore();
  readonly #platform = new MemoryPlatform(new SystemClock());
  readonly #startedMs = performance.now();
  readonly #observations = new Observations(() => this.#now());
  readonly #store: StoreStandin;
  readonly #instances: InstanceProcess[] = [];
  readonly #storeProxies: FaultProxy[] = [];
  readonly #upstreams: ReachedUpstream[] = [];
  readonly #faults: Record<string, number> = {};
  #version = 0;
  #upstreamCount = 0;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    this.#store = this.#owned.add(new StoreStandin(this.#platform, this.#random));
    mkdirSync(options.directory, { recursive: true });
  }

  async run(): Promise<SoakReport> {
    const { durationMs, seed, deliberateBreak, requestsPerSecond } = this.#options;
    await this.#start();
    const loadFromMs = this.#now();
    const ended = new AbortController();
    const load = new CallerLoad({
      random: this.#random,
      observations: this.#observations,
      now: () => this.#now(),
      frontPorts: this.#instances.map(({ ports }) => ports.front),
      directoryPorts: this.#instances.map(({ ports }) => ports.directory),
      requestsPerSecond,
      deliberateBreak,
    });
    const watch = new DirectoryWatch({
      instances: this.#instances.map((instance) => instance.ports),
      check: this.#observations.naming,
      deliberateBreak,
    });
    const running = [load.run(ended.signal), watch.run(ended.signal)];
    const faults = this.#options.faults ?? planFaults(createRandom(seed), durationMs);
    for (const fault of faults) {
      await sleep(Math.max(0, loadFromMs + fault.atMs - this.#now()));
      await this.#inject(fault);
    }
    await sleep(Math.max(0, loadFromMs + durationMs - this.#now()));
    ended.abort();
    await Promise.all(running);
    this.#observations.finish();
    return this.#report();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.#instances.map((instance) => instance.end()));
    await this.#owned.dispose();
  }

  #now(): number {
    return performance.now() - this.#startedMs;
  }

  async #start(): Promise<void> {
    const { instances, directory } = this.#options;
    const storePort = await this.#store.listen();
    this.#changeConfiguration();
    for (const [service, count] of Object.entries(upstreamCounts)) {
      for (let index = 0; index < count; index += 1) await this.#addUpstream(service);
    }
    const free = await freePorts(portsOfInstance * instances);
    for (let index = 0; index < instances; index += 1) {
      const proxy = this.#owned.add(new FaultProxy(storePort));
      this.#storeProxies.push(proxy);
      const [front = 0, ready = 0, directoryPort = 0, fleet = 0] = free.splice(0, portsOfInstance);
      const instance = new InstanceProcess({
        name: `instance-${index}`,
        program,
        ports: { front, ready, directory: directoryPort, fleet },
        storePort: await proxy.listen(),
        directory,
      });
      this.#instances.push(instance);
      instance.start();
    }
    await Promise.all(this.#instances.map(({ ports }) => untilReady(ports.ready)));
    await sleep(startTimes.settleMs);
  }

  async #addUpstream(service: string): Promise<void> {
    this.#upstreamCount += 1;
    const id = `u${this.#upstreamCount}`;
    const observations = this.#observations;
    const now = () => this.#now();
    const standin = this.#owned.add(new UpstreamStandin({ id, service, observations, now }));
    const proxy = this.#owned.add(new FaultProxy(await standin.listen()));
    await proxy.listen();
    const upstream = { standin, proxy };
    this.#upstreams.push(upstream);
    this.#describe(upstream, 'ready');
  }

  #describe({ standin, proxy }: ReachedUpstream, state: 'ready' | 'draining'): void {
    const address = `127.0.0.1:${proxy.port}`;
    const { id, service } = standin;
    const record = { service, address, zone: 'here', slots: 16, state };
    this.#platform.write(`servers/${id}`, record, { kind: 'none' });
  }

  #changeConfiguration(): void {
    const { deliberateBreak } = this.#options;
    this.#version += 1;
    const limitFactor = deliberateBreak === 'raiseLimit' ? 100 : 1;
    const isHeld = deliberateBreak === 'holdConfiguration' && this.#version > 1;
    if (!isHeld) {
      const document = soakDocument(this.#version, limitFactor);
      this.#platform.write('config/main', document, { kind: 'none' });
    }
    this.#observations.acknowledge(this.#version);
  }

  async #inject(fault: PlannedFault): Promise<void> {
    this.#faults[fault.kind] = (this.#faults[fault.kind] ?? 0) + 1;
    const index = fault.target % this.#instances.length;
    const instance = this.#instances[index];
    const proxy = this.#storeProxies[index];
    const upstream = this.#upstreams[fault.target % this.#upstreams.length];
    if (instance === undefined || proxy === undefined || upstream === undefined) return;
    switch (fault.kind) {
      case 'kill':
        this.#observations.disturb(0);
        instance.signal('SIGKILL');
        return;
      case 'pause':
        this.#observations.disturb(fault.forMs);
        instance.signal('SIGSTOP');
        setTimeout(() => instance.signal('SIGCONT'), fault.forMs);
        return;
      case 'powerOff':
        this.#observations.disturb(fault.forMs);
        this.#observations.naming.powerOff(index);
        instance.powerOff(fault.forMs);
        return;
      case 'stop':
        this.#observations.beginStop(index, stopLimitMs);
        if (this.#options.deliberateBreak === 'killForStop') instance.signal('SIGKILL');
        else instance.stop();
        return;
      case 'reload':
        instance.signal('SIGHUP');
        return;
      case 'storeTurnsAway':
        this.#during(
          fault.forMs,
          () => proxy.setMode('refuse'),
          () => proxy.setMode('pass'),
        );
        proxy.reset();
        return;
      case 'resetUpstream':
        this.#observations.disturb(0);
        upstream.proxy.reset();
        return;
      case 'silenceUpstream':
        this.#observations.disturb(0);
        upstream.proxy.forget();
        return;
      case 'delayUpstream':
      case 'cutUpstreamOneWay': {
        const { proxy: way } = upstream;
        const mode = fault.kind === 'delayUpstream' ? 'delay' : 'dropBack';
        this.#during(
          fault.forMs,
          () => way.setMode(mode),
          () => way.setMode('pass'),
        );
        return;
      }
      case 'leaveUpstream':
        await this.#leave(upstream);
        return;
      case 'changeConfiguration':
        this.#changeConfiguration();
        return;
      default:
        this.#disturbStore(fault);
    }
  }

  #disturbStore({ kind, forMs }: PlannedFault): void {
    const modes = {
      storeAway: 'busy',
      storeSlow: 'slow',
      storeLosesAnswers: 'losesAnswers',
      storeForgets: 'forgets',
    } as const;
    const mode = modes[kind as keyof typeof modes];
    this.#during(
      forMs,
      () => {
        this.#store.mode = mode;
      },
      () => {
        this.#store.mode = 'well';
      },
    );
  }

  #during(forMs: number, begin: () => void, end: () => void): void {
    this.#observations.disturb(forMs);
    begin();
    setTimeout(end, forMs);
  }

  /** An upstream leaves in good order, and another one takes its place. */
  async #leave(upstream: ReachedUpstream): Promise<void> {
    const { standin, proxy } = upstream;
    const at = this.#upstreams.indexOf(upstream);
    if (standin.leavingSinceMs !== undefined || at < 0) return;
    this.#upstreams.splice(at, 1);
    await this.#addUpstream(standin.service);
    standin.leavingSinceMs = this.#now();
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
      faults: this.#faults,
      violations,
    };
  }
}

/**
 * Ports that nobody listens on now, for all instances at once.
 *
 * Guards against ports that are given twice, which shows as an instance that never gets ready: until
 * an instance listens its ports look free, also while it is down after a kill. So one look serves all
 * instances of a soak, each soak has a range of its own, and the ranges lie below the ports that the
 * system gives to connections.
 */
async function freePorts(count: number): Promise<number[]> {
  const found: number[] = [];
  const least = ports.least + (process.pid % ports.ranges) * ports.each;
  while (found.length < count) {
    const port = randomInt(least, least + ports.each);
    if (!found.includes(port) && (await isFree(port))) found.push(port);
  }
  return found;
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const isListening = await new Promise<boolean>((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      resolve(true);
    });
  });
  if (isListening) await closeServer(server);
  return isListening;
}

async function untilReady(port: number): Promise<void> {
  const limitMs = performance.now() + startTimes.limitMs;
  while (performance.now() < limitMs) {
    try {
      const answer = await fetch(`http://127.0.0.1:${port}/readiness`);
      if (answer.ok) return;
    } catch {
      // Nobody listens there yet.
    }
    await sleep(50);
  }
  throw new Error(`the instance at port ${port} was not ready in ${startTimes.limitMs} ms`);
}
