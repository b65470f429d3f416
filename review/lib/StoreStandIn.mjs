/** A small stand-in of the platform's store, with the calls that PROTOCOL.md names. */
import { createServer } from 'node:http';

/** Keeps objects in memory and answers list, read, write, delete and watch. */
export class StoreStandIn {
  #revision = 1;
  #objects = new Map();
  #history = [];
  #waiting = new Set();
  #server = createServer((request, response) => void this.#answer(request, response));
  /** The epoch in `Store-Era`; undefined for a store that sends none. */
  era;
  /** How old the answers to calls with `staleOk` are, in milliseconds. */
  staleMs = 0;
  /** Whether it answers 503 to all calls. */
  isAway = false;
  /** Its objects after each change of the last seconds. */
  #past = [];

  async listen() {
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return this.#server.address().port;
  }

  /** Writes an object as the operator or a server does. */
  put(kind, name, spec) {
    this.#revision += 1;
    const previous = this.#objects.get(`${kind}/${name}`);
    const metadata = {
      name,
      revision: this.#revision,
      created: previous?.metadata.created ?? this.#revision,
      finalizers: [],
      deletionPending: false,
    };
    const object = { metadata, spec, status: null };
    this.#objects.set(`${kind}/${name}`, object);
    this.#record(kind, object, false);
    return object;
  }

  /** Deletes an object. */
  remove(kind, name) {
    const object = this.#objects.get(`${kind}/${name}`);
    if (object === undefined) return;
    this.#revision += 1;
    this.#objects.delete(`${kind}/${name}`);
    const metadata = { ...object.metadata, revision: this.#revision };
    this.#record(kind, { ...object, metadata }, true);
  }

  /** The objects of a kind, by default as they are now. */
  list(kind, objects = this.#objects) {
    return [...objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object)
      .sort((one, other) => (one.metadata.name < other.metadata.name ? -1 : 1));
  }

  /** Copies all objects, for {@link restore}. */
  copy() {
    return {
      revision: this.#revision,
      objects: new Map(this.#objects),
      history: [...this.#history],
    };
  }

  /** Comes back from a copy, with the next epoch; what was written since is gone, and revisions go back. */
  restore(copy) {
    this.#revision = copy.revision;
    this.#objects = new Map(copy.objects);
    this.#history = [...copy.history];
    this.#past = [];
    this.era += 1;
    for (const wake of this.#waiting) wake();
  }

  close() {
    for (const wake of this.#waiting) wake();
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #record(kind, object, deleted) {
    if (this.staleMs > 0) {
      const atMs = performance.now();
      this.#past = this.#past.filter((one) => atMs - one.atMs < 10_000);
      this.#past.push({ atMs, revision: this.#revision, objects: new Map(this.#objects) });
    }
    this.#history.push({ kind, object, deleted });
    for (const wake of this.#waiting) wake();
  }

  async #answer(request, response) {
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const [, root, kind, encodedName = ''] = pathname.split('/');
    const name = decodeURIComponent(encodedName);
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString());
    const send = (status, value) => {
      const headers = { 'content-type': 'application/json' };
      if (this.era !== undefined) headers['store-era'] = String(this.era);
      response.writeHead(status, headers).end(value === undefined ? '' : JSON.stringify(value));
    };
    if (this.isAway) return send(503);
    if (root !== 'objects') return send(404);
    if (request.method === 'GET' && name === '') {
      if (searchParams.has('watch')) return this.#watch(kind, searchParams, response, send);
      const { objects, revision } = searchParams.has('staleOk') ? this.#stale() : this.copy();
      return send(200, { items: this.list(kind, objects), hasMore: false, currentRev: revision });
    }
    const key = `${kind}/${name === '' ? body.metadata.name : name}`;
    const known = this.#objects.get(key);
    if (request.method === 'GET') return known === undefined ? send(404) : send(200, known);
    if (request.method === 'POST') {
      if (known !== undefined) return send(409, known);
      return send(200, this.put(kind, body.metadata.name, body.spec));
    }
    if (known === undefined) return send(404);
    const expected = body?.metadata.revision ?? searchParams.get('revision');
    const isOther = expected !== null && expected !== undefined;
    if (isOther && Number(expected) !== known.metadata.revision) return send(409, known);
    if (request.method === 'DELETE') {
      this.remove(kind, name);
      return send(200, known);
    }
    if (JSON.stringify(known.spec) === JSON.stringify(body.spec)) return send(200, known);
    return send(200, this.put(kind, name, body.spec));
  }

  /** The state that calls with `staleOk` see. */
  #stale() {
    const untilMs = performance.now() - this.staleMs;
    return this.#past.findLast(({ atMs }) => atMs <= untilMs) ?? this.#past[0] ?? this.copy();
  }

  async #watch(kind, query, response, send) {
    const since = Number(query.get('watch'));
    const { era } = this;
    if (since > this.#revision) return send(410);
    const untilMs = performance.now() + Math.min(30_000, Number(query.get('waitTimeMs') ?? 0));
    let isGone = false;
    response.once('close', () => {
      isGone = true;
      for (const wake of this.#waiting) wake();
    });
    for (;;) {
      // A watch from before a restore is cut off.
      if (this.era !== era || this.isAway) return response.destroy();
      const events = this.#history
        .filter((entry) => entry.kind === kind && entry.object.metadata.revision > since)
        .map(({ object, deleted }) => ({ object, deleted }));
      const leftMs = untilMs - performance.now();
      if (events.length > 0 || leftMs <= 0 || isGone)
        return send(200, { events, currentRev: this.#revision });
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.#waiting.add(wake);
      });
    }
  }
}
