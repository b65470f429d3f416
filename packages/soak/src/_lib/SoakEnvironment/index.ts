import { DisposableStore, SystemClock, type Random } from '@acaciacrank/base';
import { MemoryPlatform, type PlatformCopy } from '@acaciacrank/store';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { SoakOptions } from '../../types.js';
import { buildSoakConfiguration } from '../buildSoakConfiguration/index.js';
import { FakeStore } from '../FakeStore/index.js';
import { FakeUpstream } from '../FakeUpstream/index.js';
import { FaultProxy } from '../FaultProxy/index.js';
import { findFreePorts } from '../findFreePorts/index.js';
import { InstanceProcess, soakMachine } from '../InstanceProcess/index.js';
import { UpstreamCut } from '../UpstreamCut/index.js';
import { waitUntilReady } from '../waitUntilReady/index.js';
import type { Observations } from '../Observations/index.js';

/** A fake upstream and the fault proxy through which instances reach it. */
export interface ProxiedUpstream {
  readonly server: FakeUpstream;
  readonly proxy: FaultProxy;
}

/** An instance and the fault proxy through which it reaches the store. */
export interface ProxiedInstance {
  readonly process: InstanceProcess;
  readonly storeProxy: FaultProxy;
  readonly upstreamCut: UpstreamCut;
}

/** Options of {@link SoakEnvironment}. */
export interface SoakEnvironmentOptions extends SoakOptions {
  readonly random: Random;
  readonly observations: Observations;
  /** Whether some streams are long. */
  readonly hasLongStreams: boolean;
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
}

/** Ports for callers, readiness, the directory and links between instances. */
const portsPerInstance = 4;
/** Number of upstreams by service. */
const upstreamsPerService = { app: 3, records: 2, lm: 3 } as const;
/** Time between readiness of all instances and the start of the load, in milliseconds. */
const settleMs = 1_500;
/** Interval between copies of the store and their number, for {@link SoakEnvironment.restoreStore}. */
const copyTimes = { intervalMs: 500, count: 41 } as const;
/** Time for which a draining upstream keeps serving before it is removed. */
const drainMs = 5_000;
/** The service of engines, and the version of the software that all upstreams run at first. */
const engineService = 'lm';
const firstVersion = 'v1';
/** Time after which the record of an engine that has started again says so. */
const recordDelayMs = 1_000;
/** Time that an upstream takes to start again after its end. */
const upstreamRestartMs = 1_000;

/** The instances under test with the fake store, the fake upstreams and the fault proxies between them. */
export class SoakEnvironment implements AsyncDisposable {
  readonly store: FakeStore;
  readonly instances: ProxiedInstance[] = [];
  readonly upstreams: ProxiedUpstream[] = [];
  readonly #options: SoakEnvironmentOptions;
  readonly #owned = new DisposableStore();
  readonly #platform = new MemoryPlatform(new SystemClock());
  /** Copies of the store, the oldest first. */
  #copies: PlatformCopy[] = [];
  readonly #draining = new Set<ProxiedUpstream>();
  readonly #removedKeys = new Set<string>();
  #version = 0;
  #upstreamCount = 0;
  #versionCount = 0;

  constructor(options: SoakEnvironmentOptions) {
    this.#options = options;
    this.store = this.#owned.add(new FakeStore(this.#platform, options.random));
  }

