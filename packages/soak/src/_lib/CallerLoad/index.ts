import type { Random } from '@acaciacrank/base';
import { Agent, request, type IncomingMessage } from 'node:http';
import type { DeliberateBreak } from '../../types.js';
import type { CallOutcome, Observations } from '../Observations/index.js';
import {
  accounts,
  host,
  requestKinds,
  timeoutMs,
  type RequestKind,
} from '../soakDocument/index.js';

/** Options of {@link CallerLoad}. */
export interface CallerLoadOptions {
  readonly random: Random;
  readonly observations: Observations;
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  /** Ports for callers and of the directory, one for each instance. */
  readonly frontPorts: readonly number[];
  readonly directoryPorts: readonly number[];
  readonly requestsPerSecond: number;
  readonly deliberateBreak: DeliberateBreak | undefined;
}

/** What came back for one request. */
interface Answer {
  readonly status: number;
  readonly body: string;
  readonly seal: string;
  readonly isWhole: boolean;
}

/** How long a caller keeps the directory's answer, in milliseconds. */
const keepMs = 2_000;
/** Statuses that promise that the request has not run and never will. */
const refusals: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** The status of a request that the account cannot pay. */
const spentStatus = 402;
/** The share of answers and requests that a deliberate break spoils. */
const brokenShare = 0.2;
const promptTokens = 400;
const outputTokens = 60;

/** Callers that keep their connections open and ask the directory where to connect. */
export class CallerLoad {
  readonly #options: CallerLoadOptions;
  /** Connections are used until the other side ends them. */
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 64 });
  #known: readonly number[];
  #count = 0;

  constructor(options: CallerLoadOptions) {
    this.#options = options;
    this.#known = options.frontPorts;
  }

  /** Sends requests until the signal is aborted; resolves when all have ended. */
  async run(signal: AbortSignal): Promise<void> {
    const { requestsPerSecond, random } = this.#options;
    const underWay = new Set<Promise<void>>();
    const directory = setInterval(() => void this.#askDirectory(), keepMs);
    while (!signal.aborted) {
      const call = this.#call().finally(() => underWay.delete(call));
      underWay.add(call);
      const pauseMs = (2 * random() * 1_000) / requestsPerSecond;
      await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
    clearInterval(directory);
    await Promise.all(underWay);
    this.#agent.destroy();
  }

  async #askDirectory(): Promise<void> {
    const { directoryPorts, random } = this.#options;
    const port = directoryPorts[Math.floor(random() * directoryPorts.length)] ?? 0;
    const answer = await this.#send({ port, path: '/resolution', method: 'GET', headers: {} }, '');
    if (answer.status !== 200 || !answer.isWhole) return;
    const { addresses } = JSON.parse(answer.body) as { addresses: string[] };
    const ports = addresses.map((address) => Number(address.split(':')[1]));
    if (ports.length > 0) this.#known = ports;
  }

  async #call(): Promise<void> {
    const { random, observations, now, frontPorts, deliberateBreak } = this.#options;
    const kind = requestKinds[Math.floor(random() * requestKinds.length)] as RequestKind;
    const account = accounts[Math.floor(random() * accounts.length)] ?? { name: '', key: '' };
    const port = this.#known[Math.floor(random() * this.#known.length)] ?? 0;
    this.#count += 1;
    const id = `call-${this.#count}`;
    const headers = {
      host,
      'x-request-id': id,
      authorization: `Bearer ${account.key}`,
      'x-time-budget': String(timeoutMs),
      ...(kind.isStream ? streamHeaders(random) : {}),
    };
    const sentMs = now();
    const target = { port, path: `${kind.path}x`, method: kind.method, headers };
    const isBroken = deliberateBreak === 'refuseAll' || random() < brokenShare;
    const answer = isBroken
      ? await this.#sendBroken(target, kind, deliberateBreak)
      : await this.#send(target, 'a body');
    const seen = judge(answer, id, kind);
    observations.end({
      id,
      path: kind.path,
      isRepeatable: kind.isRepeatable,
      account: account.name,
      instance: frontPorts.indexOf(port),
      sentMs,
      endedMs: now(),
      ...seen,
    });
  }

  /** One request as an instance with the deliberate break would have served it. */
  async #sendBroken(
    target: Target,
    kind: RequestKind,
    deliberateBreak: DeliberateBreak | undefined,
  ): Promise<Answer> {
    const refused = { status: 503, body: '', seal: '', isWhole: true };
    if (deliberateBreak === 'refuseAll') return refused;
    const answer = await this.#send(target, 'a body');
    if (deliberateBreak === 'runTwice') await this.#send(target, 'a body');
    if (deliberateBreak === 'repeatArrivals' && kind.isRepeatable) {
      for (let repeat = 0; repeat < 12; repeat += 1) await this.#send(target, 'a body');
    }
    if (deliberateBreak === 'refuseAfterRun') return refused;
    if (deliberateBreak === 'cutAnswer') return { ...answer, body: answer.body.slice(0, -6) };
    return answer;
  }

  #send({ port, path, method, headers }: Target, body: string): Promise<Answer> {
    return new Promise((resolve) => {
      const cut = { status: 0, body: '', seal: '', isWhole: false };
      const options = { host: '127.0.0.1', port, path, method, headers, agent: this.#agent };
      const sent = request(options, (incoming) => {
        collect(incoming, resolve);
      });
      sent.setTimeout(2 * timeoutMs, () => sent.destroy());
      sent.on('error', () => {
        resolve(cut);
      });
      sent.end(method === 'POST' ? body : undefined);
    });
  }
}

