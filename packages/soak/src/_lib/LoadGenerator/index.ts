import type { Random } from '@acaciacrank/base';
import { Agent, request, type IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { InjectedDefect } from '../../types.js';
import type { CallOutcome, Observations } from '../Observations/index.js';
import {
  accounts,
  host,
  requestKinds,
  streamTimeoutMs,
  timeoutOf,
  type RequestKind,
} from '../buildSoakConfiguration/index.js';

/** Options of {@link LoadGenerator}. */
export interface LoadGeneratorOptions {
  readonly random: Random;
  readonly observations: Observations;
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  /** Ports that serve callers, by instance index. */
  readonly callerPorts: readonly number[];
  /** Directory ports, by instance index. */
  readonly directoryPorts: readonly number[];
  readonly requestsPerSecond: number;
  /** Whether some callers leave without their answers. */
  readonly hasDepartures: boolean;
  readonly injectedDefect: InjectedDefect | undefined;
}

/** Response to one request. */
interface CallResponse {
  /** HTTP status; 0 if the request failed before the response headers. */
  readonly status: number;
  readonly body: string;
  readonly responseSeal: string;
  /** Whether the response was received to its end. */
  readonly isComplete: boolean;
}

/** Interval at which callers refresh the list of instances from a directory. */
const directoryRefreshMs = 2_000;
/** Statuses by which an instance asserts that the request did not run and never will. */
const refusalStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Status of a request that exceeds the remaining tokens of the client account. */
const paymentRequiredStatus = 402;
/** Error kind of a request that is refused since upstreams ended while they ran it. */
const quarantineKind = 'requestQuarantined';
/** Share of calls to which the load generator applies an injected defect; `refuseAll` applies to all. */
const defectShare = 0.2;
/** Every so many calls, the caller leaves without its answer after one of these times, in milliseconds. */
const departures = { everyCalls: 11, waitsMs: [8, 25, 90, 280] } as const;
/** How late the defect `sendLate` sends a request, in milliseconds. */
const lateSendMs = 900;
const promptTokens = 400;
const outputTokens = 60;

/** Simulates callers with persistent connections that find the instances through the directory. */
export class LoadGenerator {
  readonly #options: LoadGeneratorOptions;
  /** Reuses each connection until the other side closes it. */
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 64 });
  #knownPorts: readonly number[];
  #callCount = 0;

  constructor(options: LoadGeneratorOptions) {
    this.#options = options;
    this.#knownPorts = options.callerPorts;
  }

  /** Sends requests until the signal is aborted; resolves once all of them have ended. */
  async run(signal: AbortSignal): Promise<void> {
    const { requestsPerSecond, random } = this.#options;
    const pendingCalls = new Set<Promise<void>>();
    const refreshTimer = setInterval(() => void this.#refreshPorts(), directoryRefreshMs);
    while (!signal.aborted) {
      const call = this.#makeCall().finally(() => pendingCalls.delete(call));
      pendingCalls.add(call);
      const intervalMs = (2 * random() * 1_000) / requestsPerSecond;
      await new Promise((resolve) => setTimeout(resolve, intervalMs));
    }
    clearInterval(refreshTimer);
    await Promise.all(pendingCalls);
    this.#agent.destroy();
  }

  async #refreshPorts(): Promise<void> {
    const { directoryPorts, random } = this.#options;
    const port = directoryPorts[Math.floor(random() * directoryPorts.length)] ?? 0;
    const response = await this.#send(
      { port, path: '/resolution', method: 'GET', headers: {} },
      '',
    );
    if (response.status !== 200 || !response.isComplete) return;
    const { addresses } = JSON.parse(response.body) as { addresses: string[] };
    const ports = addresses.map((address) => Number(address.split(':')[1]));
    if (ports.length > 0) this.#knownPorts = ports;
  }

  async #makeCall(): Promise<void> {
    const { random, observations, now, callerPorts, injectedDefect } = this.#options;
    const kind = requestKinds[Math.floor(random() * requestKinds.length)] as RequestKind;
    const account = accounts[Math.floor(random() * accounts.length)] ?? { name: '', key: '' };
    const port = this.#knownPorts[Math.floor(random() * this.#knownPorts.length)] ?? 0;
    this.#callCount += 1;
    const id = `call-${this.#callCount}`;
    const headers = {
      host,
      'x-request-id': id,
      authorization: `Bearer ${account.key}`,
      'x-time-budget': String(timeoutOf(kind.path)),
      ...(kind.isStream ? buildStreamHeaders(random) : {}),
    };
    const sentAtMs = now();
    const instance = callerPorts.indexOf(port);
    observations.statements.noteCallStart(id, instance);
    // Every second request is for the same as others of its kind.
    const item = this.#callCount % 2 === 0 ? 'x' : `x-${this.#callCount}`;
    const target = { port, path: `${kind.path}${item}`, method: kind.method, headers };
    if (this.#options.hasDepartures && this.#callCount % departures.everyCalls === 0) {
      await this.#sendAndLeave(target, id);
      return;
    }
    const isDefective = injectedDefect === 'refuseAll' || random() < defectShare;
    const response = isDefective
      ? await this.#sendWithDefect(target, kind, injectedDefect)
      : await this.#send(target, 'a body');
    const result = classifyResponse(response, id, kind);
    observations.versions.noteEvents(id, response.body);
    observations.noteCallEnd({
      id,
      path: kind.path,
      isRepeatable: kind.isRepeatable,
      account: account.name,
      instance,
      sentAtMs,
      endedAtMs: now(),
      status: response.status,
      ...result,
    });
  }

  /** Sends one request on a connection of its own, and closes that before the answer, unless it arrives sooner. */
  async #sendAndLeave({ port, path, method, headers }: RequestTarget, id: string): Promise<void> {
    const { departures: check } = this.#options.observations;
    const round = Math.floor(this.#callCount / departures.everyCalls);
    const waitMs = departures.waitsMs[round % departures.waitsMs.length] ?? 0;
    const isLate = this.#options.injectedDefect === 'sendLate';
    check.noteSent(id, this.#options.callerPorts.indexOf(port));
    if (isLate) check.noteDeparture(id);
    if (isLate) await sleep(lateSendMs);
    await new Promise<void>((resolve) => {
      const options = { host: '127.0.0.1', port, path, method, headers, agent: false } as const;
      const outgoing = request(options, (incoming) => {
        incoming.on('error', () => undefined).on('end', resolve);
        incoming.resume();
      });
      outgoing.on('error', () => undefined);
      outgoing.on('close', resolve);
      outgoing.end(method === 'POST' ? 'a body' : undefined);
      setTimeout(() => {
        if (outgoing.destroyed) return;
        if (!isLate) check.noteDeparture(id);
        outgoing.destroy();
      }, waitMs);
    });
  }

  /** Sends one request and returns the response that an instance with the defect would give. */
  async #sendWithDefect(
    target: RequestTarget,
    kind: RequestKind,
    injectedDefect: InjectedDefect | undefined,
  ): Promise<CallResponse> {
    const refused = { status: 503, body: '', responseSeal: '', isComplete: true };
    if (injectedDefect === 'refuseAll') return refused;
    const response = await this.#send(target, 'a body');
    if (injectedDefect === 'runTwice') await this.#send(target, 'a body');
    if (injectedDefect === 'repeatArrivals' && kind.isRepeatable) {
      for (let repeat = 0; repeat < 12; repeat += 1) await this.#send(target, 'a body');
    }
    if (injectedDefect === 'refuseAfterRun') return refused;
    if (injectedDefect === 'cutAnswer') return { ...response, body: response.body.slice(0, -6) };
    return response;
  }

  #send({ port, path, method, headers }: RequestTarget, body: string): Promise<CallResponse> {
    return new Promise((resolve) => {
      const failedResponse = { status: 0, body: '', responseSeal: '', isComplete: false };
      const options = { host: '127.0.0.1', port, path, method, headers, agent: this.#agent };
      const outgoing = request(options, (incoming) => {
        readResponse(incoming, resolve);
      });
      outgoing.setTimeout(2 * streamTimeoutMs, () => outgoing.destroy());
      outgoing.on('error', () => {
        resolve(failedResponse);
      });
      outgoing.end(method === 'POST' ? body : undefined);
    });
  }
}

