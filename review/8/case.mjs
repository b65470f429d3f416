/**
 * RECOVER: the store comes back from a copy some seconds old, and soon after all processes are killed at once.
 */
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Clients } from '../lib-2/clients.mjs';
import { bounds } from '../lib-2/fleet.mjs';
import { engineDocument, host, play, Record, tenantsOf, World } from '../lib-2/world.mjs';

const trouble = process.env.TROUBLE ?? '1';
const hasDrill = trouble === '1' || trouble === 'drill';
const hasKill = trouble === '1' || trouble === 'kill';
const record = new Record(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'));
const world = new World(record);

/** Far more than the traffic of a run uses. */
const prepaid = 3_000_000;
const tenants = tenantsOf(10, prepaid);
const calmMs = 36_000;
const killAfterMs = 3_000;
const downMs = 800;
const watchedMs = 15_000;

const streaming = {
  host,
  kind: 'streaming',
  service: 'kitchen-tutor',
  gapTargetMs: 300,
  priority: 1,
  public: false,
};
const plain = {
  host,
  service: 'trainee-records',
  timeoutMs: 1200,
  targetLatencyMs: 193,
  priority: 2,
  public: false,
};
const document = engineDocument({
  tenants,
  routes: [
    {
      ...streaming,
      name: 'review',
      pathPrefix: '/review/',
      timeoutMs: 15000,
      targetLatencyMs: 1000,
      maxAttempts: 1,
      resumable: false,
    },
    {
      ...streaming,
      name: 'prompt',
      pathPrefix: '/prompt/',
      timeoutMs: 15000,
      targetLatencyMs: 400,
      maxAttempts: 2,
      resumable: true,
    },
    { ...plain, name: 'read', pathPrefix: '/read/', kind: 'safe', maxAttempts: 2 },
  ],
  services: [
    { name: 'kitchen-tutor', maxConns: 370, engine: { slots: 64, kvTokens: 428428, stride: 5 } },
    { name: 'trainee-records', maxConns: 110 },
  ],
});
const servers = [0, 1, 2, 3].map((index) => ({
  id: `i-tutor-${index}`,
  service: 'kitchen-tutor',
  zone: ['wellington', 'auckland', 'hamilton', 'wellington'][index],
  slots: 64,
  isStream: true,
  events: 16,
  eventMs: 25,
}));
servers.push({
  id: 'i-records-0',
  service: 'trainee-records',
  zone: 'wellington',
  slots: 6,
  isStream: false,
});

const keyOf = () => tenants[Math.floor(Math.random() * tenants.length)].apiKeys[0];
const prompt = (tokens) => () => {
  const own = Math.random().toString(16).slice(2, 10);
  return {
    'x-model': 'm',
    'x-token-count': `${tokens},80`,
    'x-prompt-prefix': `a1:200,${own}:${tokens - 200}`,
  };
};
const common = {
  host,
  keyOf,
  method: 'POST',
  isStream: true,
  deadlineMs: 15_000,
  bodyOf: () => 'a prompt',
};
const kinds = [
  {
    ...common,
    name: 'review',
    path: '/review/1',
    weight: 2,
    isRepeatable: false,
    headersOf: prompt(1_200),
  },
  {
    ...common,
    name: 'prompt',
    path: '/prompt/1',
    weight: 6,
    isRepeatable: true,
    headersOf: prompt(600),
  },
  {
    name: 'read',
    host,
    keyOf,
    method: 'GET',
    path: '/read/1',
    weight: 1,
    deadlineMs: 2_500,
    isRepeatable: true,
  },
];

function share(outcomes) {
  const served = outcomes.filter(({ isServed }) => isServed).length;
  return outcomes.length === 0 ? 0 : served / outcomes.length;
}

function describe(outcomes) {
  const counts = {};
  for (const { kind, status } of outcomes)
    counts[`${kind} ${status}`] = (counts[`${kind} ${status}`] ?? 0) + 1;
  return JSON.stringify(counts);
}

await play(record, world, async () => {
  await world.start({ document, servers });
  const clients = new Clients(world.fleet, record.note);
  const stop = clients.run({ perS: 20, kinds, now: record.now });
  await sleep(calmMs);
  if (hasDrill) {
    record.say('the store goes away for 0.5 s');
    const ageMs = await world.store.drill({
      awayMs: 500,
      copyAgeMs: 5_000,
      writeAgain: () => world.writeAgain(),
    });
    record.say(
      `the store is back from a copy ${(ageMs / 1000).toFixed(1)} s old, era ${world.store.era}`,
    );
  } else await sleep(500);
  await sleep(killAfterMs);
  const faultMs = record.now();
  if (hasKill) {
    record.say('all processes are killed');
    for (const machine of world.fleet.machines) machine.kill();
    await sleep(downMs);
    for (const machine of world.fleet.machines) await machine.startAgain();
  } else await sleep(downMs);
  const backMs = record.now();
  record.say('the processes are started again');
  await sleep(1000 * bounds.recoveryS + watchedMs);
  await stop();
  const before = clients.outcomes.filter(({ startedMs }) => startedMs < faultMs - 1000);
  const after = clients.outcomes.filter(
    ({ startedMs }) => startedMs >= backMs + 1000 * bounds.recoveryS,
  );
  record.say(
    `before the fault: ${before.length} requests, ${(100 * share(before)).toFixed(1)} % served ${describe(before)}`,
  );
  record.say(
    `from ${bounds.recoveryS} s after: ${after.length} requests, ${(100 * share(after)).toFixed(1)} % served ${describe(after)}`,
  );
  const refused = after.find(({ kind, isServed }) => kind !== 'read' && !isServed);
  if (refused !== undefined)
    record.say(`for example ${refused.requestId}: ${refused.status} ${refused.body}`);
  return share(before) >= 0.25 && share(after) < 0.25;
});
