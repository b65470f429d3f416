/** A sound server of a plain service, by the section "Servers" of PROTOCOL.md, on a bare socket. */
import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const statusTexts = {
  200: 'OK',
  404: 'Not Found',
  421: 'Misdirected Request',
  500: 'Internal Server Error',
  503: 'Service Unavailable',
};

/** Formats an answer with a length. */
export function formatAnswer(status, headers, body) {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const length = `Content-Length: ${Buffer.byteLength(body)}\r\n`;
  return `HTTP/1.1 ${status} ${statusTexts[status]}\r\n${lines.join('')}${length}\r\n${body}`;
}

/** Splits the bytes of a channel into requests. */
class RequestParser {
  #bytes = Buffer.alloc(0);

  /** Adds bytes and returns the requests that they complete. */
  push(chunk) {
    this.#bytes = Buffer.concat([this.#bytes, chunk]);
    const requests = [];
    for (;;) {
      const end = this.#bytes.indexOf('\r\n\r\n');
      if (end < 0) return requests;
      const [line, ...lines] = this.#bytes.toString('latin1', 0, end).split('\r\n');
      const headers = Object.fromEntries(
        lines.map((one) => [
          one.slice(0, one.indexOf(':')).toLowerCase(),
          one.slice(one.indexOf(':') + 1).trim(),
        ]),
      );
      const size = end + 4 + Number(headers['content-length'] ?? 0);
      if (this.#bytes.byteLength < size) return requests;
      this.#bytes = this.#bytes.subarray(size);
      const [method, path] = line.split(' ');
      requests.push({ method, path, headers });
    }
  }
}

/** Runs up to `slots` requests at once, queues a few more, and rejects the rest as not run. */
export class PlainServer {
  born = Date.now();
  #options;
  #running = 0;
  #queue = [];
  #sockets = new Set();
  #server = createServer((socket) => this.#serve(socket));

  /**
   * @param options - `id`, `slots`, `queue`, `workMs`, and the callbacks `onRun(id)`, `onRejected(id)`;
   * `failure(id)` returns a status other than 200 for a request that it has run;
   * `before(socket)` returns bytes to send on a channel before the next answer, as a faulty server does
   * `afterRejected(socket, answer)` is told of each rejection
   */
  constructor(options) {
    this.#options = options;
  }

  async listen() {
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return this.#server.address().port;
  }

  close() {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #serve(socket) {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    const parser = new RequestParser();
    socket.on('data', (chunk) => {
      for (const request of parser.push(chunk)) void this.#handle(socket, request);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => this.#sockets.delete(socket));
  }

  async #handle(socket, { path, headers }) {
    const { id: ownId, slots, queue, workMs } = this.#options;
    const id = headers['x-request-id'];
    const load = `${this.#running},${this.#queue.length},${slots}`;
    if (path === '/health' || path === '/report') {
      const body = JSON.stringify({ phase: 'colocated', models: [], busy: false, born: this.born });
      const head = { 'X-Instance-Id': ownId, 'X-Server-Load': load };
      socket.write(formatAnswer(200, { ...head, 'Content-Type': 'application/json' }, body));
      return;
    }
    if ((headers['x-expect-instance'] ?? ownId) !== ownId) {
      socket.write(formatAnswer(421, { 'X-Instance-Id': ownId, 'X-Request-Id': id }, ''));
      return;
    }
    socket.write(this.#options.before?.(socket) ?? '');
    if (this.#running >= slots && this.#queue.length >= queue) {
      const head = { 'X-Request-Id': id, 'X-Not-Executed': '1', 'X-Server-Load': load };
      const answer = formatAnswer(503, head, '');
      socket.write(answer);
      this.#options.onRejected?.(id);
      this.#options.afterRejected?.(socket, answer);
      return;
    }
    if (this.#running >= slots) await new Promise((resolve) => this.#queue.push(resolve));
    else this.#running += 1;
    if (!socket.destroyed) {
      this.#options.onRun(id, ownId);
      await sleep(workMs);
      const status = this.#options.failure?.(id) ?? 200;
      const head = { 'X-Request-Id': id, 'X-Response-Seal': `seal.${ownId}.${id}` };
      if (!socket.destroyed)
        socket.write(formatAnswer(status, { ...head, 'X-Server-Load': load }, `${id} whole`));
    }
    const next = this.#queue.shift();
    if (next === undefined) this.#running -= 1;
    else next();
  }
}
