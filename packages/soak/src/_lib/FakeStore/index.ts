import type { Random } from '@acaciacrank/base';
import { createStoreServer } from '@acaciacrank/platform';
import type { MemoryPlatform } from '@acaciacrank/store';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { closeServer, listenOnLoopback } from '../listenOnLoopback/index.js';

/**
 * How the store behaves: normally, with 503 for every request (`busy`), with a delay, without a response to
 * some writes, or with 410 for every watch.
 */
export type StoreMode = 'normal' | 'busy' | 'slow' | 'loseResponses' | 'rejectWatches';

/** Delay of each request in the mode `slow`. */
const slowDelayMs = 240;
/** Share of writes whose response is lost, and by how much the execution of some of them is delayed. */
const lostResponses = { share: 0.35, minDelayMs: 500, maxDelayMs: 4_000 } as const;

/** Serves an in-memory store over HTTP and simulates its failures. */
export class FakeStore implements AsyncDisposable {
  mode: StoreMode = 'normal';
  /** Texts that its responses hold in place of these strings, for what `JSON.stringify` does not write. */
  readonly rawTexts = new Map<string, string>();
  readonly #random: Random;
  readonly #storeServer: Server;
  readonly #server: Server;

  constructor(platform: MemoryPlatform, random: Random) {
    this.#random = random;
    this.#storeServer = createStoreServer(platform);
    this.#server = createServer((request, response) => {
      this.#handle(request, response);
    });
  }

  /** Starts listening on a free port and returns the port. */
  listen(): Promise<number> {
    return listenOnLoopback(this.#server);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await closeServer(this.#server);
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    const isWatch = request.url?.includes('watch=') === true;
    if (this.mode === 'busy') response.writeHead(503).end();
    else if (this.mode === 'rejectWatches' && isWatch) response.writeHead(410).end();
    else if (this.mode === 'slow') setTimeout(() => this.#forward(request, response), slowDelayMs);
    else if (this.mode === 'loseResponses' && request.method !== 'GET')
      this.#loseResponse(request, response);
    else this.#forward(request, response);
  }

  #forward(request: IncomingMessage, response: ServerResponse): void {
    if (this.rawTexts.size > 0) this.#insertRawTexts(response);
    this.#storeServer.emit('request', request, response);
  }

  #insertRawTexts(response: ServerResponse): void {
    const end = response.end.bind(response) as (body?: string) => ServerResponse;
    response.end = (body?: unknown) => {
      if (typeof body !== 'string') return end();
      let text = body;
      for (const [known, raw] of this.rawTexts) text = text.replaceAll(JSON.stringify(known), raw);
      return end(text);
    };
  }

  /** Executes some writes at once or with a delay and sends no response to them; serves the others. */
  #loseResponse(request: IncomingMessage, response: ServerResponse): void {
    if (this.#random() > lostResponses.share) {
      this.#forward(request, response);
      return;
    }
    const isDelayed = this.#random() < 0.5;
    const delayMs =
      lostResponses.minDelayMs +
      this.#random() * (lostResponses.maxDelayMs - lostResponses.minDelayMs);
    // The write is executed with a response that discards its output, so the client receives nothing.
    const discardingResponse = new Proxy(response, {
      get: (target, name) => {
        if (name === 'end' || name === 'writeHead' || name === 'write') return () => target;
        const value: unknown = Reflect.get(target, name);
        return typeof value === 'function' ? (value as () => unknown).bind(target) : value;
      },
    });
    setTimeout(
      () => this.#storeServer.emit('request', request, discardingResponse),
      isDelayed ? delayMs : 0,
    );
  }
}