interface RequestTarget {
  readonly port: number;
  readonly path: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
}

function buildStreamHeaders(random: Random): Record<string, string> {
  const prefixDigit = Math.floor(random() * 8).toString(16);
  return {
    'x-model': 'm',
    'x-token-count': `${promptTokens},${outputTokens}`,
    'x-prompt-prefix': `a${prefixDigit}:300,b${prefixDigit}:100`,
  };
}

function readResponse(incoming: IncomingMessage, resolve: (response: CallResponse) => void): void {
  let body = '';
  const finish = (isComplete: boolean) => {
    const status = incoming.statusCode ?? 0;
    resolve({
      status,
      body,
      responseSeal: String(incoming.headers['x-response-seal'] ?? ''),
      isComplete,
    });
  };
  incoming.setEncoding('utf8');
  incoming.on('data', (text: string) => (body += text));
  incoming.on('end', () => {
    finish(incoming.complete);
  });
  incoming.on('error', () => {
    finish(false);
  });
}

/** Determines the outcome of a call, and what is wrong with a successful response. */
function classifyResponse(
  response: CallResponse,
  id: string,
  kind: RequestKind,
): { outcome: CallOutcome; service: string; problem: string; events: number } {
  const events = kind.isStream ? (response.body.match(/^id: /gm)?.length ?? 0) : 0;
  const service = kind.isStream ? 'lm' : (response.body.split(' ')[1] ?? '');
  const common = { service, events, problem: '' };
  if (!response.isComplete) return { ...common, outcome: 'cut' };
  if (refusalStatuses.has(response.status)) return { ...common, outcome: 'refused' };
  if (response.status === paymentRequiredStatus) return { ...common, outcome: 'spent' };
  if (response.body.includes(quarantineKind)) return { ...common, outcome: 'quarantined' };
  if (response.status !== 200) return { ...common, outcome: 'failed' };
  return { ...common, outcome: 'served', problem: findProblem(response, id, kind) };
}

function findProblem({ body, responseSeal }: CallResponse, id: string, kind: RequestKind): string {
  if (responseSeal !== `seal.${id}`)
    return `successful response with x-response-seal "${responseSeal}"`;
  if (!kind.isStream) {
    const isExpected = body.startsWith(`${id} `) && body.endsWith(' whole');
    return isExpected ? '' : 'successful response with an unexpected body';
  }
  const streamEvents = [...body.matchAll(/^id: (\d+)\ndata: (\S+) (\d+) of (\d+) \S+\n\n/gm)];
  const isInOrder = streamEvents.every(
    ([, number, callId, position], index) =>
      callId === id && Number(number) === index + 1 && number === position,
  );
  const last = streamEvents.at(-1);
  if (!isInOrder) return 'stream with a missing or duplicate event, or an event of another request';
  return last !== undefined && last[3] === last[4] ? '' : 'stream that ended before its last event';
}
