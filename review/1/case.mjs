/**
 * A server answers 500 to a part of the requests that it has run, and its health check is good. A request of an
 * `unsafe` route whose `maxAttempts` is 2 must not be sent to a second server then.
 */
import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { PlainServer } from '../lib/PlainServer.mjs';
import { runCase } from '../lib/Record.mjs';
import { sendRequest } from '../lib/sendRequest.mjs';
import { host, SystemUnderTest } from '../lib/SystemUnderTest.mjs';

const requests = 400;
const gapMs = 25;
const service = 'wuno96b';
/** One server of four, as the site's `srv_grey` (share 0.14, at least one), fails 0.45 of its requests. */
const serverCount = 4;
const failedShare = 0.45;

await runCase(new URL('./', import.meta.url), async ({ record, hasTrouble }) => {
  const system = new SystemUnderTest();
  const runs = new Map();
  const servers = [];
  let served = 0;
  let begun = 0;
  try {
    const common = { host, timeoutMs: 1_000, targetLatencyMs: 100, priority: 2, service };
    const names = { name: 'r-confirma', pathPrefix: '/puxa403/', kind: 'unsafe', maxAttempts: 2 };
    const routes = [{ ...common, ...names, public: false, sticky: false, resumable: false }];
    const healthPath = '/health';
    const services = [{ name: service, healthPath, maxConns: 96, protocol: 'h1', tls: false }];
    system.configure({ routes, services });
    for (let index = 0; index < serverCount; index += 1) {
      const isGrey = hasTrouble && index === 0;
      const server = new PlainServer({
        id: `i-00000${index}`,
        slots: 6,
        queue: 24,
        workMs: 20,
        onRun: (id, serverId) => {
          runs.set(id, [...(runs.get(id) ?? []), serverId]);
          record.add(`${serverId} runs ${id}`);
        },
        failure: (id) => {
          if (!isGrey) return undefined;
          served += 1;
          const isFailed =
            Math.floor(served * failedShare) > Math.floor((served - 1) * failedShare);
          if (isFailed) record.add(`i-00000${index} answers 500 to ${id}, which it has run`);
          return isFailed ? 500 : undefined;
        },
      });
      servers.push(server);
      const port = await server.listen();
      const zone = ['medellin-a', 'medellin-b', 'envigado', 'rionegro'][index];
      system.register({ id: `i-00000${index}`, service, port, zone, slots: 6, born: server.born });
    }
    await system.start(4);
    const agent = new Agent({ keepAlive: true });
    const answers = [];
    while (begun < requests) {
      const id = `request-${String(begun).padStart(4, '0')}`;
      const { frontPort: port, name } = system.instances[begun % system.instances.length];
      begun += 1;
      record.add(`${id} is sent to ${name}`);
      const target = { port, agent, method: 'POST', path: '/puxa403/2f', body: 'a body' };
      const answering = sendRequest({ ...target, id, budgetMs: 1_000 }).then(({ status }) => {
        record.add(`${id} is answered ${status}`);
        return { id, status };
      });
      answers.push(answering);
      await sleep(gapMs);
    }
    const ended = await Promise.all(answers);
    agent.destroy();
    if (ended.filter(({ status }) => status === 200).length < requests / 2)
      throw new Error('less than half of the requests was served');
  } finally {
    await system.stop();
    for (const server of servers) server.close();
  }
  return [...runs]
    .filter(([, ranAt]) => ranAt.length > 1)
    .map(([id, ranAt]) => `TWICE: ${id} ran ${ranAt.length} times, at ${ranAt.join(' and ')}`);
});
