/**
 * Stand-in of a server (PROTOCOL.md, "Servers"): plain answers and streams, its own id, `/report` and health.
 * Runs inside a script, or as a process of its own: `node server.mjs '{"id":...,"host":...}'`, which then writes each
 * event as a line of JSON.
 */
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { pathToFileURL } from 'node:url';

export class Server {
  #server;
  running = 0;

  /**
   * @param options.id - its id, in the store
   * @param options.workMs - how long a plain request takes
   * @param options.events - number of events of a stream
   * @param options.eventMs - time between two events
   * @param options.bodyBytes - size of a plain answer, about; sent in parts if it is large
   * @param options.isUnframed - whether answers have neither a length nor chunks and end with their channel
   * @param note - called with each event: what arrives, runs and ends
   */
  constructor(options, note) {
    this.options = {
      workMs: 30,
      events: 20,
      eventMs: 40,
      firstMs: 60,
      slots: 64,
      isUnframed: false,
      ...options,
    };
    this.note = note;
    this.born = Date.now();
  }

  async listen() {
    this.#server = createServer((request, response) => {
      this.#receive(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 20_000;
    await new Promise((resolve) =>
      this.#server.listen(this.options.port ?? 0, this.options.host, resolve),
    );
    this.port = this.#server.address().port;
    return this.port;
  }

  close() {
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  async #receive(request, response) {
    const { id, slots, isStream } = this.options;
    const requestId = request.headers['x-request-id'];
    const parts = [];
    for await (const part of request) parts.push(part);
    const load = `${this.running},0,${slots}`;
    if (request.url === '/report') {
      const report = {
        phase: 'colocated',
        models: [{ name: 'm', version: 1, adapters: [] }],
        busy: false,
        seqNo: 0,
      };
      response.setHeader('content-type', 'application/json');
      response.end(
        JSON.stringify({
          ...report,
          queued: 0,
          inFlight: this.running,
          kvUsed: 0,
          kvTotal: 400_000,
          handles: 0,
          born: this.born,
        }),
      );
      return;
    }
    if (request.url === '/health') {
      response.writeHead(200, { 'x-instance-id': id, 'x-server-load': load }).end();
      return;
    }
    const expected = request.headers['x-expect-instance'];
    if (requestId === undefined || (expected !== undefined && expected !== id)) {
      this.note({ what: 'rejects', id, requestId, expected });
      const status = requestId === undefined ? 400 : 421;
      const headers = { 'x-not-executed': '1', ...(requestId && { 'x-request-id': requestId }) };
      response.writeHead(status, headers).end();
      return;
    }
    const { 'x-tenant': tenant, 'last-event-id': after } = request.headers;
    this.note({
      what: 'runs',
      id,
      requestId,
      tenant,
      after,
      bytes: Buffer.concat(parts).byteLength,
    });
    this.running += 1;
    const seal = {
      'x-request-id': requestId,
      'x-response-seal': `seal.${requestId}.${id}`,
      'x-server-load': load,
    };
    try {
      if (isStream) await this.#stream(requestId, Number(after ?? 0), seal, response);
      else await this.#answer(requestId, seal, response);
    } finally {
      this.running -= 1;
    }
  }

  async #answer(requestId, seal, response) {
    await sleep(this.options.workMs);
    this.note({ what: 'answers', id: this.options.id, requestId });
    const { bodyBytes = 0, isUnframed } = this.options;
    if (isUnframed) return this.#answerInParts(requestId, bodyBytes, seal, response);
    const body = `${requestId} whole`;
    response
      .writeHead(200, { ...seal, 'content-type': 'text/plain', 'content-length': body.length })
      .end(body);
  }

  /** A body without a length, in ten parts; its first and last words tell whether it is whole. */
  async #answerInParts(requestId, bodyBytes, seal, response) {
    const partBytes = Math.ceil(bodyBytes / 10);
    endWithChannel(response);
    response.writeHead(200, { ...seal, 'content-type': 'text/plain' });
    for (let part = 1; part <= 10; part += 1) {
      if (response.destroyed) return;
      response.write(`part ${part} of 10 of ${requestId} `.padEnd(partBytes, '.'));
      await sleep(this.options.eventMs);
    }
    this.note({ what: 'sent all', id: this.options.id, requestId });
    response.end();
  }

  async #stream(requestId, after, seal, response) {
    const { id, events, eventMs, firstMs, isUnframed } = this.options;
    await sleep(firstMs);
    if (response.destroyed) return;
    if (isUnframed) endWithChannel(response);
    response.writeHead(200, {
      ...seal,
      'content-type': 'text/event-stream',
      'x-weight-versions': '1',
    });
    for (let event = after + 1; event <= events; event += 1) {
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${requestId} ${event} of ${events}\n\n`);
      if (event === after + 1) this.note({ what: 'begins', id, requestId });
      if (event < events) await sleep(eventMs);
    }
    this.note({ what: 'answers', id, requestId, events });
    response.end();
  }
}

function endWithChannel(response) {
  response.shouldKeepAlive = false;
  response.useChunkedEncodingByDefault = false;
}

if (import.meta.url === pathToFileURL(process.argv[1]).href) {
  const server = new Server(JSON.parse(process.argv[2]), (event) => {
    process.stdout.write(`${JSON.stringify({ atMs: Date.now(), ...event })}\n`);
  });
  await server.listen();
  process.stdout.write(
    `${JSON.stringify({ what: 'listens', id: server.options.id, port: server.port })}\n`,
  );
}
