/** A small deployment: four machines in three zones, the store, servers and the operator's desired state. */
import { spawn } from 'node:child_process';
import { appendFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';
import { chooseNetwork, Fleet, root } from './fleet.mjs';
import { Server } from './server.mjs';
import { Store } from './store.mjs';

export const zones = ['wellington', 'wellington', 'auckland', 'hamilton'];
export const host = 'ramen.example';
const heartbeatMs = 1_200;

/** Writes `record.txt` beside a script: a line of JSON for each thing that was sent, answered, run or done. */
export class Record {
  #path;
  #lines = [];
  #startedMs = performance.now();

  constructor(path) {
    this.#path = path;
    writeFileSync(path, '');
  }

  now = () => Math.round(performance.now() - this.#startedMs);

  note = (event) => {
    this.#lines.push(JSON.stringify({ atMs: this.now(), ...event }));
    if (this.#lines.length >= 500) this.flush();
  };

  /** Also printed. */
  say = (text) => {
    this.note({ what: 'says', text });
    process.stdout.write(`${(this.now() / 1000).toFixed(1).padStart(6)} s  ${text}\n`);
  };

  flush() {
    if (this.#lines.length > 0) appendFileSync(this.#path, `${this.#lines.join('\n')}\n`);
    this.#lines = [];
  }
}

export function tenantsOf(count, prepaid) {
  return Array.from({ length: count }, (_, index) => ({
    name: `tenant${index}`,
    apiKeys: [`key-of-tenant-${index}-0123456789`],
    priority: 1,
    prepaid,
  }));
}

export class World {
  network = chooseNetwork();
  store = new Store();
  servers = [];
  version = 0;
  #beats = [];

  constructor(record) {
    this.record = record;
  }

  async start({ document, servers, extra = '' }) {
    const storePort = await this.store.listen(`${this.network}.2`);
    this.document = document;
    this.configure({});
    for (const [index, options] of servers.entries()) {
      const server = new Server(
        { ...options, host: `${this.network}.${100 + index}` },
        this.record.note,
      );
      await server.listen();
      this.servers.push(server);
      this.register(server);
    }
    this.#beats.push(
      setInterval(() => this.servers.forEach((server) => this.register(server)), heartbeatMs),
    );
    this.fleet = new Fleet({
      network: this.network,
      zones,
      storeAddress: `${this.network}.2:${storePort}`,
      extra,
    });
    await this.fleet.start();
    this.record.say('all machines are ready');
    await sleep(1_500);
  }

  /** Starts a server as a process of its own, so that it can be killed. */
  async startProcess(options) {
    const program = join(root, 'review', 'lib-2', 'server.mjs');
    const all = { ...options, host: `${this.network}.${100 + this.servers.length}` };
    const child = spawn(process.execPath, [program, JSON.stringify(all)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const server = {
      options: { slots: 64, ...all },
      born: Date.now(),
      child,
      close: () => child.kill('SIGKILL'),
    };
    const lines = createInterface({ input: child.stdout });
    await new Promise((resolve) => {
      lines.on('line', (line) => {
        const event = JSON.parse(line);
        if (event.what !== 'listens')
          return this.record.note({ ...event, atMs: this.record.now() });
        server.port = event.port;
        resolve();
      });
    });
    this.servers.push(server);
    this.register(server);
    return server;
  }

  /** Kills the process of a server, which is lost for good; its entry goes after three heartbeats of silence. */
  killServer(server) {
    server.isGone = true;
    server.child.kill('SIGKILL');
    setTimeout(() => this.store.delete('servers', server.options.id), 3 * heartbeatMs);
  }

  /** The operator's next desired state. */
  configure(changes) {
    this.version += 3;
    this.document = { ...this.document, ...changes, version: this.version };
    this.store.put('config', 'main', this.document);
  }

  register(server) {
    if (this.store.isAway || server.isGone) return;
    const { id, service, zone, slots, host: ip } = server.options;
    server.seqNo = (server.seqNo ?? 0) + 1;
    const spec = {
      service,
      address: `${ip}:${server.port}`,
      zone,
      version: 'v1',
      slots,
      state: server.state ?? 'ready',
    };
    this.store.put('servers', id, { ...spec, coldMs: 0, seqNo: server.seqNo, born: server.born });
  }

  /** What the operator and the servers do after the store has come back from an older copy. */
  writeAgain() {
    this.store.put('config', 'main', this.document);
    for (const server of this.servers) {
      const { id, service, zone, slots, host: ip } = server.options;
      const spec = {
        service,
        address: `${ip}:${server.port}`,
        zone,
        version: 'v1',
        slots,
        state: 'ready',
      };
      this.store.put('servers', id, { ...spec, coldMs: 0, seqNo: server.seqNo, born: server.born });
    }
  }

  async end() {
    for (const beat of this.#beats) clearInterval(beat);
    await this.fleet?.end();
    for (const server of this.servers) server.close();
    this.store.close();
    this.record.flush();
  }
}

/** Runs a script: exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function play(record, world, script) {
  let code = 2;
  const limit = setTimeout(() => {
    record.say('the script takes too long');
    void world.end().finally(() => process.exit(2));
  }, 115_000);
  try {
    code = (await script()) ? 1 : 0;
  } catch (error) {
    record.say(`could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  await world.end();
  process.stdout.write(
    code === 1 ? 'the rule was broken\n' : code === 0 ? 'the rule held\n' : 'not run\n',
  );
  process.exit(code);
}

export function engineDocument({ tenants, routes, services }) {
  return {
    routes,
    services,
    limits: {
      headerBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    tenants,
  };
}
