/**
 * A faulty server sends an answer twice, the second time late, where the next answer on that channel is expected. The
 * answer is one with `X-Not-Executed` to an earlier request; its `X-Request-Id` tells so. The next request is run, so it
 * must not be answered 503 for it.
 */
import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { PlainServer } from '../lib/PlainServer.mjs';
import { runCase } from '../lib/Record.mjs';
import { sendRequest } from '../lib/sendRequest.mjs';
import { host, SystemUnderTest } from '../lib/SystemUnderTest.mjs';

const service = 'wuno96b';
/** As the site's `garble` with `extra late`: share 0.6 of the servers, 0.03 of their answers. */
const serverCount = 4;
const faultyServers = 2;
const extraShare = 0.03;
/** Bursts beyond what the servers run and queue, so that some requests are rejected. */
const bursts = 30;
const burstRequests = 90;
const burstGapMs = 400;
const slots = 6;
const queue = 6;
const workMs = 30;
const promises = [408, 421, 429, 503];

await runCase(new URL('./', import.meta.url), async ({ record, hasTrouble }) => {
  const system = new SystemUnderTest();
  const ran = new Map();
  const servers = [];
  const ended = [];
  try {
    const common = { host, timeoutMs: 1_000, targetLatencyMs: 100, priority: 2, service };
    const names = { name: 'r-confirma', pathPrefix: '/puxa403/', kind: 'unsafe', maxAttempts: 1 };
    const routes = [{ ...common, ...names, public: false, sticky: false, resumable: false }];
    const healthPath = '/health';
    const services = [{ name: service, healthPath, maxConns: 96, protocol: 'h1', tls: false }];
    system.configure({ routes, services });
    for (let index = 0; index < serverCount; index += 1) {
      const isFaulty = hasTrouble && index < faultyServers;
      const ownId = `i-00000${index}`;
      /** The late answer that waits on each channel. */
      const late = new WeakMap();
      let answers = 0;
      let extras = 0;
      const server = new PlainServer({
        id: ownId,
        slots,
        queue,
        workMs,
        onRun: (id) => {
          answers += 1;
          ran.set(id, ownId);
          record.add(`${ownId} runs ${id}`);
        },
        onRejected: (id) => {
          answers += 1;
          record.add(`${ownId} rejects ${id}: 503 with X-Not-Executed`);
        },
        afterRejected: (socket, answer) => {
          if (!isFaulty || extras >= Math.floor(answers * extraShare)) return;
          extras += 1;
          late.set(socket, answer);
        },
        before: (socket) => {
          const answer = late.get(socket);
          if (answer === undefined) return '';
          late.delete(socket);
          record.add(`${ownId} sends a late second answer: ${answer.split('\r\n')[1]}`);
          return answer;
        },
      });
      servers.push(server);
      const port = await server.listen();
      const zone = ['medellin-a', 'medellin-b', 'envigado', 'rionegro'][index];
      system.register({ id: ownId, service, port, zone, slots, born: server.born });
    }
    await system.start(4);
    const agent = new Agent({ keepAlive: true });
    const answers = [];
    for (let burst = 0; burst < bursts; burst += 1) {
      for (let index = 0; index < burstRequests; index += 1) {
        const id = `request-${String(burst).padStart(2, '0')}-${String(index).padStart(3, '0')}`;
        const { frontPort: port, name } = system.instances[index % system.instances.length];
        record.add(`${id} is sent to ${name}`);
        const target = { port, agent, method: 'POST', path: '/puxa403/2f', body: 'a body' };
        const answering = sendRequest({ ...target, id, budgetMs: 1_000 }).then(
          ({ status, body }) => {
            record.add(`${id} is answered ${status}`);
            ended.push({ id, status, body });
          },
        );
        answers.push(answering);
      }
      await sleep(burstGapMs);
    }
    await Promise.all(answers);
    agent.destroy();
    if (ended.filter(({ status }) => status === 200).length < ended.length / 4)
      throw new Error('less than a quarter of the requests was served');
  } finally {
    await system.stop();
    for (const server of servers) server.close();
  }
  return ended
    .filter(({ id, status }) => promises.includes(status) && ran.has(id))
    .map(({ id, status }) => `REFUSED: ${id} is answered ${status}, and ${ran.get(id)} ran it`);
});
