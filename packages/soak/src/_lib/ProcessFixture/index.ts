/**
 * Test fixture: real programs as processes of their own, between scripted upstreams and the test as their caller.
 */
import { DisposableStore, SystemClock } from '@acaciacrank/base';
import { MemoryPlatform } from '@acaciacrank/store';
import { mkdtemp, rm } from 'node:fs/promises';
import { createServer, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { buildSoakConfiguration } from '../buildSoakConfiguration/index.js';
import { FakeStore } from '../FakeStore/index.js';
import { findFreePorts } from '../findFreePorts/index.js';
import { InstanceProcess, type MachineLimits } from '../InstanceProcess/index.js';
import { closeServer, listenOnLoopback } from '../listenOnLoopback/index.js';
import { UpstreamCut } from '../UpstreamCut/index.js';
import { waitUntilReady } from '../waitUntilReady/index.js';

/** Called with each request head that a scripted upstream receives. */
export type RawUpstreamScript = (socket: Socket, head: string) => void;

const portsPerInstance = 4;

/** Instances with their store; dispose of it after the test. */
export class ProcessFixture implements AsyncDisposable {
  readonly platform = new MemoryPlatform(new SystemClock());
  readonly instances: InstanceProcess[] = [];
  readonly upstreamCuts: UpstreamCut[] = [];
  readonly upstreamPorts: number[] = [];
  readonly #owned = new DisposableStore();
  readonly store = this.#owned.add(new FakeStore(this.platform, () => 0.5));
  readonly #machine: MachineLimits | undefined;

  /** @param machine - what the settings of the instances say of their machines; nothing by default */
  constructor(machine?: MachineLimits) {
    this.#machine = machine;
  }

  /**
   * Starts a scripted upstream and writes its record.
   *
   * @param service - name of its service
   * @param script - answers its requests
   * @param openWay - starts what stands between it and the instances, and returns its port; nothing by default
   */
  async addUpstream(
    service: string,
    script: RawUpstreamScript,
    openWay = (port: number) => Promise.resolve(port),
  ): Promise<void> {
    const sockets = new Set<Socket>();
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('data', (bytes) => {
        script(socket, bytes.toString('latin1'));
      });
    });
    const port = await listenOnLoopback(server);
    this.#owned.add({
      [Symbol.asyncDispose]: async () => {
        for (const socket of sockets) socket.destroy();
        await closeServer(server);
      },
    });
    const wayPort = await openWay(port);
    this.upstreamPorts.push(wayPort);
    const address = `127.0.0.1:${wayPort}`;
    const record = { service, address, zone: 'here', slots: 64, state: 'ready', version: 'v1' };
    this.platform.write(`servers/u${this.upstreamPorts.length}`, record, { kind: 'none' });
  }

  /** How often processes of instances have ended. */
  get exitCount(): number {
    return this.instances.reduce((sum, { exitCount }) => sum + exitCount, 0);
  }

  /** Disposes of something with the fixture. */
  own<T extends Disposable | AsyncDisposable>(disposable: T): T {
    return this.#owned.add(disposable);
  }

  /** Starts instances and waits until they are ready. */
  async start(count: number): Promise<void> {
    await this.#launch(count);
    await Promise.all(this.instances.map((instance) => waitUntilReady(instance)));
  }

  /** Starts one instance with a given port for callers, without waiting until it is ready. */
  async startWithoutWaiting({ callers }: { callers: number }): Promise<InstanceProcess> {
    await this.#launch(1, callers);
    const [instance] = this.instances;
    if (instance === undefined) throw new Error('no instance was started');
    return instance;
  }

  async #launch(count: number, callersPort?: number): Promise<void> {
    this.platform.write('config/main', buildSoakConfiguration(1), { kind: 'none' });
    const storePort = await this.store.listen();
    const directory = await mkdtemp(join(tmpdir(), 'acaciacrank-'));
    this.#owned.add({
      [Symbol.asyncDispose]: () => rm(directory, { recursive: true, force: true }),
    });
    const freePorts = await findFreePorts(portsPerInstance * count);
    for (let index = 0; index < count; index += 1) {
      const [front = 0, ready = 0, directoryPort = 0, fleet = 0] = freePorts.splice(
        0,
        portsPerInstance,
      );
      const name = `instance-${index}`;
      const upstreamCut = new UpstreamCut(join(directory, `${name}.cut`));
      this.upstreamCuts.push(upstreamCut);
      const instance = new InstanceProcess({
        name,
        ports: { front: callersPort ?? front, ready, directory: directoryPort, fleet },
        storePort,
        directory,
        upstreamCut,
        machine: this.#machine,
      });
      this.instances.push(instance);
      instance.start();
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.instances.map((instance) => instance.end()));
    await this.#owned.dispose();
  }
}
