/**
 * Measures the CPU time of one routing decision by the number of upstreams of the service.
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
import type { RunOptions } from '../../_lib/runModuleByName/index.js';
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
/** Number of requests on each upstream that stay in flight during the measurement. */
const inFlightPerUpstream = 2;

/**
 * Reports the minimum over several rounds, to exclude the effect of other load on the machine.
 *
 * @param options - the seed
 * @returns one row for each number of upstreams; the ratio is to the first
 */
export async function run(options: RunOptions): Promise<readonly ResultRow[]> {
  const decisionRunners = await Promise.all(
    upstreamCounts.map((count) => createDecisionRunner(count, options)),
  );
  const minMicroseconds = decisionRunners.map(() => Infinity);
  // Alternate between the sizes, so that a slow phase of the machine affects all of them equally.
  for (let round = 0; round < rounds; round += 1) {
    for (const [index, runDecision] of decisionRunners.entries()) {
      const cpuBefore = process.cpuUsage();
      for (let count = 0; count < decisionsPerRound; count += 1) await runDecision();
      const { user, system } = process.cpuUsage(cpuBefore);
      const microseconds = (user + system) / decisionsPerRound;
      minMicroseconds[index] = Math.min(minMicroseconds[index] ?? Infinity, microseconds);
    }
  }
  return upstreamCounts.map((upstreams, index) => ({
    upstreams,
    decisions: decisionsPerRound * rounds,
    processorMicrosecondsPerDecision: roundHundredths(minMicroseconds[index] ?? 0),
    ratioToFewest: roundHundredths((minMicroseconds[index] ?? 0) / (minMicroseconds[0] ?? 1)),
  }));
}

/** Creates a function that makes one decision: admit, list candidates, select, begin and end. */
async function createDecisionRunner(
  count: number,
  { seed }: RunOptions,
): Promise<() => Promise<void>> {
  const clock = new ManualClock();
  const random = createRandom(seed);
  const registry = await createRegistry(clock, count);
  const selector = new PrefixAffinity();
  const queue = new AdmissionQueue({ clock, limit: () => registry.slots(service) });
  const signal = new AbortController().signal;
  for (const upstream of registry.all()) {
    for (let inFlight = 0; inFlight < inFlightPerUpstream; inFlight += 1)
      registry.begin(upstream, 1);
  }
  let decisions = 0;
  return async () => {
    decisions += 1;
    const accountId = `account-${decisions % 10}` as AccountId;
    const request = { service, priority: 1, accountId, waitMs: 2_000, signal };
    using slot = await queue.admit(request);
    void slot;
    const context = { random, prefixHash: decisions % prefixes };
    const upstream = selector.choose(registry.candidates(service), context);
    if (upstream === undefined) throw new Error('no candidate upstream');
    using inFlightRequest = registry.begin(upstream, request.priority);
    inFlightRequest.progress();
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
  const healthyLink = { isDown: false, delayMs: 0, responsesToLose: 0 };
  const list = new MemoryInstanceList(platform, healthyLink);
  const registry = new UpstreamRegistry({ list, clients, clock });
  await clock.runUntil(registry.start());
  await clock.advance(1);
  return registry;
}
