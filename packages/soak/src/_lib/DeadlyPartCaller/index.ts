import type { Random } from '@acaciacrank/base';
import { request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { accounts, host, streamTimeoutMs } from '../buildSoakConfiguration/index.js';
import type { DeadlyPartCheck } from '../DeadlyPartCheck/index.js';

/** Options of {@link DeadlyPartCaller}. */
export interface DeadlyPartCallerOptions {
  readonly random: Random;
  /** Ports that serve callers, by instance index. */
  readonly callerPorts: readonly number[];
  readonly check: DeadlyPartCheck;
  /** Whether each request names the part in another way, so that instances cannot know that it is one. */
  readonly isVaried: boolean;
}

/** Time between two requests with the part, in milliseconds. */
const intervalMs = 150;
/** Length of the part's own name; what follows it differs with an injected defect. */
const nameLength = 6;

/** Returns the name of the deadly part in the header that lists a prompt's parts; undefined if it has none. */
export function deadlyPartOf(prefix: string): string | undefined {
  return /\bdead[0-9a-f]+(?=:)/.exec(prefix)?.[0].slice(0, nameLength);
}

/**
 * Callers of requests that share a part of their prompts, which ends each upstream that begins to answer them. No two
 * of the requests are alike; their other parts are those of sound requests.
 */
export class DeadlyPartCaller {
  readonly #options: DeadlyPartCallerOptions;
  #partCount = 0;
  #requestCount = 0;

  constructor(options: DeadlyPartCallerOptions) {
    this.#options = options;
  }

  /** Sends requests with a new part for a time; the target decides where in the prompt the part stands. */
  async run(target: number, durationMs: number): Promise<void> {
    this.#partCount += 1;
    const part = `dead${this.#partCount.toString(16).padStart(2, '0')}`;
    const endMs = performance.now() + durationMs;
    this.#options.check.noteBegin(part, durationMs);
    while (performance.now() < endMs) {
      this.#send(part, target % 2 === 0);
      await sleep(intervalMs);
    }
  }

  #send(part: string, isFirst: boolean): void {
    const { random, callerPorts, isVaried } = this.#options;
    this.#requestCount += 1;
    const id = `part-${this.#requestCount}`;
    const name = isVaried ? `${part}${this.#requestCount.toString(16).padStart(4, '0')}` : part;
    const shared = Math.floor(random() * 8).toString(16);
    const own = `e${this.#requestCount.toString(16).padStart(6, '0')}:50`;
    const parts = isFirst
      ? [`${name}:150`, `b${shared}:100`, own]
      : [`a${shared}:150`, `${name}:100`, own];
    const headers = {
      host,
      'x-request-id': id,
      authorization: `Bearer ${accounts[0]?.key ?? ''}`,
      'x-time-budget': String(streamTimeoutMs),
      'x-token-count': '300,60',
      'x-prompt-prefix': parts.join(','),
    };
    const port = callerPorts[Math.floor(random() * callerPorts.length)] ?? 0;
    const options = { host: '127.0.0.1', port, path: `/chat/${id}`, method: 'POST', headers };
    const outgoing = request({ ...options, agent: false }, (incoming) => {
      incoming.on('error', () => undefined);
      incoming.resume();
    });
    outgoing.setTimeout(2 * streamTimeoutMs, () => outgoing.destroy());
    outgoing.on('error', () => undefined);
    outgoing.end(`the body of ${id}`);
  }
}