  /**
   * Starts everything and waits until all instances are ready.
   *
   * @throws {Error} if an instance is not ready in time
   */
  async start(): Promise<void> {
    const { instances, directory } = this.#options;
    const storePort = await this.store.listen();
    this.changeConfiguration();
    for (const [service, count] of Object.entries(upstreamsPerService)) {
      for (let index = 0; index < count; index += 1) await this.#addUpstream(service);
    }
    const freePorts = await findFreePorts(portsPerInstance * instances);
    for (let index = 0; index < instances; index += 1) {
      const storeProxy = this.#owned.add(new FaultProxy(storePort));
      const [front = 0, ready = 0, directoryPort = 0, fleet = 0] = freePorts.splice(
        0,
        portsPerInstance,
      );
      const upstreamCut = new UpstreamCut(join(directory, `instance-${index}.cut`));
      upstreamCut.end();
      const process = new InstanceProcess({
        name: `instance-${index}`,
        upstreamCut,
        ports: { front, ready, directory: directoryPort, fleet },
        storePort: await storeProxy.listen(),
        directory,
        machine: soakMachine,
      });
      this.instances.push({ process, storeProxy, upstreamCut });
      process.start();
    }
    await Promise.all(this.instances.map(({ process }) => waitUntilReady(process)));
    const copying = setInterval(() => {
      this.#copies = [...this.#copies, this.#platform.copy()].slice(-copyTimes.count);
    }, copyTimes.intervalMs);
    this.#owned.add({
      [Symbol.dispose]: () => {
        clearInterval(copying);
      },
    });
    await sleep(settleMs);
  }

  /** Milliseconds from the start of the run. */
  get now(): () => number {
    return this.#options.now;
  }

  /** Puts the store back to a copy; everything written since is lost. */
  restoreStore(ageMs: number): void {
    const index = this.#copies.length - 1 - Math.floor(ageMs / copyTimes.intervalMs);
    const copy = this.#copies[Math.max(0, index)];
    if (copy === undefined) return;
    this.#copies = this.#copies.slice(0, Math.max(0, index) + 1);
    this.#platform.restore(copy);
  }

  /** Writes again what the operator and the upstreams have written, after a restore. */
  writeAgain(): void {
    this.#writeConfiguration();
    for (const upstream of this.upstreams) this.#writeUpstreamRecord(upstream, 'ready');
    for (const upstream of this.#draining) this.#writeUpstreamRecord(upstream, 'draining');
    for (const key of this.#removedKeys) this.#removeUpstreamRecord(key);
  }

  /** Writes the next version of the configuration and records its acknowledgement. */
  changeConfiguration(): void {
    this.#version += 1;
    this.#writeConfiguration();
    this.#options.observations.noteAcknowledgement(this.#version);
  }

  #writeConfiguration(): void {
    const { injectedDefect } = this.#options;
    const prepaidFactor = injectedDefect === 'raiseLimit' ? 100 : 1;
    const isWithheld = injectedDefect === 'holdConfiguration' && this.#version > 1;
    if (isWithheld) return;
    const document = buildSoakConfiguration(this.#version, prepaidFactor);
    this.#platform.write('config/main', document, { kind: 'none' });
  }

  /** Adds a replacement for an upstream, drains the upstream and removes it after `drainMs`. */
  async leave(upstream: ProxiedUpstream): Promise<void> {
    const { server } = upstream;
    if (server.drainingSinceMs !== undefined || !this.upstreams.includes(upstream)) return;
    // Another fault must not take it meanwhile.
    this.upstreams.splice(this.upstreams.indexOf(upstream), 1);
    await this.#addUpstream(server.service, server.run.softwareVersion);
    this.#drain(upstream);
  }

  /** Drains an upstream and removes it after `drainMs`. */
  #drain(upstream: ProxiedUpstream): void {
    const { server, proxy } = upstream;
    if (server.drainingSinceMs !== undefined) return;
    const index = this.upstreams.indexOf(upstream);
    if (index >= 0) this.upstreams.splice(index, 1);
    const { injectedDefect, observations } = this.#options;
    server.drainingSinceMs = this.#options.now();
    server.isLeavingHidden = injectedDefect === 'hideLeaving' || injectedDefect === 'holdLeaving';
    if (server.isLeavingHidden) return;
    this.#writeUpstreamRecord(upstream, 'draining');
    this.#draining.add(upstream);
    setTimeout(() => {
      const key = `servers/${server.id}`;
      this.#draining.delete(upstream);
      this.#removedKeys.add(key);
      this.#removeUpstreamRecord(key);
      proxy.reset();
      proxy.setMode('refuse');
      observations.soundAnswers.noteUpstreamFault(server.id, Infinity);
    }, drainMs);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.instances.map(({ process }) => process.end()));
    await this.#owned.dispose();
  }

  /**
   * Adds two engines of a new version, and lets one of the others start again under its id with that version; its
   * record states that later. The two leave at the end.
   */
  async mixVersions(durationMs: number): Promise<void> {
    this.#versionCount += 1;
    const version = `v1.${this.#versionCount}`;
    const [restarted] = this.upstreams.filter(({ server }) => server.service === engineService);
    const added = [
      await this.#addUpstream(engineService, version),
      await this.#addUpstream(engineService, version),
    ];
    setTimeout(() => {
      if (restarted === undefined || !this.upstreams.includes(restarted)) return;
      restarted.server.startAgain(version);
      this.#options.observations.soundAnswers.noteUpstreamFault(restarted.server.id, recordDelayMs);
      setTimeout(() => {
        if (this.upstreams.includes(restarted)) this.#writeUpstreamRecord(restarted, 'ready');
      }, recordDelayMs);
    }, durationMs / 2);
    setTimeout(() => {
      for (const upstream of added) this.#drain(upstream);
    }, durationMs);
  }

  async #addUpstream(service: string, softwareVersion = firstVersion): Promise<ProxiedUpstream> {
    this.#upstreamCount += 1;
    const id = `u${this.#upstreamCount}`;
    const { observations, now, hasLongStreams } = this.#options;
    const onEnd = (ended: FakeUpstream) => {
      this.endUpstream(ended);
    };
    const common = { observations, hasLongStreams, now, onEnd };
    const server = this.#owned.add(new FakeUpstream({ id, service, softwareVersion, ...common }));
    const proxy = this.#owned.add(new FaultProxy(await server.listen()));
    await proxy.listen();
    const upstream = { server, proxy };
    this.upstreams.push(upstream);
    this.#writeUpstreamRecord(upstream, 'ready');
    return upstream;
  }

  /** The process of an upstream ends, and is started again. */
  endUpstream(ended: FakeUpstream): void {
    const { observations } = this.#options;
    observations.noteDisturbance(upstreamRestartMs);
    observations.noteUpstreamDisturbance(ended.id, upstreamRestartMs);
    observations.soundAnswers.noteUpstreamFault(ended.id, upstreamRestartMs);
    const proxy = this.upstreams.find(({ server }) => server === ended)?.proxy;
    proxy?.goDown();
    setTimeout(() => {
      proxy?.comeBack();
    }, upstreamRestartMs);
  }

  #removeUpstreamRecord(key: string): void {
    const stored = this.#platform.read(key);
    if (stored !== undefined) this.#platform.remove(key, stored.version);
  }

  #writeUpstreamRecord({ server, proxy }: ProxiedUpstream, state: 'ready' | 'draining'): void {
    const address = `127.0.0.1:${proxy.port}`;
    const { id, service, run } = server;
    const isHidden = this.#options.injectedDefect === 'hideVersion';
    const version = isHidden ? firstVersion : run.softwareVersion;
    const born = run.bornMs;
    const record = { service, address, zone: 'here', version, born, slots: 16, state };
    this.#platform.write(`servers/${id}`, record, { kind: 'none' });
  }
}
