import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { closeServer, listenOnLoopback } from '../listenOnLoopback/index.js';
import type { Observations } from '../Observations/index.js';
import { requestKinds } from '../soakDocument/index.js';

/** Options of {@link UpstreamStandin}. */
export interface UpstreamStandinOptions {
  readonly id: string;
  readonly service: string;
  readonly observations: Observations;
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
}

/** How long a plain answer and the pause between two events take, in milliseconds. */
const workMs = { plain: 15, event: 20 } as const;
/** How many events a stream has. */
const eventsOfStream = 8;

/** A plain service, or an engine that answers with events, which tells what it receives and runs. */
export class UpstreamStandin implements AsyncDisposable {
  /** When it said that it leaves. */
  leavingSinceMs: number | undefined;
  /** Requests per second that it accepts from all instances combined; undefined for no limit. */
  limitPerS: number | undefined;
  /** Whether its answers omit the limit. */
  isLimitHidden = false;
  readonly #options: UpstreamStandinOptions;
  readonly #server: Server;

  constructor(options: UpstreamStandinOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      this.#answer(request, response).catch(() => {
        response.destroy();
      });
    });
  }

  /** Its name in the store. */
  get id(): string {
    return this.#options.id;
  }

  /** Which service it belongs to. */
  get service(): string {
    return this.#options.service;
  }

  /** Begins to listen. */
  listen(): Promise<number> {
    return listenOnLoopback(this.#server);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await closeServer(this.#server);
  }

  async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { service, observations, id: ownId } = this.#options;
    const id = String(request.headers['x-request-id']);
    for await (const chunk of request) void chunk;
    if (request.headers['x-expect-instance'] !== ownId) {
      response.writeHead(421, { 'x-not-executed': '1' }).end();
      return;
    }
    observations.arrive(service, id, this.leavingSinceMs);
    observations.limits.arrive(ownId);
    const kind = requestKinds.find(({ path }) => request.url?.startsWith(path));
    const promptTokens = Number(String(request.headers['x-token-count'] ?? '0').split(',')[0]);
    const account = String(request.headers['x-tenant'] ?? '');
    observations.run(id, kind?.isRepeatable ?? false, account, promptTokens);
    if (kind?.isStream === true) await this.#stream(id, request, response);
    else {
      await sleep(workMs.plain);
      response.writeHead(200, this.#head(id)).end(`${id} ${service} whole`);
    }
  }

  /** Builds the headers of an answer, and notes the current limit. */
  #head(id: string): Record<string, string> {
    const { limitPerS } = this;
    this.#options.observations.limits.noteLimit(this.id, limitPerS);
    const head = { 'x-request-id': id, 'x-response-seal': `seal.${id}`, 'x-server-load': '1,0,16' };
    if (limitPerS === undefined || this.isLimitHidden) return head;
    return { ...head, 'server-limit': String(limitPerS) };
  }

  async #stream(id: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.writeHead(200, { ...this.#head(id), 'content-type': 'text/event-stream' });
    const after = Number(request.headers['last-event-id'] ?? 0);
    for (let event = after + 1; event <= eventsOfStream; event += 1) {
      await sleep(workMs.event);
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${id} ${event} of ${eventsOfStream}\n\n`);
    }
    response.end();
  }
}
