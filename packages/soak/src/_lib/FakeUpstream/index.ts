import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { BrittleRoom } from '../BrittleRoom/index.js';
import { deadlyPartOf } from '../DeadlyPartCaller/index.js';
import { deadlyRequestOf } from '../DeadlyCaller/index.js';
import { requestKinds } from '../buildSoakConfiguration/index.js';
import { closeServer, listenOnLoopback } from '../listenOnLoopback/index.js';
import type { Observations } from '../Observations/index.js';
import { ProcessPause } from '../ProcessPause/index.js';

/** Options of {@link FakeUpstream}. */
export interface FakeUpstreamOptions {
  readonly id: string;
  readonly service: string;
  /** Version of the software that its first run runs. */
  readonly softwareVersion: string;
  readonly observations: Observations;
  /** Whether one stream in five lasts 1.6 s, so that pauses meet streams under way. */
  readonly hasLongStreams: boolean;
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  /** Called when a deadly request ends it; its connections are to be lost. */
  readonly onEnd: (upstream: FakeUpstream) => void;
}

/** Delay of a plain response, and of each event of a stream and of a long stream. */
const delaysMs = { plain: 15, event: 20, longEvent: 200, brittle: 200 } as const;
/** Ids of the requests whose streams are long: one in five of the calls. */
const longStreamIds = /^call-\d*[05]$/;
/** Requests a second that one slot of a brittle upstream runs. */
export const brittleRunsPerSlot = 1_000 / delaysMs.brittle;
const eventsPerStream = 8;

/** Fake upstream that sends plain or event-stream responses and reports the requests that it receives and runs. */
export class FakeUpstream implements AsyncDisposable {
  /** Time at which it began to drain; undefined before. */
  drainingSinceMs: number | undefined;
  /** Requests per second that it accepts from all instances combined; undefined for no limit. */
  limitPerS: number | undefined;
  /** The software that it runs, and when the run started, in milliseconds since 1970. */
  run: { readonly softwareVersion: string; readonly bornMs: number };
  /** Whether its responses omit the limit. */
  isLimitHidden = false;
  /** Whether its responses omit that it leaves. */
  isLeavingHidden = false;
  /** Backoff that it requests while it is overloaded, in milliseconds; undefined if it is not. */
  backoffMs: number | undefined;
  /** Its room while it is brittle; undefined if it has room for all. */
  brittleRoom: BrittleRoom | undefined;
  /** Whether its responses omit that it is brittle. */
  isBrittlenessHidden = false;
  /** Whether its refusals omit the backoff. */
  isBackoffHidden = false;
  /** Its pauses, in which it sends nothing; that it reads nothing is up to its proxy. */
  readonly pause = new ProcessPause();
  readonly #options: FakeUpstreamOptions;
  readonly #server: Server;
  /** Ids of the requests that it is running. */
  readonly #running = new Set<string>();
  /** Number of times that it began to answer a request with a deadly part. */
  #partRuns = 0;

