import type { Random } from '@acaciacrank/base';
import { createStoreServer } from '@acaciacrank/platform';
import type { MemoryPlatform } from '@acaciacrank/store';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { closeServer, listenOnLoopback } from '../listenOnLoopback/index.js';

/** How the store fails now. */
export type StoreMode = 'well' | 'busy' | 'slow' | 'losesAnswers' | 'forgets';

/** How long a slow store takes, in milliseconds. */
const slowMs = 240;
/** The share of writes whose answer is lost, and by how much some of them come late, in milliseconds. */
const lost = { share: 0.35, leastLateMs: 500, mostLateMs: 4_000 } as const;

/** The stand-in store, served with faults of its own. */
export class StoreStandin implements AsyncDisposable {
  mode: StoreMode = 'well';
  readonly #random: Random;
  readonly #inner: Server;
  readonly #server: Server;

  constructor(platform: MemoryPlatform, random: Random) {
    this.#random = random;
    this.#inner = createStoreServer(platform);
    this.#server = createServer((request, response) => {
      this.#answer(request, response);
    });
  }

  /** Begins to listen. */
  listen(): Promise<number> {
    return listenOnLoopback(this.#server);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await closeServer(this.#server);
  }

  #answer(request: IncomingMessage, response: ServerResponse): void {
    const isWatch = request.url?.includes('watch=') === true;
    if (this.mode === 'busy') response.writeHead(503).end();
    else if (this.mode === 'forgets' && isWatch) response.writeHead(410).end();
    else if (this.mode === 'slow') setTimeout(() => this.#pass(request, response), slowMs);
    else if (this.mode === 'losesAnswers' && request.method !== 'GET')
      this.#lose(request, response);
    else this.#pass(request, response);
  }

  #pass(request: IncomingMessage, response: ServerResponse): void {
    this.#inner.emit('request', request, response);
  }

  /** Does some writes at once or late and answers none of these. */
  #lose(request: IncomingMessage, response: ServerResponse): void {
    if (this.#random() > lost.share) {
      this.#pass(request, response);
      return;
    }
    const isLate = this.#random() < 0.5;
    const lateMs = lost.leastLateMs + this.#random() * (lost.mostLateMs - lost.leastLateMs);
    // The write is done with an answer that nobody hears.
    const unheard = new Proxy(response, {
      get: (target, name) => {
        if (name === 'end' || name === 'writeHead' || name === 'write') return () => target;
        const value: unknown = Reflect.get(target, name);
        return typeof value === 'function' ? (value as () => unknown).bind(target) : value;
      },
    });
    setTimeout(() => this.#inner.emit('request', request, unheard), isLate ? lateMs : 0);
  }
}
