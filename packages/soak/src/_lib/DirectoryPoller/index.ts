import { setTimeout as sleep } from 'node:timers/promises';
import type { InjectedDefect } from '../../types.js';
import type { InstancePorts } from '../InstanceProcess/index.js';
import type { DirectoryCheck, InstancePoll } from '../DirectoryCheck/index.js';

/** Options of {@link DirectoryPoller}. */
export interface DirectoryPollerOptions {
  readonly instances: readonly InstancePorts[];
  readonly check: DirectoryCheck;
  readonly injectedDefect: InjectedDefect | undefined;
}

/** Interval at which each instance is polled. */
const pollIntervalMs = 300;
const responseTimeoutMs = 1_000;

/** Polls readiness and directory of each instance, as the platform and callers do. */
export class DirectoryPoller {
  readonly #options: DirectoryPollerOptions;

  constructor(options: DirectoryPollerOptions) {
    this.#options = options;
  }

  /** Polls until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { instances, check } = this.#options;
    while (!signal.aborted) {
      const polls = await Promise.all(instances.map((ports, index) => this.#poll(ports, index)));
      check.addPolls(polls);
      await sleep(pollIntervalMs);
    }
  }

  async #poll({ ready, directory }: InstancePorts, instance: number): Promise<InstancePoll> {
    const [readiness, resolution] = await Promise.all([
      fetchText(`http://127.0.0.1:${ready}/readiness`),
      fetchText(`http://127.0.0.1:${directory}/resolution`),
    ]);
    const isReady = readiness !== undefined;
    return {
      instance,
      isReady,
      named: this.#applyDefect(this.#parseResolution(resolution), instance),
    };
  }

  /** Returns the indexes of the listed instances; undefined without a response. */
  #parseResolution(body: string | undefined): number[] | undefined {
    if (body === undefined) return undefined;
    const { addresses } = JSON.parse(body) as { addresses: string[] };
    const ports = addresses.map((address) => Number(address.split(':')[1]));
    return ports.map((port) => this.#options.instances.findIndex(({ front }) => front === port));
  }

  /** Turns a directory response into the one that an instance with the defect would give. */
  #applyDefect(named: number[] | undefined, polledInstance: number): number[] | undefined {
    const { injectedDefect, instances } = this.#options;
    if (named === undefined) return undefined;
    if (injectedDefect === 'nameGone') return [...instances.keys()];
    if (injectedDefect === 'hideLive')
      return named.filter((instance) => instance === polledInstance);
    return named;
  }
}

/** Returns the body of a successful response; undefined otherwise. */
async function fetchText(url: string): Promise<string | undefined> {
  try {
    const response = await fetch(url, { signal: AbortSignal.timeout(responseTimeoutMs) });
    const text = await response.text();
    return response.ok ? text : undefined;
  } catch {
    // An instance that does not answer counts as not ready and without a directory.
    return undefined;
  }
}
