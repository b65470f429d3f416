/**
 * Clients as PROTOCOL.md describes them: they ask a directory where to connect, keep that for its time to live, pick an
 * address at random, keep channels open, and retry once after a promise or, for what may be repeated, after a failure.
 */
import { Agent, request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { fetchText } from './fleet.mjs';

const promises = new Set([408, 421, 429, 503]);

export class Clients {
  #agent = new Agent({ keepAlive: true, maxSockets: 256 });
  #fleet;
  #note;
  #addresses = [];
  #addressesUntilMs = -Infinity;
  #nextId = 0;
  #pending = new Set();
  outcomes = [];

  constructor(fleet, note) {
    this.#fleet = fleet;
    this.#note = note;
  }

  /** Sends requests at a rate until told to stop; `kinds` is drawn from by weight. */
  run({ perS, kinds, now }) {
    let isStopped = false;
    const total = kinds.reduce((sum, { weight }) => sum + weight, 0);
    const loop = (async () => {
      while (!isStopped) {
        let draw = Math.random() * total;
        const kind = kinds.find(({ weight }) => (draw -= weight) < 0) ?? kinds[0];
        const call = this.ask(kind, now).finally(() => this.#pending.delete(call));
        this.#pending.add(call);
        await sleep((2 * Math.random() * 1000) / perS);
      }
    })();
    return async () => {
      isStopped = true;
      await loop;
      await Promise.all(this.#pending);
      this.#agent.destroy();
    };
  }

  /** One request of a user, with the client's retries. */
  async ask(kind, now) {
    const startedMs = now();
    const untilMs = performance.now() + kind.deadlineMs;
    let attempt;
    for (let tries = 0; tries < 2; tries += 1) {
      attempt = await this.#attempt(kind, untilMs, now);
      if (attempt.isServed) break;
      const mayRetry = kind.isRepeatable || promises.has(attempt.status) || attempt.wasUnread;
      const waitMs = Math.min(
        1000 * Number(attempt.retryAfter ?? 0.05),
        (untilMs - performance.now()) / 3,
      );
      if (!mayRetry || [400, 401, 402, 404, 413, 431].includes(attempt.status) || waitMs < 0) break;
      await sleep(waitMs);
    }
    this.outcomes.push({ kind: kind.name, startedMs, endedMs: now(), ...attempt });
  }

  async #attempt(kind, untilMs, now) {
    this.#nextId += 1;
    const requestId = `q${process.pid.toString(16)}x${this.#nextId}`;
    const address = await this.#pickAddress();
    if (address === undefined)
      return { requestId, status: 0, why: 'no directory', isServed: false, wasUnread: true };
    const headers = {
      host: kind.host,
      'x-request-id': requestId,
      'x-time-budget': String(Math.max(1, Math.round(untilMs - performance.now()))),
      authorization: `Bearer ${kind.keyOf()}`,
      ...kind.headersOf?.(),
    };
    this.#note({ atMs: now(), what: 'sends', requestId, kind: kind.name, to: address });
    const answer = await this.#send(address, kind, headers, untilMs);
    const isServed = answer.status === 200 && answer.isComplete;
    const { status, isComplete, why } = answer;
    const ids = [...answer.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    const seen = { events: ids.length, lastEvent: ids.at(-1) };
    this.#note({
      atMs: now(),
      what: 'gets',
      requestId,
      status,
      isComplete,
      why,
      ...(kind.isStream && seen),
    });
    const body = kind.keepsBody ? answer.body : answer.body.slice(0, 200);
    return { requestId, ...answer, ...seen, bytes: answer.body.length, body, isServed };
  }

  #send(address, kind, headers, untilMs) {
    return new Promise((resolve) => {
      const [host, port] = address.split(':');
      const { method, path } = kind;
      let answer = { status: 0, isComplete: false, why: 'closed', body: '', retryAfter: undefined };
      let isDone = false;
      const finish = () => {
        if (isDone) return;
        isDone = true;
        clearTimeout(timer);
        resolve(answer);
      };
      const outgoing = httpRequest(
        { host, port, method, path, headers, agent: this.#agent },
        (response) => {
          const { 'retry-after': retryAfter, 'x-response-seal': seal } = response.headers;
          answer = {
            ...answer,
            status: response.statusCode,
            retryAfter,
            seal,
            framing: framingOf(response),
          };
          response.setEncoding('utf8');
          response.on('data', (part) => (answer.body += part));
          response.on('end', () => {
            answer.isComplete = response.complete;
            answer.why = undefined;
            finish();
          });
          response.on('error', finish);
          response.on('close', finish);
        },
      );
      outgoing.on('error', (error) => {
        answer.why = error.code ?? error.message;
        answer.wasUnread = error.code === 'ECONNREFUSED';
        finish();
      });
      const timer = setTimeout(
        () => {
          answer.why = 'deadline of the client';
          outgoing.destroy();
          finish();
        },
        Math.max(1, untilMs - performance.now()),
      );
      outgoing.end(kind.bodyOf?.());
    });
  }

  async #pickAddress() {
    if (performance.now() >= this.#addressesUntilMs) await this.#resolve();
    return this.#addresses[Math.floor(Math.random() * this.#addresses.length)];
  }

  async #resolve() {
    const machines = [...this.#fleet.machines].sort(() => Math.random() - 0.5).slice(0, 3);
    for (const { directory } of machines) {
      const { status, body } = await fetchText(
        `http://${directory}/resolution?name=x&region=nz-north&zone=hamilton`,
      );
      if (status !== 200) continue;
      const { addresses, ttlS } = JSON.parse(body);
      this.#addresses = addresses;
      this.#addressesUntilMs = performance.now() + 1000 * ttlS;
      return;
    }
  }
}

function framingOf({ headers }) {
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  return headers['content-length'] === undefined ? 'none' : 'length';
}
