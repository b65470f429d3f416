/**
 * What one routing decision costs, by the number of upstreams of the service.
 */
import {
  createRandom,
  ManualClock,
  type AccountId,
  type FailureDomainId,
  type InstanceId,
  type UpstreamId,
} from '@acaciacrank/base';
import { AdmissionQueue, PrefixAffinity, UpstreamRegistry } from '@acaciacrank/routing';
import type { RunOptions } from '../../_lib/runNamed/index.js';
import { LocalUpstreamClients } from '../../LocalUpstreamClients/index.js';
import { MemoryInstanceList, MemoryPlatform } from '@acaciacrank/store';
import type { ResultRow } from '../../printTable/index.js';
import { StandinEngine } from '../../StandinEngine/index.js';
import { roundHundredths } from '../_lib/roundHundredths/index.js';

const upstreamCounts = [12, 120, 1_200];
const decisionsPerRound = 20_000;
const rounds = 7;
const prefixes = 200;
const service = 'assistant' as never;
/** Requests that stay under way meanwhile, for each upstream. */
const heldPerUpstream = 2;

/**
 * Takes the least of several rounds, so that other work on the machine does not count.
 *
 * @param options - the seed
 * @returns one row for each number of upstreams; the ratio is to the first
 */
export async function run(options: RunOptions): Promise<readonly ResultRow[]> {
  const decideOf = await Promise.all(upstreamCounts.map((count) => createDecide(count, options)));
  const leastMicros = decideOf.map(() => Infinity);
  // Sizes take turns, so that a slow spell of the machine meets all of them alike.
  for (let round = 0; round < rounds; round += 1) {
    for (const [index, decide] of decideOf.entries()) {
      const startedMicros = process.cpuUsage();
      for (let count = 0; count < decisionsPerRound; count += 1) await decide();
      const { user, system } = process.cpuUsage(startedMicros);
      const micros = (user + system) / decisionsPerRound;
      leastMicros[index] = Math.min(leastMicros[index] ?? Infinity, micros);
    }
  }
  return upstreamCounts.map((upstreams, index) => ({
    upstreams,
    decisions: decisionsPerRound * rounds,
    processorMicrosecondsPerDecision: roundHundredths(leastMicros[index] ?? 0),
    ratioToFewest: roundHundredths((leastMicros[index] ?? 0) / (leastMicros[0] ?? 1)),
  }));
}

/** One decision: admit, find the candidates, choose, count as under way, first token, end. */
async function createDecide(count: number, { seed }: RunOptions): Promise<() => Promise<void>> {
  const clock = new ManualClock();
  const random = createRandom(seed);
  const registry = await createRegistry(clock, count);
  const choice = new PrefixAffinity();
  const queue = new AdmissionQueue({ clock, limit: () => registry.slots(service) });
  const signal = new AbortController().signal;
  for (const upstream of registry.all()) {
    for (let held = 0; held < heldPerUpstream; held += 1) registry.begin(upstream, 1);
  }
  let decisions = 0;
  return async () => {
    decisions += 1;
    const accountId = `account-${decisions % 10}` as AccountId;
    const request = { service, priority: 1, accountId, waitMs: 2_000, signal };
    using place = await queue.admit(request);
    void place;
    const context = { random, prefixHash: decisions % prefixes };
    const upstream = choice.choose(registry.candidates(service), context);
    if (upstream === undefined) throw new Error('there is no candidate');
    using use = registry.begin(upstream, request.priority);
    use.progress();
  };
}

async function createRegistry(clock: ManualClock, count: number): Promise<UpstreamRegistry> {
  const platform = new MemoryPlatform(clock);
  const clients = new LocalUpstreamClients();
  for (let index = 0; index < count; index += 1) {
    const id = `e${index}`;
    clients.engines.set(id, new StandinEngine({ id: id as UpstreamId, clock }));
    platform.setInstance({
      id: id as InstanceId,
      role: 'engine',
      service,
      url: `http://127.0.0.1/${id}`,
      failureDomain: 'fd1' as FailureDomainId,
      state: 'live',
    });
  }
  const link = { isDown: false, delayMs: 0, answersToLose: 0 };
  const list = new MemoryInstanceList(platform, link);
  const registry = new UpstreamRegistry({ list, clients, clock });
  await clock.runUntil(registry.start());
  await clock.advance(1);
  return registry;
}
