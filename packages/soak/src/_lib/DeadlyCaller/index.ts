import type { Random } from '@acaciacrank/base';
import { request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  accounts,
  host,
  requestKinds,
  timeoutMs,
  type RequestKind,
} from '../buildSoakConfiguration/index.js';

/** Options of {@link DeadlyCaller}. */
export interface DeadlyCallerOptions {
  readonly random: Random;
  /** Ports that serve callers, by instance index. */
  readonly callerPorts: readonly number[];
  /** Whether each attempt requests something else, so that instances cannot know that it is one request. */
  readonly isVaried: boolean;
}

/** Marks a path whose requests end the upstream that runs them. */
export const deadlyMark = 'deadly-';
/** How often the caller sends its request, and the time after each attempt, in milliseconds. */
const attempts = { count: 12, pauseMs: 250 } as const;

/** Returns the name of a deadly request, the same for all attempts to send it; undefined for any other path. */
export function deadlyRequestOf(path: string): string | undefined {
  return /deadly-\d+/.exec(path)?.[0];
}

/** A caller that sends a request which ends each upstream that runs it, again and again at any instance. */
export class DeadlyCaller {
  readonly #options: DeadlyCallerOptions;
  #count = 0;

  constructor(options: DeadlyCallerOptions) {
    this.#options = options;
  }

  /** Sends one new deadly request as often as its caller repeats it. */
  async send(target: number): Promise<void> {
    this.#count += 1;
    const name = `${deadlyMark}${this.#count}`;
    const kind = requestKinds[target % requestKinds.length] as RequestKind;
    for (let attempt = 0; attempt < attempts.count; attempt += 1) {
      const path = this.#options.isVaried ? `${name}/${attempt}` : name;
      await this.#sendOnce(kind, `${kind.path}${path}`, `${name}-${attempt}`);
      await sleep(attempts.pauseMs);
    }
  }

  #sendOnce(kind: RequestKind, path: string, id: string): Promise<void> {
    const { random, callerPorts } = this.#options;
    const port = callerPorts[Math.floor(random() * callerPorts.length)] ?? 0;
    const headers = {
      host,
      'x-request-id': id,
      authorization: `Bearer ${accounts[0]?.key ?? ''}`,
      'x-time-budget': String(timeoutMs),
      ...(kind.isStream ? { 'x-token-count': '400,60', 'x-prompt-prefix': 'a1:300,dd:100' } : {}),
    };
    return new Promise((resolve) => {
      const options = { host: '127.0.0.1', port, path, method: kind.method, headers, agent: false };
      const outgoing = request(options, (incoming) => {
        incoming.on('error', () => undefined).on('close', resolve);
        incoming.resume();
      });
      outgoing.setTimeout(2 * timeoutMs, () => outgoing.destroy());
      outgoing.on('error', () => {
        resolve();
      });
      outgoing.end(kind.method === 'POST' ? 'a deadly body' : undefined);
    });
  }
}
