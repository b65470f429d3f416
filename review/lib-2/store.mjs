/**
 * Stand-in of the platform's store, as PROTOCOL.md describes it: objects by kind and name, one revision counter,
 * conditional writes, lists, watches, and a drill in which it comes back from an older copy with a higher `Store-Era`.
 */
import { createServer } from 'node:http';

const pageItems = 500;
const copyIntervalMs = 250;
const keptCopies = 80;

export class Store {
  #objects = new Map();
  #events = [];
  #revision = 0;
  #copies = [];
  #waiters = new Set();
  #server;
  #sockets = new Set();
  #timer;
  era = 1;
  /** While true, every channel is reset: the store is away. */
  isAway = false;
  /** Called with each call once it is answered. */
  onCall = () => undefined;

  async listen(host) {
    this.#server = createServer((request, response) => this.#receive(request, response));
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on('connection', (socket) => {
      if (this.isAway) socket.resetAndDestroy();
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.#timer = setInterval(() => this.#keepCopy(), copyIntervalMs);
    return this.#server.address().port;
  }

  close() {
    clearInterval(this.#timer);
    for (const socket of this.#sockets) socket.destroy();
    this.#server?.close();
  }

  get(kind, name) {
    return this.#objects.get(`${kind}/${name}`);
  }

  list(kind) {
    return [...this.#objects.values()].filter((object) => object.kind === kind);
  }

  /** A write of the operator or of a server. */
  put(kind, name, spec) {
    return this.#commit(kind, name, spec);
  }

  delete(kind, name) {
    if (this.#objects.has(`${kind}/${name}`)) this.#remove(kind, name);
  }

  /** The drill: away for a moment, then back from a copy of the given age. */
  async drill({ awayMs, copyAgeMs, writeAgain }) {
    const copy = this.#copyOfAge(copyAgeMs);
    this.isAway = true;
    for (const socket of this.#sockets) socket.resetAndDestroy();
    await new Promise((resolve) => setTimeout(resolve, awayMs));
    this.#objects = new Map(copy.objects);
    this.#events = [...copy.events];
    this.#revision = copy.revision;
    this.#copies = this.#copies.filter(({ atMs }) => atMs <= copy.atMs);
    this.era += 1;
    for (const wake of this.#waiters) wake('restored');
    writeAgain();
    this.isAway = false;
    return performance.now() - copy.atMs;
  }

  #keepCopy() {
    if (this.isAway) return;
    const atMs = performance.now();
    const copy = { atMs, objects: new Map(this.#objects), events: [...this.#events] };
    this.#copies.push({ ...copy, revision: this.#revision });
    if (this.#copies.length > keptCopies) this.#copies.shift();
  }

  #copyOfAge(ageMs) {
    const untilMs = performance.now() - ageMs;
    return this.#copies.findLast(({ atMs }) => atMs <= untilMs) ?? this.#copies[0];
  }

  #commit(kind, name, spec) {
    const key = `${kind}/${name}`;
    const known = this.#objects.get(key);
    if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) return known;
    this.#revision += 1;
    const object = {
      kind,
      name,
      revision: this.#revision,
      created: known?.created ?? this.#revision,
      spec,
    };
    this.#objects.set(key, object);
    this.#publish({ kind, object, deleted: false });
    return object;
  }

  #remove(kind, name) {
    const key = `${kind}/${name}`;
    const known = this.#objects.get(key);
    this.#objects.delete(key);
    this.#revision += 1;
    this.#publish({ kind, object: { ...known, revision: this.#revision }, deleted: true });
  }

  #publish(event) {
    this.#events.push(event);
    for (const wake of this.#waiters) wake(event.kind);
  }

  #receive(request, response) {
    let text = '';
    request.setEncoding('utf8');
    request.on('data', (part) => (text += part));
    request.on('end', () => {
      this.#answer(request, text, response).catch((error) => {
        process.stderr.write(`store stand-in: ${error.stack}\n`);
        response.destroy();
      });
    });
  }

  async #answer(request, text, response) {
    const url = new URL(request.url, 'http://store');
    const [, root, kind, name, part] = url.pathname.split('/').map(decodeURIComponent);
    const send = (status, body) => {
      this.onCall({ method: request.method, kind, name, status });
      if (response.destroyed) return;
      response.setHeader('Store-Era', String(this.era));
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(body === undefined ? '' : JSON.stringify(body));
    };
    if (root !== 'objects' || kind === undefined) return send(404);
    const body = text === '' ? undefined : JSON.parse(text);
    if (request.method === 'GET' && name === undefined)
      return url.searchParams.has('watch')
        ? this.#watch(kind, url, response, send)
        : this.#list(kind, url, send);
    if (request.method === 'POST') return this.#create(kind, body, send);
    const known = this.get(kind, name);
    if (known === undefined) return send(404);
    if (request.method === 'GET') return send(200, toWire(known));
    const wanted = body?.metadata?.revision ?? url.searchParams.get('revision') ?? undefined;
    if (wanted !== undefined && Number(wanted) !== known.revision) return send(409, toWire(known));
    if (request.method === 'DELETE') {
      this.#remove(kind, name);
      return send(200, toWire(known));
    }
    if (request.method !== 'PUT') return send(405);
    if (part === 'status') return send(200, toWire(known));
    return send(200, toWire(this.#commit(kind, name, body.spec)));
  }

  #create(kind, body, send) {
    const { name } = body.metadata;
    const known = this.get(kind, name);
    return known === undefined
      ? send(201, toWire(this.#commit(kind, name, body.spec)))
      : send(409, toWire(known));
  }

  #list(kind, url, send) {
    const after = url.searchParams.get('afterRev') ?? '';
    const all = this.list(kind)
      .filter(({ name }) => name > after)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
    const items = all.slice(0, pageItems).map(toWire);
    send(200, { items, hasMore: all.length > pageItems, currentRev: this.#revision });
  }

  async #watch(kind, url, response, send) {
    const since = Number(url.searchParams.get('watch'));
    const waitMs = Math.min(30_000, Number(url.searchParams.get('waitTimeMs') ?? 0));
    if (since > this.#revision) return send(410);
    const newer = () =>
      this.#events.filter((event) => event.kind === kind && event.object.revision > since);
    if (newer().length === 0 && waitMs > 0) {
      const isRestored = await this.#waitFor(kind, waitMs, response);
      if (isRestored) return response.destroy();
    }
    const events = newer().map(({ object, deleted }) => ({ object: toWire(object), deleted }));
    send(200, { events, currentRev: this.#revision });
  }

  #waitFor(kind, waitMs, response) {
    return new Promise((resolve) => {
      const finish = (isRestored) => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve(isRestored);
      };
      const wake = (what) => {
        if (what === 'restored') finish(true);
        else if (what === kind) finish(false);
      };
      const timer = setTimeout(() => finish(false), waitMs);
      response.once('close', () => finish(false));
      this.#waiters.add(wake);
    });
  }
}

function toWire({ name, revision, created, spec }) {
  return {
    metadata: { name, revision, created, finalizers: [], deletionPending: false },
    spec,
    status: {},
  };
}
