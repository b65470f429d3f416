/**
 * Starts the project's program as separate processes, with the command of the deploy file and a settings file as
 * DEPLOY.md describes it. Each machine has a loopback address of its own, so that all use the same ports.
 */
import { spawn } from 'node:child_process';
import {
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { get } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

export const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const ports = { front: 8227, ready: 8220, control: 8229, directory: 8224, range: [7340, 7355] };
const restartMs = 200;

/** Figures of the sheet of a small deployment. */
export const bounds = {
  seedLagS: 3,
  reuseAfterS: 2,
  stableWindowMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configMs: 2000,
  rollbackSlackMs: 250,
  maxStretchMs: 5000,
  strictRevoke: false,
  revokeMs: 5000,
  budgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 58,
  recoveryS: 12,
  eventDelayMs: 120,
  retryAfterS: 10,
  settle_ms: 1500,
  ttl_max_s: 5,
};

/** A network of loopback addresses that no other run uses: 127.X.Y.Z. */
export function chooseNetwork() {
  const draw = () => 10 + Math.floor(Math.random() * 200);
  return `127.${draw()}.${draw()}`;
}

function runCommand() {
  const text = readFileSync(join(root, 'deploy', 'system.toml'), 'utf8');
  const command = /^run = "(.*)"$/m.exec(text)?.[1];
  if (command === undefined) throw new Error('the deploy file names no command');
  return command.split(' ');
}

export class Machine {
  #child;
  #settings;
  #log;
  #isEnded = false;
  #isHeld = false;
  starts = 0;
  exits = [];

  constructor({ name, zone, ip, storeAddress, directory, seeds, extra = '' }) {
    Object.assign(this, { name, zone, ip });
    this.#settings = join(directory, `${name}.toml`);
    this.#log = join(directory, `${name}.log`);
    this.render = (isFirst) =>
      renderSettings({ name, zone, ip, storeAddress, seeds, isFirst, extra });
  }

  get front() {
    return `${this.ip}:${ports.front}`;
  }

  get directory() {
    return `${this.ip}:${ports.directory}`;
  }

  get pid() {
    return this.#child?.pid;
  }

  get log() {
    return readFileSync(this.#log, 'utf8');
  }

  start() {
    this.starts += 1;
    writeFileSync(this.#settings, this.render(this.starts === 1));
    const [program, ...words] = runCommand();
    const log = openSync(this.#log, 'a');
    const { PATH, HOME } = process.env;
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: root,
      env: { PATH, HOME, ACACIACRANK_BOOT: this.#settings },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.#child = child;
    child.once('exit', (code, signal) => {
      this.exits.push(signal ?? String(code));
      this.#child = undefined;
      if (!this.#isEnded && !this.#isHeld) setTimeout(() => this.#restart(), restartMs);
    });
  }

  signal(name) {
    this.#child?.kill(name);
  }

  /** SIGKILL, and dark until it is started again. */
  kill() {
    this.#isHeld = true;
    this.#child?.kill('SIGKILL');
  }

  async startAgain() {
    while (this.#child !== undefined) await sleep(10);
    this.#isHeld = false;
    this.start();
  }

  async end() {
    this.#isEnded = true;
    this.#child?.kill('SIGKILL');
    while (this.#child !== undefined) await sleep(10);
  }

  async isReady() {
    return (await fetchText(`http://${this.ip}:${ports.ready}/readiness`)).status === 200;
  }

  #restart() {
    if (!this.#isEnded && !this.#isHeld && this.#child === undefined) this.start();
  }
}

export class Fleet {
  machines = [];
  directory = mkdtempSync(join(tmpdir(), 'review-2-'));

  constructor({ network, zones, storeAddress, extra }) {
    mkdirSync(this.directory, { recursive: true });
    const ips = zones.map((_, index) => `${network}.${index + 11}`);
    const seeds = ips.slice(0, 3).map((ip) => `${ip}:${ports.control}`);
    this.machines = zones.map((zone, index) => {
      const name = `front-${zone}-${index + 1}`;
      const place = { directory: this.directory, storeAddress, seeds, extra };
      return new Machine({ name, zone, ip: ips[index], ...place });
    });
  }

  async start() {
    for (const machine of this.machines) machine.start();
    const untilMs = performance.now() + 15_000;
    for (const machine of this.machines) {
      while (!(await machine.isReady())) {
        if (performance.now() > untilMs)
          throw new Error(`${machine.name} is not ready: ${machine.log.slice(-500)}`);
        await sleep(50);
      }
    }
  }

  async end() {
    await Promise.all(this.machines.map((machine) => machine.end()));
    if (process.env.KEEP_LOGS === undefined)
      rmSync(this.directory, { recursive: true, force: true });
    else process.stdout.write(`logs: ${this.directory}\n`);
  }
}

export function fetchText(url) {
  return new Promise((resolve) => {
    const request = get(url, { agent: false, timeout: 1_000 }, (response) => {
      let body = '';
      response.on('data', (part) => (body += part));
      response.on('end', () => resolve({ status: response.statusCode, body }));
      response.on('error', () => resolve({ status: 0, body: '' }));
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve({ status: 0, body: '' }));
  });
}

function renderSettings({ name, zone, ip, storeAddress, seeds, isFirst, extra }) {
  const figures = Object.entries(bounds).map(([field, value]) => `${field} = ${value}`);
  return `nodeName = "${name}"
role = "entry"
machineClass = "front"
serves = ["front","directory"]
ip = "${ip}"
zone = "${zone}"
region = "nz-north"
portRange = [${ports.range.join(',')}]
seeds = ${JSON.stringify(seeds)}
bootstrap = ${isFirst}
lossCounted = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
wellington = "nz-north"
auckland = "nz-north"
hamilton = "nz-north"
[listen]
front = "${ip}:${ports.front}"
ready = "${ip}:${ports.ready}"
control = "${ip}:${ports.control}"
directory = "${ip}:${ports.directory}"
[limits]
cpuShare = 0.513
cores = 2
memoryMb = 420
maxFds = 6150
linkMbps = 1500.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
${figures.join('\n')}
${extra}
[platform]
address = "${storeAddress}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyWindowS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;
}
