/**
 * A model server's stream has no length and ends with its channel. The process of the system that passes it on is
 * killed midway; with TROUBLE=term it is stopped as planned instead. What the client got by then must not look complete.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { looksComplete, readToEnd } from '../lib/readToEnd.mjs';
import { runCase } from '../lib/Record.mjs';
import { StreamServer } from '../lib/StreamServer.mjs';
import { SystemUnderTest, host } from '../lib/SystemUnderTest.mjs';

const service = 'huvo11a';
/** Streams of 4 s; of 12 s, longer than `graceS`, for a planned stop. */
const isPlannedStop = process.env.TROUBLE === 'term';
const events = isPlannedStop ? 120 : 40;
const gapMs = 100;
const streamsPerInstance = 6;
const killAfterMs = 1_500;
/** The platform's `graceS`: SIGKILL comes this long after SIGTERM. */
const graceMs = 8_000;

await runCase(new URL('./', import.meta.url), async ({ record, hasTrouble }) => {
  const system = new SystemUnderTest();
  const servers = [];
  const answers = [];
  try {
    const common = { host, timeoutMs: 15_000, targetLatencyMs: 1_000, gapTargetMs: 300 };
    const names = { name: 'r-plan', pathPrefix: '/lohu930/', kind: 'streaming', service };
    const flags = { public: false, sticky: true, resumable: false, maxAttempts: 1, priority: 1 };
    const engine = { slots: 64, kvTokens: 518_276, stride: 5, models: [{ name: 'm' }] };
    const wire = { healthPath: '/health', maxConns: 360, protocol: 'h1', tls: false };
    const routes = [{ ...common, ...names, ...flags }];
    system.configure({ routes, services: [{ name: service, ...wire, engine }] });
    for (const [index, zone] of ['medellin-a', 'medellin-b', 'envigado', 'rionegro'].entries()) {
      const id = `i-00000${index}`;
      const server = new StreamServer({
        id,
        events,
        gapMs,
        onRun: (requestId) => record.add(`${id} runs ${requestId}`),
        onEnd: (requestId) => record.add(`${id} has made all ${events} events of ${requestId}`),
      });
      servers.push(server);
      system.register({
        id,
        service,
        port: await server.listen(),
        zone,
        slots: 64,
        born: server.born,
      });
    }
    await system.start(4);
    const reading = [];
    for (const instance of system.instances) {
      for (let index = 0; index < streamsPerInstance; index += 1) {
        const id = `${instance.name}-${index}`;
        record.add(`${id} is sent to ${instance.name}`);
        const target = { port: instance.frontPort, path: '/lohu930/2f', id, budgetMs: 15_000 };
        reading.push(readToEnd(target).then((answer) => answers.push({ id, ...answer })));
      }
    }
    await sleep(killAfterMs);
    if (hasTrouble) {
      const [stopped] = system.instances;
      const signal = isPlannedStop ? 'SIGTERM' : 'SIGKILL';
      record.add(`${stopped.name} gets ${signal}`);
      stopped.signal(signal);
      void stopped.exited.then((code) => record.add(`${stopped.name} has ended (${code})`));
      setTimeout(() => stopped.signal('SIGKILL'), graceMs);
    }
    await Promise.all(reading);
  } finally {
    await system.stop();
    for (const server of servers) server.close();
  }
  const broken = [];
  for (const answer of answers) {
    const { id, body, channel } = answer;
    const got = [...body.matchAll(/^id: (\d+)$/gm)].length;
    const isComplete = looksComplete(answer);
    const looks = isComplete ? 'looks complete' : 'is seen to be incomplete';
    record.add(`${id}: ${got} of ${events} events, the channel ended ${channel}; it ${looks}`);
    if (isComplete && got < events)
      broken.push(
        `MIXED: ${id} looks complete with ${got} of ${events} events (channel ${channel})`,
      );
  }
  if (answers.filter(({ body }) => body.includes(`${events} of ${events}`)).length < 12)
    throw new Error('less than half of the streams was served');
  return broken;
});
