/** Starts instances of the system with the command of deploy/system.toml, between stand-ins on loopback addresses. */
import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
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

async function freePorts(count) {
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = createServer();
      await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
      return server;
    }),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** The settings of DEPLOY.md with the bounds of site refugio-reservas. */
function settingsText({ name, zone, ports, storePort }) {
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
bootstrap = true
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
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
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
  constructor(name, directory, command, env, frontPort, readyPort) {
    this.name = name;
    this.frontPort = frontPort;
    this.readyPort = readyPort;
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

/** The store, the instances and a temporary folder for their settings and logs. */
export class SystemUnderTest {
  store = new StoreStandIn();
  instances = [];
  #directory = mkdtempSync(join(tmpdir(), 'review-'));
  #storePort;

  constructor() {
    // Also ends what was started if the case takes too long or fails.
    process.once('exit', () => {
      for (const instance of this.instances) instance.signal('SIGKILL');
    });
  }

  /** Writes a desired state with one tenant. */
  configure({ routes, services, prepaid = 1_000_000_000 }) {
    const limits = {
      headerBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    };
    const tenants = [{ name: 'hule930', apiKeys: [apiKey], priority: 1, prepaid }];
    this.store.put('config', 'main', { version: 7, routes, services, limits, tenants });
  }

  /** Registers a server as PROTOCOL.md says. */
  register({ id, service, port, zone, slots, born }) {
    const state = { state: 'ready', coldMs: 0, seqNo: 1, born };
    const spec = { service, address: `127.0.0.1:${port}`, zone, version: 'v1', slots, ...state };
    this.store.put('servers', id, spec);
  }

  async start(count) {
    this.#storePort = await this.store.listen();
    for (let index = 0; index < count; index += 1) {
      const ports = await freePorts(5);
      const name = `front-${zones[index % zones.length]}-1`;
      const zone = zones[index % zones.length];
      const file = join(this.#directory, `${name}.toml`);
      writeFileSync(file, settingsText({ name, zone, ports, storePort: this.#storePort }));
      const command = commandOf(ports[4]);
      const env = { ACACIACRANK_BOOT: file };
      this.instances.push(
        new InstanceProcess(name, this.#directory, command, env, ports[0], ports[1]),
      );
    }
    const untilMs = performance.now() + 20_000;
    for (const instance of this.instances) {
      while (!(await instance.isReady())) {
        if (performance.now() > untilMs || instance.hasExited)
          throw new Error(`${instance.name} is not ready`);
        await sleep(50);
      }
    }
    // Traffic starts a while after the machines do; DEPLOY.md says 12 s, the fleet needs about one.
    await sleep(2_500);
  }

  async stop() {
    for (const instance of this.instances) instance.signal('SIGKILL');
    await Promise.all(this.instances.map(({ exited }) => exited));
    this.store.close();
    if (process.env.KEEP === '1') process.stderr.write(`logs in ${this.#directory}\n`);
    else rmSync(this.#directory, { recursive: true, force: true });
  }
}
