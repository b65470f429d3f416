import { spawn, type ChildProcess } from 'node:child_process';
import { openSync, closeSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** Where an instance listens. */
export interface InstancePorts {
  readonly front: number;
  readonly ready: number;
  readonly directory: number;
  readonly fleet: number;
}

/** Options of {@link InstanceProcess}. */
export interface InstanceProcessOptions {
  readonly name: string;
  /** The program's file. */
  readonly program: string;
  readonly ports: InstancePorts;
  /** Where this instance reaches the store. */
  readonly storePort: number;
  readonly directory: string;
}

/** How long a process may take over a planned stop, in milliseconds; then it is killed. */
export const stopLimitMs = 8_000;
/** The bounds that the settings name; the checks go by the same. */
export const bounds = {
  stableWindowMs: 3_000,
  budgetRatio: 0.2,
  budgetWindowMs: 10_000,
  budgetSlack: 58,
} as const;

/** What a busy test machine may add to a bound on time, in milliseconds. */
export const slackMs = 1_500;

/** One instance as a process of its own, which is started again whenever it ends. */
export class InstanceProcess {
  readonly #options: InstanceProcessOptions;
  #child: ChildProcess | undefined;
  readonly #exits: string[] = [];
  #isEnding = false;

  constructor(options: InstanceProcessOptions) {
    this.#options = options;
    writeFileSync(this.#settingsPath, settingsText(options));
  }

  /** Where the instance listens. */
  get ports(): InstancePorts {
    return this.#options.ports;
  }

  /** What became of the process so far, for who has to find out why it does not answer. */
  get account(): string {
    const { name } = this.#options;
    const pid = this.#child?.pid;
    const state = pid === undefined ? 'does not run' : `runs as ${pid}`;
    return `${name} ${state}, ended ${this.#exits.length} times (${this.#exits.join(', ')})`;
  }

  /** Starts the process. */
  start(): void {
    const { program, directory, name } = this.#options;
    const log = openSync(join(directory, `${name}.log`), 'a');
    const child = spawn(process.execPath, [program, '--settings', this.#settingsPath], {
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.#child = child;
    child.once('exit', (code, signal) => {
      this.#exits.push(String(code ?? signal));
      if (this.#child === child) this.#child = undefined;
      if (!this.#isEnding) setTimeout(() => this.#startAgain(), 200);
    });
  }

  /** Sends a signal to this process and to no other. */
  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  /** Asks for a planned stop; whoever still runs when its time is over is killed. */
  stop(): void {
    const child = this.#child;
    child?.kill('SIGTERM');
    setTimeout(() => child?.kill('SIGKILL'), stopLimitMs).unref();
  }

  /**
   * Takes the process's power away for a while: nothing it would say gets out, and its open
   * connections are left hanging until it starts again.
   */
  powerOff(forMs: number): void {
    const child = this.#child;
    child?.kill('SIGSTOP');
    setTimeout(() => child?.kill('SIGKILL'), forMs).unref();
  }

  /** Ends the process for good. */
  async end(): Promise<void> {
    this.#isEnding = true;
    const child = this.#child;
    if (child === undefined || child.exitCode !== null) return;
    const gone = new Promise<void>((resolve) => child.once('exit', () => resolve()));
    child.kill('SIGKILL');
    await gone;
  }

  get #settingsPath(): string {
    return join(this.#options.directory, `${this.#options.name}.toml`);
  }

  #startAgain(): void {
    if (!this.#isEnding && this.#child === undefined) this.start();
  }
}

function settingsText({ name, ports, storePort }: InstanceProcessOptions): string {
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
[platform]
address = "127.0.0.1:${storePort}"
`;
}
