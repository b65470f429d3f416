import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { cutFileVariable, cutModule, type UpstreamCut } from '../UpstreamCut/index.js';

/** Ports that an instance listens on: for callers, readiness, the directory and links between instances. */
export interface InstancePorts {
  readonly front: number;
  readonly ready: number;
  readonly directory: number;
  readonly fleet: number;
}

/** Options of {@link InstanceProcess}. */
export interface InstanceProcessOptions {
  readonly name: string;
  readonly ports: InstancePorts;
  /** Port at which this instance connects to the store. */
  readonly storePort: number;
  /** Directory for the settings file and the log. */
  readonly directory: string;
  /** Cuts the process off from upstreams. */
  readonly upstreamCut: UpstreamCut;
  /** The machine that the settings describe; none by default. */
  readonly machine?: MachineLimits | undefined;
}

/** The machine of the instances of a soak: the one that most deployments have. */
export const soakMachine: MachineLimits = { memoryMb: 255, maxFds: 4_100 };

/** What a process may use of its machine. */
export interface MachineLimits {
  readonly memoryMb: number;
  readonly maxFds: number;
}

/** Path of the program under test, as built in this workspace. */
const program = fileURLToPath(import.meta.resolve('@acaciacrank/platform')).replace(
  /index\.js$/,
  'bin.js',
);
/** Time limit for a graceful shutdown; after it the process is killed. */
export const stopLimitMs = 8_000;
/** Bounds that are written to the settings of the instances and that the checks assume. */
export const bounds = {
  stableWindowMs: 3_000,
  budgetRatio: 0.2,
  budgetWindowMs: 10_000,
  budgetSlack: 58,
} as const;

/** Options of the processes in deploy/system.toml. */
const deployedHeapOptions = ['--max-old-space-size=128', '--max-semi-space-size=4'];

/** Tolerance that checks add to a time limit, since a busy test machine causes delays. */
export const toleranceMs = 1_500;

/** One instance as a separate process, which is restarted whenever it exits. */
export class InstanceProcess {
  readonly #options: InstanceProcessOptions;
  #child: ChildProcess | undefined;
  readonly #exits: string[] = [];
  #isDisposed = false;

  constructor(options: InstanceProcessOptions) {
    this.#options = options;
    writeFileSync(this.#settingsPath, renderSettings(options));
  }

  get ports(): InstancePorts {
    return this.#options.ports;
  }

  /** Summary of the process state and its exits, for the error when the instance is not ready in time. */
  get stateSummary(): string {
    const { name } = this.#options;
    const pid = this.#child?.pid;
    const state = pid === undefined ? 'is not running' : `is running with pid ${pid}`;
    return `${name} ${state}, exited ${this.#exits.length} times (codes or signals: ${this.#exits.join(', ')})`;
  }

  /** What it has logged so far. */
  get logLines(): readonly string[] {
    return readFileSync(this.#logPath, 'utf8').split('\n');
  }

  /** Id of the process; undefined while it is not running. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** Codes or signals of its exits so far. */
  get exits(): readonly string[] {
    return this.#exits;
  }

  /** How often the process has exited. */
  get exitCount(): number {
    return this.#exits.length;
  }

  /** Starts the process; its output is appended to its log file. */
  start(): void {
    const { upstreamCut, machine } = this.#options;
    const log = openSync(this.#logPath, 'a');
    const settings = ['--settings', this.#settingsPath];
    const heap = machine === undefined ? [] : deployedHeapOptions;
    const child = spawn(process.execPath, [...heap, '--import', cutModule, program, ...settings], {
      stdio: ['ignore', log, log],
      env: { ...process.env, [cutFileVariable]: upstreamCut.file },
    });
    closeSync(log);
    this.#child = child;
    child.once('exit', (code, signal) => {
      this.#exits.push(String(code ?? signal));
      if (this.#child === child) this.#child = undefined;
      if (!this.#isDisposed) setTimeout(() => this.#restart(), 200);
    });
  }

  /** Sends a signal to this process only. */
  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  /** Starts a graceful shutdown; kills the process if it has not exited within {@link stopLimitMs}. */
  stop(): void {
    const child = this.#child;
    child?.kill('SIGTERM');
    setTimeout(() => child?.kill('SIGKILL'), stopLimitMs).unref();
  }

  /**
   * Simulates a loss of power: the process is suspended, so that it sends nothing and its open
   * connections hang, and is killed and restarted after the duration.
   */
  powerOff(durationMs: number): void {
    const child = this.#child;
    child?.kill('SIGSTOP');
    setTimeout(() => child?.kill('SIGKILL'), durationMs).unref();
  }

  /** Kills the process without a restart; resolves once it has exited. */
  async end(): Promise<void> {
    this.#isDisposed = true;
    const child = this.#child;
    if (child === undefined || child.exitCode !== null) return;
    const exited = new Promise<void>((resolve) => child.once('exit', () => resolve()));
    child.kill('SIGKILL');
    await exited;
  }

  get #logPath(): string {
    return join(this.#options.directory, `${this.#options.name}.log`);
  }

  get #settingsPath(): string {
    return join(this.#options.directory, `${this.#options.name}.toml`);
  }

  #restart(): void {
    if (!this.#isDisposed && this.#child === undefined) this.start();
  }
}

function renderSettings(options: InstanceProcessOptions): string {
  const { name, ports, storePort, machine } = options;
  return `nodeName = "${name}"
zone = "here"
portRange = [${ports.fleet}, ${ports.fleet}]
[listen]
front = "127.0.0.1:${ports.front}"
ready = "127.0.0.1:${ports.ready}"
directory = "127.0.0.1:${ports.directory}"
[bounds]
stableWindowMs = ${bounds.stableWindowMs}
graceS = ${stopLimitMs / 1_000}
budgetRatio = ${bounds.budgetRatio}
budgetWindowS = ${bounds.budgetWindowMs / 1_000}
budgetSlack = ${bounds.budgetSlack}
ttl_max_s = 5
${machine === undefined ? '' : `[limits]\nmemoryMb = ${machine.memoryMb}\nmaxFds = ${machine.maxFds}`}
[platform]
address = "127.0.0.1:${storePort}"
`;
}
