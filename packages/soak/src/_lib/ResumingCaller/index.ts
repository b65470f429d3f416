import type { Random } from '@acaciacrank/base';
import { request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { accounts, host, timeoutMs } from '../buildSoakConfiguration/index.js';
import type { VersionCheck } from '../VersionCheck/index.js';

/** Options of {@link ResumingCaller}. */
export interface ResumingCallerOptions {
  readonly random: Random;
  readonly check: VersionCheck;
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  /** Ports that serve callers, by instance index. */
  readonly callerPorts: readonly number[];
}

/** Time between two streams, and the most events after which their caller leaves. */
const pace = { intervalMs: 60, maxEvents: 6 } as const;
/** How often a caller takes a stream up at another instance, and the time before each try, in milliseconds. */
const tries = { count: 3, pauseMs: 30 } as const;

interface Attempt {
  readonly id: string;
  /** Id of the attempt that received the first event; undefined for the first one. */
  readonly resumes?: string;
  readonly lastEventId: number;
  /** Event after which the caller leaves. */
  readonly leaveAfter: number;
  readonly part: string;
}

/** A caller that leaves streams in the middle and takes them up at other instances. */
export class ResumingCaller {
  readonly #options: ResumingCallerOptions;
  #count = 0;

  constructor(options: ResumingCallerOptions) {
    this.#options = options;
  }

  /** Begins streams for a while. */
  async run(durationMs: number): Promise<void> {
    const untilMs = this.#options.now() + durationMs;
    const streams: Promise<void>[] = [];
    while (this.#options.now() < untilMs) {
      streams.push(this.#play());
      await sleep(pace.intervalMs);
    }
    await Promise.all(streams);
  }

  async #play(): Promise<void> {
    const { random, check, now, callerPorts } = this.#options;
    this.#count += 1;
    const id = `resumed-${this.#count}`;
    const beganAtMs = now();
    const leaveAfter = 1 + Math.floor(random() * pace.maxEvents);
    const first = Math.floor(random() * callerPorts.length);
    const part = Math.floor(random() * 16).toString(16);
    let body = await this.#send(first, { id, lastEventId: 0, leaveAfter, part });
    if (lastEventOf(body) === 0) return;
    for (let attempt = 1; attempt <= tries.count && !isWhole(body); attempt += 1) {
      await sleep(tries.pauseMs);
      const next = { id: `${id}-${attempt}`, resumes: id, lastEventId: lastEventOf(body), part };
      body += await this.#send(first + attempt, { ...next, leaveAfter: Infinity });
    }
    const wentOn = isWhole(body);
    check.noteTakenUp({ id, body, beganAtMs, endedAtMs: now(), wentOn });
  }

  /** Sends one attempt; returns the complete events that came before it ended or the caller left. */
  #send(
    instance: number,
    { id, resumes, lastEventId, leaveAfter, part }: Attempt,
  ): Promise<string> {
    const { callerPorts } = this.#options;
    const port = callerPorts[instance % callerPorts.length] ?? 0;
    const headers: Record<string, string> = {
      host,
      'x-request-id': id,
      authorization: `Bearer ${accounts[0]?.key ?? ''}`,
      'x-time-budget': String(timeoutMs),
      'x-model': 'm',
      'x-token-count': '400,60',
      'x-prompt-prefix': `c${part}:300,d${part}:100`,
    };
    if (resumes !== undefined) {
      headers.resumes = resumes;
      headers['last-event-id'] = String(lastEventId);
    }
    return new Promise((resolve) => {
      let body = '';
      const options = { host: '127.0.0.1', port, path: '/chat/resumed', method: 'POST', headers };
      const outgoing = request({ ...options, agent: false }, (incoming) => {
        incoming.setEncoding('utf8');
        incoming.on('data', (text: string) => {
          body += text;
          if (lastEventOf(body) >= leaveAfter) outgoing.destroy();
        });
        incoming.on('error', () => undefined);
        incoming.on('close', () => {
          resolve(incoming.statusCode === 200 ? completeEvents(body) : '');
        });
      });
      outgoing.setTimeout(2 * timeoutMs, () => outgoing.destroy());
      outgoing.on('error', () => {
        resolve('');
      });
      outgoing.end('a body');
    });
  }
}

function completeEvents(body: string): string {
  return body.slice(0, body.lastIndexOf('\n\n') + 2).replace(/^\n$/, '');
}

function lastEventOf(body: string): number {
  return Number([...body.matchAll(/^id: (\d+)\n.*\n\n/gm)].at(-1)?.[1] ?? 0);
}

function isWhole(body: string): boolean {
  const [, position, count] = /(\d+) of (\d+) \S+\n\n$/.exec(body) ?? [];
  return position !== undefined && position === count;
}