  constructor(options: FakeUpstreamOptions) {
    this.#options = options;
    this.run = { softwareVersion: options.softwareVersion, bornMs: Date.now() };
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => {
        response.destroy();
      });
    });
  }

  /** Id of its record in the store. */
  get id(): string {
    return this.#options.id;
  }

  /** Name of the service that it belongs to. */
  get service(): string {
    return this.#options.service;
  }

  /** Starts listening on a free port and returns the port. */
  listen(): Promise<number> {
    return listenOnLoopback(this.#server);
  }

  /** Starts again under its id, with other software; what it runs is lost. */
  startAgain(softwareVersion: string): void {
    this.run = { softwareVersion, bornMs: Date.now() };
    this.#running.clear();
    this.#server.closeAllConnections();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await closeServer(this.#server);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { service, observations, id: ownId } = this.#options;
    const id = String(request.headers['x-request-id']);
    for await (const chunk of request) void chunk;
    if (request.url === '/report') {
      response.end(JSON.stringify({ phase: 'colocated', born: this.run.bornMs }));
      return;
    }
    if (request.headers['x-expect-instance'] !== ownId) {
      response.writeHead(421, { 'x-not-executed': '1' }).end();
      return;
    }
    observations.noteArrival(service, id, this.drainingSinceMs);
    observations.soundAnswers.noteArrival(ownId, id);
    observations.departures.noteArrival(ownId, id);
    observations.limits.noteArrival(ownId);
    observations.statements.noteArrival(ownId, id, this.drainingSinceMs !== undefined);
    if (this.backoffMs !== undefined) {
      this.#refuse(id, this.backoffMs, response);
      return;
    }
    if (this.brittleRoom !== undefined) {
      await this.#runBrittle(this.brittleRoom, request, response);
      return;
    }
    const kind = requestKinds.find(({ path }) => request.url?.startsWith(path));
    const promptTokens = Number(String(request.headers['x-token-count'] ?? '0').split(',')[0]);
    const account = String(request.headers['x-tenant'] ?? '');
    observations.noteRun(id, kind?.isRepeatable ?? false, account, promptTokens);
    const deadlyRequest = deadlyRequestOf(request.url ?? '');
    if (deadlyRequest !== undefined) {
      await sleep(delaysMs.plain);
      this.#end(deadlyRequest);
      return;
    }
    const deadlyPart = deadlyPartOf(String(request.headers['x-prompt-prefix'] ?? ''));
    if (deadlyPart !== undefined) {
      await this.#endUnderPart(deadlyPart, id, response);
      return;
    }
    this.#running.add(id);
    if (kind?.isStream === true) await this.#stream(id, request, response);
    else {
      await sleep(delaysMs.plain);
      await this.pause.whenResumed();
      if (!response.destroyed) {
        response.writeHead(200, this.#buildHeaders(id)).end(`${id} ${service} whole`);
      }
    }
    this.#running.delete(id);
  }

  async #runBrittle(
    room: BrittleRoom,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const id = String(request.headers['x-request-id']);
    const { observations, service, onEnd } = this.#options;
    const entering = room.enter();
    if (entering === undefined) {
      response.writeHead(503, { ...this.#buildHeaders(id), 'x-not-executed': '1' }).end();
      if (!room.refuse()) return;
      // Requests that it loses may still hold room in the former one.
      this.brittleRoom = new BrittleRoom(room.options);
      observations.brittle.noteFall(this.id);
      this.#server.closeAllConnections();
      onEnd(this);
      return;
    }
    await entering;
    const kind = requestKinds.find(({ path }) => request.url?.startsWith(path));
    const account = String(request.headers['x-tenant'] ?? '');
    observations.noteRun(id, kind?.isRepeatable ?? false, account, 0);
    await sleep(delaysMs.brittle);
    room.leave();
    if (response.destroyed) return;
    observations.brittle.noteRun();
    response.writeHead(200, this.#buildHeaders(id)).end(`${id} ${service} whole`);
  }

  /** Ends under a deadly request; requests that it is running get no response. */
  #end(deadlyRequest: string): void {
    const { observations, onEnd } = this.#options;
    observations.deadly.noteEnd(deadlyRequest, this.id, this.#running);
    this.#running.clear();
    this.#server.closeAllConnections();
    onEnd(this);
  }

  /** Ends as it begins to answer a request with a deadly part; every second time it has written an event before. */
  async #endUnderPart(part: string, id: string, response: ServerResponse): Promise<void> {
    const { observations, onEnd } = this.#options;
    observations.deadlyParts.noteArrival(part);
    await sleep(delaysMs.plain);
    if (response.destroyed) return;
    response.writeHead(200, { ...this.#buildHeaders(id), 'content-type': 'text/event-stream' });
    this.#partRuns += 1;
    const event = `id: 1\ndata: ${id} 1 of ${eventsPerStream} ${this.run.softwareVersion}\n\n`;
    if (this.#partRuns % 2 === 0) response.write(event);
    await sleep(delaysMs.event);
    observations.deadlyParts.noteEnd(part);
    this.#running.clear();
    this.#server.closeAllConnections();
    onEnd(this);
  }

  /** Builds the headers of a response, and reports the current limit to the checks. */
  #buildHeaders(id: string): Record<string, string> {
    const { limitPerS } = this;
    this.#options.observations.limits.noteLimit(this.id, limitPerS);
    const headers = {
      'x-request-id': id,
      'x-response-seal': `seal.${id}`,
      'x-server-load': this.brittleRoom?.load ?? '1,0,16',
      ...this.#brittleHeaders,
    };
    const isLeavingTold = this.drainingSinceMs !== undefined && !this.isLeavingHidden;
    return {
      ...headers,
      ...(limitPerS === undefined || this.isLimitHidden
        ? {}
        : { 'server-limit': String(limitPerS) }),
      ...(isLeavingTold ? { 'server-leaving': '1' } : {}),
    };
  }

  get #brittleHeaders(): Record<string, string> {
    if (this.brittleRoom === undefined || this.isBrittlenessHidden) return {};
    return { 'server-brittle': String(this.brittleRoom.options.maxRefusalsPerS) };
  }

  #refuse(id: string, backoffMs: number, response: ServerResponse): void {
    this.#options.observations.statements.noteBackoff(this.id, id, backoffMs);
    const retryAfter = { 'retry-after': String(backoffMs / 1_000) };
    const headers = { ...this.#buildHeaders(id), 'x-not-executed': '1' };
    response.writeHead(503, { ...headers, ...(this.isBackoffHidden ? {} : retryAfter) }).end();
  }

  async #stream(id: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.writeHead(200, { ...this.#buildHeaders(id), 'content-type': 'text/event-stream' });
    const lastEventId = Number(request.headers['last-event-id'] ?? 0);
    const { softwareVersion } = this.run;
    const isLong = this.#options.hasLongStreams && longStreamIds.test(id);
    const delayMs = isLong ? delaysMs.longEvent : delaysMs.event;
    for (let event = lastEventId + 1; event <= eventsPerStream; event += 1) {
      await sleep(delayMs);
      await this.pause.whenResumed();
      if (response.destroyed) return;
      response.write(
        `id: ${event}\ndata: ${id} ${event} of ${eventsPerStream} ${softwareVersion}\n\n`,
      );
    }
    response.end();
  }
}
