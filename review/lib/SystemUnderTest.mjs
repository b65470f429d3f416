/** Starts instances of the system with the command of deploy/system.toml, between stand-ins on loopback addresses. */
import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { SilencingProxy } from './SilencingProxy.mjs';
import { StoreStandIn } from './StoreStandIn.mjs';

const projectRoot = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
/** The host of all routes, and the tenant's key. */
export const host = 'ficu95.example';
export const apiKey = 'n2ctnfzs989anu6wsjnb';
const zones = ['medellin-a', 'medellin-b', 'envigado', 'rionegro'];

/** The words of `run` of the only role in the deploy file, with the metrics on a port of this run. */
function commandOf(metricsPort) {
  const deploy = readFileSync(join(projectRoot, 'deploy', 'system.toml'), 'utf8');
  const words = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
  const at = words.indexOf('--metrics-port');
  if (at >= 0) words[at + 1] = String(metricsPort);
  return words;
}

function zoneInTurn(index) {
  return zones[index % zones.length];
}

/**
 * Ports of processes that start later lie below those that the kernel gives to outgoing channels, so that none of these
 * takes one meanwhile.
 */
const portRange = { first: 20_000, count: 12_000 };
let nextPort = Math.floor(Math.random() * portRange.count);

/** Finds free ports, each one only once. */
async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    nextPort = (nextPort + 1) % portRange.count;
    const port = portRange.first + nextPort;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Bounds that differ between the deployments; by default those of site refugio-reservas. */
const smallSite = { stableWindowMs: 3_000, ackMs: 4_000, drainMs: 2_000, configMs: 2_000 };

/** The settings of DEPLOY.md with the bounds of a site. */
function settingsText({ name, zone, ports, storePort, bounds, isFirstStart }) {
  const [front, ready, directory, fleet] = ports;
  return `nodeName = "${name}"
role = "entry"
machineClass = "front"
serves = ["front","directory"]
ip = "127.0.0.1"
zone = "${zone}"
region = "antioquia"
portRange = [${fleet},${fleet}]
seeds = []
bootstrap = ${isFirstStart}
lossCounted = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
${zones.map((one) => `${one} = "antioquia"`).join('\n')}
[listen]
front = "127.0.0.1:${front}"
ready = "127.0.0.1:${ready}"
directory = "127.0.0.1:${directory}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = ${bounds.stableWindowMs}
ackMs = ${bounds.ackMs}
catchUpS = 4
drainMs = ${bounds.drainMs}
graceS = 8
lossSlackMs = 200
configMs = ${bounds.configMs}
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = false
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
recoveryS = 12
eventDelayMs = 120
retryAfterS = 10
settle_ms = 1500
ttl_max_s = 5
[platform]
address = "127.0.0.1:${storePort}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyWindowS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;
}

/** One process of the system. */
class InstanceProcess {
  constructor({ name, zone, proxy, directory, command, env, ports }) {
    this.name = name;
    this.zone = zone;
    /** Its proxy before the store; undefined if it has none. */
    this.proxy = proxy;
    [this.frontPort, this.readyPort] = ports;
    this.hasExited = false;
    const [program, ...words] = command;
    const log = openSync(join(directory, `${name}.log`), 'a');
    this.child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: projectRoot,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, ...env },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        this.hasExited = true;
        resolve(signal ?? code);
      });
    });
  }

  signal(name) {
    if (!this.hasExited) this.child.kill(name);
  }

  async isReady() {
    try {
      const answer = await fetch(`http://127.0.0.1:${this.readyPort}/readiness`, {
        signal: AbortSignal.timeout(1_000),
      });
      return answer.status === 200;
    } catch {
      return false;
    }
  }
}

async function waitUntilReady(instance, untilMs) {
  while (!(await instance.isReady())) {
    if (performance.now() > untilMs || instance.hasExited)
      throw new Error(`${instance.name} is not ready`);
    await sleep(20);
  }
}

/** The store, the instances and a temporary folder for their settings and logs. */
export class SystemUnderTest {
  store = new StoreStandIn();
  instances = [];
  #directory = mkdtempSync(join(tmpdir(), 'review-'));
  #proxies = [];
  #storePort;

  constructor() {
    // Also ends what was started if the case takes too long or fails.
    process.once('exit', () => {
      for (const instance of this.instances) instance.signal('SIGKILL');
    });
  }

  /** Writes a desired state with one tenant. */
  configure({ routes, services, tenant = 'hule930', prepaid = 1_000_000_000, version = 7 }) {
    const limits = {
      headerBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    };
    const tenants = [{ name: tenant, apiKeys: [apiKey], priority: 1, prepaid }];
    this.store.put('config', 'main', { version, routes, services, limits, tenants });
  }

  /** Registers a server as PROTOCOL.md says. */
  register({ id, service, port, zone, slots, born }) {
    const state = { state: 'ready', coldMs: 0, seqNo: 1, born };
    const spec = { service, address: `127.0.0.1:${port}`, zone, version: 'v1', slots, ...state };
    this.store.put('servers', id, spec);
  }

  /**
   * Starts instances and waits until they are ready.
   *
   * @param count - number of instances
   * @param options - `bounds` of the site, `zoneOf(index)`, and whether each reaches the store through a proxy of its own
   */
  async start(count, { bounds = smallSite, zoneOf = zoneInTurn, hasProxies = false } = {}) {
    this.#storePort = await this.store.listen();
    for (let index = 0; index < count; index += 1) {
      const proxy = hasProxies ? new SilencingProxy(this.#storePort) : undefined;
      if (proxy !== undefined) this.#proxies.push(proxy);
      await this.#launch({ bounds, zone: zoneOf(index), proxy, isFirstStart: true });
    }
    const untilMs = performance.now() + 20_000;
    for (const instance of this.instances) await waitUntilReady(instance, untilMs);
    // Traffic starts a while after the machines do; DEPLOY.md says 12 s, the fleet needs about one.
    await sleep(2_500);
  }

  /** Adds a machine while the others run, and waits until it is ready. */
  async add(zone) {
    const instance = await this.#launch({ bounds: smallSite, zone, isFirstStart: false });
    await waitUntilReady(instance, performance.now() + 20_000);
    return instance;
  }

  async #launch({ bounds, zone, proxy, isFirstStart }) {
    const ports = await freePorts(5);
    const number = 1 + this.instances.filter((one) => one.zone === zone).length;
    const name = `front-${zone}-${number}`;
    const file = join(this.#directory, `${name}.toml`);
    const storePort = proxy === undefined ? this.#storePort : await proxy.listen();
    writeFileSync(file, settingsText({ name, zone, ports, storePort, bounds, isFirstStart }));
    const env = { ACACIACRANK_BOOT: file };
    const options = { name, zone, proxy, directory: this.#directory, env, ports };
    const instance = new InstanceProcess({ ...options, command: commandOf(ports[4]) });
    this.instances.push(instance);
    return instance;
  }

  async stop() {
    for (const instance of this.instances) instance.signal('SIGKILL');
    await Promise.all(this.instances.map(({ exited }) => exited));
    this.store.close();
    for (const proxy of this.#proxies) proxy.close();
    if (process.env.KEEP === '1') process.stderr.write(`logs in ${this.#directory}\n`);
    else rmSync(this.#directory, { recursive: true, force: true });
  }
}
