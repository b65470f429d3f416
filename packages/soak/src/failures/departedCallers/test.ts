/**
 * What upstreams see of requests whose callers have left.
 */
import test, { type ExecutionContext } from 'ava';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { DepartingCallers, isWhole } from '../../_lib/DepartingCallers/index.js';
import { HoldingProxy } from '../../_lib/HoldingProxy/index.js';
import { ProcessFixture } from '../../_lib/ProcessFixture/index.js';

const callCount = 30;
/** As many connections as may wait to be accepted. */
const crowdSize = 700;
const settleMs = 1_000;
/** Time in which what is under way reaches its upstream, in milliseconds. */
const arrivalWaitMs = 800;
const paths = ['/read/', '/pay/', '/chat/'] as const;

async function startFleet(instances: number) {
  const fixture = new ProcessFixture();
  const callers = new DepartingCallers();
  const proxies: HoldingProxy[] = [];
  for (const service of ['app', 'app', 'lm', 'lm']) {
    await fixture.addUpstream(service, callers.script, async (port) => {
      const proxy = fixture.own(new HoldingProxy(port));
      proxies.push(proxy);
      return proxy.listen();
    });
  }
  await fixture.start(instances);
  await sleep(settleMs);
  const port = fixture.instances[0]?.ports.front ?? 0;
  // Connections to upstreams are open, and code is compiled, as in a process that has run for a while.
  for (const path of paths) await callers.callMany(callCount, { port, path, waitMs: 3_000 });
  return { fixture, callers, proxies, port };
}

async function pause({ instances }: ProcessFixture, durationMs: number, from = 0): Promise<void> {
  for (const instance of instances.slice(from)) instance.signal('SIGSTOP');
  await sleep(durationMs);
  for (const instance of instances.slice(from)) instance.signal('SIGCONT');
}

/** Checks that nothing was sent too late, by instances that have not ended; logs what they did with what was. */
function checkSends(
  t: ExecutionContext,
  { lateSends }: DepartingCallers,
  { instances, exitCount }: ProcessFixture,
): void {
  for (const { id } of lateSends)
    for (const { logLines } of instances)
      for (const line of logLines) if (line.includes(`"${id}"`)) t.log(line);
  t.deepEqual(lateSends, []);
  t.is(exitCount, 0);
}

/** Callers that arrive while an instance stands still, and have left before it continues. */
const departures = [
  { what: 'have no time left', waitMs: 300, budgetMs: 300, form: 'end' },
  { what: 'give up early', waitMs: 200, budgetMs: 3_000, form: 'end' },
  { what: 'end with a reset', waitMs: 250, budgetMs: 3_000, form: 'reset' },
] as const;

// Guards against an instance that sends on what it reads after a pause, since the end of the connection stands behind it.
for (const { what, ...departure } of departures) {
  test.serial(`an instance that stood still sends nothing for callers that ${what}`, async (t) => {
    const { fixture, callers, port } = await startFleet(1);
    await using _fixture = fixture;
    const paused = pause(fixture, 1_300);
    await sleep(50);
    for (const path of paths) void callers.callMany(callCount, { port, path, ...departure });
    await paused;
    await sleep(arrivalWaitMs);
    t.is(callers.departureCount, paths.length * callCount);
    checkSends(t, callers, fixture);
  });
}

// Guards against the same where pauses are short and follow each other.
test.serial('short pauses in a row send nothing for callers that have left', async (t) => {
  const { fixture, callers, port } = await startFleet(1);
  await using _fixture = fixture;
  for (let round = 0; round < 3; round += 1) {
    const paused = pause(fixture, 750);
    for (const path of paths)
      void callers.callMany(callCount / 3, { port, path, waitMs: 60, budgetMs: 2_000 });
    await paused;
    await sleep(150);
  }
  await sleep(arrivalWaitMs);
  t.true(callers.departureCount >= 3 * callCount - paths.length);
  checkSends(t, callers, fixture);
});

// Guards against connections that are accepted one in each turn of the event loop, long after a pause.
test.serial('a crowd that waited to be accepted is sent nowhere once it has left', async (t) => {
  const { fixture, callers, port } = await startFleet(1);
  await using _fixture = fixture;
  const paused = pause(fixture, 1_300);
  await sleep(50);
  const call = { port, path: '/pay/', waitMs: 250, budgetMs: 3_000 };
  void callers.callMany(crowdSize, call, 1);
  await paused;
  await sleep(2 * arrivalWaitMs);
  t.true(callers.departureCount >= crowdSize);
  checkSends(t, callers, fixture);
});

// Guards against the same on connections that have served other requests before.
test.serial(
  'an instance that stood still sends nothing for callers that leave kept connections',
  async (t) => {
    const { fixture, callers, port } = await startFleet(1);
    await using _fixture = fixture;
    const sockets: Socket[] = [];
    for (let index = 0; index < callCount; index += 1) {
      const socket = connect(port, '127.0.0.1');
      sockets.push(socket);
      await callers.call({ port, path: '/read/', waitMs: 3_000, socket });
    }
    const paused = pause(fixture, 1_300);
    await sleep(50);
    for (const [index, socket] of sockets.entries()) {
      const path = paths[index % paths.length] ?? '/read/';
      void callers.call({ port, path, waitMs: 300, budgetMs: 3_000, socket });
    }
    await paused;
    await sleep(arrivalWaitMs);
    t.is(callers.departureCount, callCount);
    checkSends(t, callers, fixture);
  },
);

// Guards against a guard that refuses or holds up those who still wait.
test.serial('callers that still wait after a pause are all served', async (t) => {
  const { fixture, callers, port } = await startFleet(1);
  await using _fixture = fixture;
  const paused = pause(fixture, 700);
  await sleep(50);
  const answers = paths.map((path) => callers.callMany(callCount, { port, path, waitMs: 2_900 }));
  await paused;
  for (const text of (await Promise.all(answers)).flat()) {
    t.regex(text, /^HTTP\/1.1 200 /);
    t.true(isWhole(text));
  }
  t.is(fixture.exitCount, 0);
});

// Guards against peers that stood still and read a request before the end of the connection that it was relayed on.
test.serial(
  'peers that stood still send nothing that was relayed for callers that have left',
  async (t) => {
    const { fixture, callers, port } = await startFleet(3);
    await using _fixture = fixture;
    fixture.upstreamCuts[0]?.begin({ form: 'refuse', ports: fixture.upstreamPorts });
    // By the first requests that fail the instance finds out that it reaches no upstream.
    await callers.callMany(6, { port, path: '/read/', waitMs: 1_500 });
    await sleep(1_000);
    const before = callers.departureCount;
    const paused = pause(fixture, 1_300, 1);
    await sleep(50);
    for (const path of paths)
      void callers.callMany(callCount / 3, { port, path, waitMs: 300, budgetMs: 3_000 });
    await paused;
    await sleep(arrivalWaitMs);
    t.is(callers.departureCount - before, callCount);
    checkSends(t, callers, fixture);
  },
);

// Guards against bytes that wait for a way that is cut, and are delivered before the end of their connection.
test.serial('what waits for the way to an upstream is lost when its caller leaves', async (t) => {
  const { fixture, callers, proxies, port } = await startFleet(1);
  await using _fixture = fixture;
  for (const proxy of proxies) proxy.hold();
  for (const path of paths)
    void callers.callMany(callCount, { port, path, waitMs: 200, budgetMs: 3_000 });
  await sleep(1_200);
  for (const proxy of proxies) proxy.release();
  await sleep(arrivalWaitMs);
  t.is(callers.departureCount, paths.length * callCount);
  checkSends(t, callers, fixture);
});
