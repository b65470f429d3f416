/**
 * The store falls silent for two of seven machines of a zone while the desired state changes in quick succession. The
 * other five have lost nothing; they must handle requests by what was acknowledged `configMs` ago.
 */
import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { PlainServer } from '../lib/PlainServer.mjs';
import { runCase } from '../lib/Record.mjs';
import { sendRequest } from '../lib/sendRequest.mjs';
import { host, SystemUnderTest } from '../lib/SystemUnderTest.mjs';

/** The bounds of site refugio-reservas-grown. */
const bounds = { stableWindowMs: 4_000, ackMs: 6_000, drainMs: 3_000, configMs: 3_000 };
const service = 'wuno96b';
const zone = 'medellin-a';
/** Machines of the zone, and in turn those that the store turns away: at most 0.35 of them, for 9 s. */
const machines = 7;
const outages = [
  [0, 1],
  [2, 3],
  [4, 5],
];
const outageMs = 9_000;
/** As the site's `config_storm`: for 4 s a change each 0.33 s, from 1.5 s before an outage. */
const storm = { leadMs: 1_500, durationMs: 4_000, gapMs: 330 };
/** How much later than `configMs` after the ack a route is asked for. */
const slackMs = 50;

await runCase(new URL('./', import.meta.url), async ({ record, hasTrouble }) => {
  const system = new SystemUnderTest();
  const server = new PlainServer({
    id: 'i-000000',
    slots: 64,
    queue: 64,
    workMs: 1,
    onRun: () => undefined,
  });
  const broken = [];
  const asking = [];
  const routes = [];
  let version = 0;
  let answered = 0;
  /** When the store last served each machine badly. */
  const disturbedMs = new Map();
  const agent = new Agent({ keepAlive: true });

  const isInTouch = (instance) =>
    performance.now() - (disturbedMs.get(instance) ?? -Infinity) > bounds.stableWindowMs;

  const change = () => {
    version += 1;
    const common = { host, timeoutMs: 1_000, targetLatencyMs: 100, priority: 2, service };
    const names = { name: `r-${version}`, pathPrefix: `/p${version}/`, kind: 'safe' };
    routes.push({ ...common, ...names, maxAttempts: 2, public: false });
    const healthPath = '/health';
    const services = [{ name: service, healthPath, maxConns: 530, protocol: 'h1', tls: false }];
    system.configure({ routes, services, version });
    record.add(`version ${version} is acked; it adds /p${version}/`);
  };

  const ask = async (instance, asked, ackMs) => {
    const id = `${instance.name}-${asked}`;
    const target = { port: instance.frontPort, agent, method: 'GET', path: `/p${asked}/2f` };
    const sentMs = performance.now();
    const { status } = await sendRequest({ ...target, id, budgetMs: 1_000 });
    const lateMs = Math.round(sentMs - ackMs);
    record.add(`${id}: sent ${lateMs} ms after the ack of version ${asked}, answered ${status}`);
    if (status === 200) answered += 1;
    if (status === 404)
      broken.push(`CONFIG: ${id} is answered 404, ${lateMs} ms after the ack of version ${asked}`);
  };

  const changeAndAsk = () => {
    change();
    const asked = version;
    const ackMs = performance.now();
    const asks = async () => {
      await sleep(bounds.configMs + slackMs);
      const calm = system.instances.filter(isInTouch);
      await Promise.all(calm.map((instance) => ask(instance, asked, ackMs)));
    };
    asking.push(asks());
  };

  const playStorm = async () => {
    const untilMs = performance.now() + storm.durationMs;
    while (performance.now() < untilMs) {
      changeAndAsk();
      await sleep(storm.gapMs);
    }
  };

  const playOutage = async (indexes) => {
    const silent = indexes.map((index) => system.instances[index]);
    record.add(`the store is silent for ${silent.map(({ name }) => name).join(' and ')}`);
    for (const { proxy } of silent) proxy.setSilent(true);
    const untilMs = performance.now() + outageMs;
    while (performance.now() < untilMs) {
      for (const instance of silent) disturbedMs.set(instance, performance.now());
      await sleep(50);
    }
    for (const { proxy } of silent) proxy.setSilent(false);
    record.add('the store serves all again');
  };

  try {
    const port = await server.listen();
    system.register({ id: 'i-000000', service, port, zone, slots: 64, born: server.born });
    change();
    await system.start(machines, { bounds, zoneOf: () => zone, hasProxies: true });
    await sleep(5_000);
    for (const indexes of outages) {
      const storming = playStorm();
      await sleep(storm.leadMs);
      if (hasTrouble) await playOutage(indexes);
      else await sleep(outageMs);
      await storming;
      await sleep(bounds.stableWindowMs);
    }
    await Promise.all(asking);
    agent.destroy();
    if (answered < 50) throw new Error('hardly any request was served');
  } finally {
    await system.stop();
    server.close();
  }
  return broken;
});