interface Target {
  readonly port: number;
  readonly path: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
}

function streamHeaders(random: Random): Record<string, string> {
  const part = Math.floor(random() * 8).toString(16);
  return {
    'x-model': 'm',
    'x-token-count': `${promptTokens},${outputTokens}`,
    'x-prompt-prefix': `a${part}:300,b${part}:100`,
  };
}

function collect(incoming: IncomingMessage, resolve: (answer: Answer) => void): void {
  let body = '';
  const done = (isWhole: boolean) => {
    const status = incoming.statusCode ?? 0;
    resolve({ status, body, seal: String(incoming.headers['x-response-seal'] ?? ''), isWhole });
  };
  incoming.setEncoding('utf8');
  incoming.on('data', (text: string) => (body += text));
  incoming.on('end', () => {
    done(incoming.complete);
  });
  incoming.on('error', () => {
    done(false);
  });
}

/** What an answer is worth, and what is wrong with it. */
function judge(
  answer: Answer,
  id: string,
  kind: RequestKind,
): { outcome: CallOutcome; service: string; fault: string; events: number } {
  const events = kind.isStream ? (answer.body.match(/^id: /gm)?.length ?? 0) : 0;
  const service = kind.isStream ? 'lm' : (answer.body.split(' ')[1] ?? '');
  const common = { service, events, fault: '' };
  if (!answer.isWhole) return { ...common, outcome: 'cut' };
  if (refusals.has(answer.status)) return { ...common, outcome: 'refused' };
  if (answer.status === spentStatus) return { ...common, outcome: 'spent' };
  if (answer.status !== 200) return { ...common, outcome: 'failed' };
  return { ...common, outcome: 'served', fault: faultOf(answer, id, kind) };
}

function faultOf({ body, seal }: Answer, id: string, kind: RequestKind): string {
  if (seal !== `seal.${id}`) return `a success with the signature ${seal}`;
  if (!kind.isStream) {
    const isWhole = body.startsWith(`${id} `) && body.endsWith(' whole');
    return isWhole ? '' : 'a success with another body';
  }
  const pieces = [...body.matchAll(/^id: (\d+)\ndata: (\S+) (\d+) of (\d+)\n\n/gm)];
  const isInTurn = pieces.every(
    ([, number, of, place], at) => of === id && Number(number) === at + 1 && number === place,
  );
  const last = pieces.at(-1);
  if (!isInTurn) return 'a stream with a piece missing, doubled or of another request';
  return last !== undefined && last[3] === last[4]
    ? ''
    : 'a stream that ends before its last piece';
}
