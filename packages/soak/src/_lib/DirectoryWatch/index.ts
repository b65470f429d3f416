import { setTimeout as sleep } from 'node:timers/promises';
import type { DeliberateBreak } from '../../types.js';
import type { InstancePorts } from '../InstanceProcess/index.js';
import type { InstanceLook, NamingCheck } from '../NamingCheck/index.js';

/** Options of {@link DirectoryWatch}. */
export interface DirectoryWatchOptions {
  readonly instances: readonly InstancePorts[];
  readonly check: NamingCheck;
  readonly deliberateBreak: DeliberateBreak | undefined;
}

/** How often each instance is looked at, in milliseconds. */
const lookMs = 300;
/** How long an answer is waited for, in milliseconds. */
const answerMs = 1_000;

/** Looks at the readiness and the directory of each instance, as the platform and callers do. */
export class DirectoryWatch {
  readonly #options: DirectoryWatchOptions;

  constructor(options: DirectoryWatchOptions) {
    this.#options = options;
  }

  /** Looks until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { instances, check } = this.#options;
    while (!signal.aborted) {
      const looks = await Promise.all(instances.map((ports, index) => this.#look(ports, index)));
      check.take(looks);
      await sleep(lookMs);
    }
  }

  async #look({ ready, directory }: InstancePorts, instance: number): Promise<InstanceLook> {
    const [readiness, resolution] = await Promise.all([
      ask(`http://127.0.0.1:${ready}/readiness`),
      ask(`http://127.0.0.1:${directory}/resolution`),
    ]);
    const isReady = readiness !== undefined;
    return { instance, isReady, named: this.#broken(this.#namedIn(resolution), instance) };
  }

  #namedIn(answer: string | undefined): number[] | undefined {
    if (answer === undefined) return undefined;
    const { addresses } = JSON.parse(answer) as { addresses: string[] };
    const named = addresses.map((address) => Number(address.split(':')[1]));
    return named.map((port) => this.#options.instances.findIndex(({ front }) => front === port));
  }

  /** An answer as an instance with the deliberate break would have given it. */
  #broken(named: number[] | undefined, asked: number): number[] | undefined {
    const { deliberateBreak, instances } = this.#options;
    if (named === undefined) return undefined;
    if (deliberateBreak === 'nameGone') return [...instances.keys()];
    if (deliberateBreak === 'hideLive') return named.filter((instance) => instance === asked);
    return named;
  }
}

async function ask(url: string): Promise<string | undefined> {
  try {
    const answer = await fetch(url, { signal: AbortSignal.timeout(answerMs) });
    const text = await answer.text();
    return answer.ok ? text : undefined;
  } catch {
    // Whoever does not answer is neither ready nor a directory now.
    return undefined;
  }
}
