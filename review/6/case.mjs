/**
 * DENIED: one process is killed once, before its tenants have used anything; later tenants are told that their prepaid
 * tokens are used up (402) though a quarter of them is left.
 */
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Clients } from '../lib-2/clients.mjs';
import { engineDocument, host, play, Record, tenantsOf, World } from '../lib-2/world.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const record = new Record(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'));
const world = new World(record);
const prepaid = 60_000;
/** Share of the prepaid tokens that the tenants ask for by the end of the run, at most. */
const askedShare = 0.85;
/** A request isn't owed beyond this share of the prepaid tokens (RULES.md). */
const owedShare = 0.97;
const tokensPerEvent = 5;
const promptTokens = 500;
const events = 20;
const maxOutputTokens = events * tokensPerEvent;
const tokensPerRequest = promptTokens + maxOutputTokens;
const tenants = tenantsOf(10, prepaid);

const document = engineDocument({
  tenants,
  routes: [
    {
      host,
      kind: 'streaming',
      service: 'kitchen-tutor',
      gapTargetMs: 300,
      priority: 1,
      public: false,
      name: 'prompt',
      pathPrefix: '/prompt/',
      timeoutMs: 15000,
      targetLatencyMs: 400,
      maxAttempts: 2,
      resumable: true,
    },
  ],
  services: [
    {
      name: 'kitchen-tutor',
      maxConns: 370,
      engine: { slots: 64, kvTokens: 428428, stride: tokensPerEvent },
    },
  ],
});
const servers = [0, 1, 2, 3].map((index) => ({
  id: `i-tutor-${index}`,
  service: 'kitchen-tutor',
  zone: ['wellington', 'auckland', 'hamilton', 'wellington'][index],
  slots: 64,
  isStream: true,
  events,
  eventMs: 15,
}));

const asked = new Map(tenants.map(({ name }) => [name, 0]));
const keys = new Map(tenants.map(({ name, apiKeys: [key] }) => [key, name]));

/** Keys of tenants in turn, as long as they have not asked for their share. */
function nextTenant() {
  const [name, count] = [...asked].reduce((least, other) => (other[1] < least[1] ? other : least));
  if ((count + 1) * tokensPerRequest > askedShare * prepaid) return undefined;
  asked.set(name, count + 1);
  return tenants.find((tenant) => tenant.name === name);
}

await play(record, world, async () => {
  await world.start({ document, servers });
  await sleep(4_000);
  if (hasTrouble) {
    const [machine] = world.fleet.machines;
    record.say(`the process of ${machine.name} is killed`);
    machine.signal('SIGKILL');
  }
  // Longer than stableWindowMs and recoveryS, so that all machines are in touch again.
  await sleep(13_000);
  record.say('the tenants begin');
  const clients = new Clients(world.fleet, record.note);
  const pending = [];
  for (;;) {
    const tenant = nextTenant();
    if (tenant === undefined) break;
    const key = tenant.apiKeys[0];
    const headersOf = () => {
      const own = Math.random().toString(16).slice(2, 10);
      return {
        'x-model': 'm',
        'x-token-count': `${promptTokens},${maxOutputTokens}`,
        'x-prompt-prefix': `a1:200,${own}:300`,
      };
    };
    const kind = {
      name: tenant.name,
      host,
      keyOf: () => key,
      headersOf,
      method: 'POST',
      path: '/prompt/1',
      isStream: true,
    };
    pending.push(
      clients.ask(
        { ...kind, deadlineMs: 15_000, isRepeatable: true, bodyOf: () => 'a prompt' },
        record.now,
      ),
    );
    await sleep(60 * Math.random());
  }
  await Promise.all(pending);
  const used = new Map(tenants.map(({ name }) => [name, 0]));
  for (const { kind, status, events: seen = 0 } of clients.outcomes)
    if (status === 200) used.set(kind, used.get(kind) + promptTokens + tokensPerEvent * seen);
  // By the end nobody has used more than before, so that what fits then has fitted at any time.
  const denied = clients.outcomes.filter(({ status, kind }) => {
    return status === 402 && used.get(kind) + tokensPerRequest <= owedShare * prepaid;
  });
  const allowed = 5 + clients.outcomes.length / 500;
  const counts = {};
  for (const { status } of clients.outcomes) counts[status] = (counts[status] ?? 0) + 1;
  record.say(
    `${clients.outcomes.length} requests of ${tokensPerRequest} tokens at most: ${JSON.stringify(counts)}`,
  );
  for (const [name, tokens] of used) {
    const count = denied.filter(({ kind }) => kind === name).length;
    record.say(
      `${name} has prepaid ${prepaid}, was served ${tokens} (${((100 * tokens) / prepaid).toFixed(0)} %), got 402 ${count} times`,
    );
  }
  const [first] = denied;
  if (first !== undefined) record.say(`the first, ${first.requestId}: ${first.body}`);
  record.say(`denied ${denied.length} times, allowed are ${allowed.toFixed(1)}`);
  return denied.length > allowed;
});
