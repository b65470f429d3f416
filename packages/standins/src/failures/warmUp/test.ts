/**
 * Upstreams that warm up, and failure domains that are drained and taken back, while instances, the
 * network or the store fail.
 */
import test from 'ava';
import { WarmUpSimulation, type WarmingUpstream } from '../../_lib/WarmUpSimulation/index.js';

const seeds = [1, 2];
const instances = Array.from({ length: 14 }, (_, index) => `i${index}`);
const domains = { a: 24, b: 24, c: 23 };
const loadPerS = 200;
/** From the loss of a process to the requests of the next one, in milliseconds. */
const startUpMs = 1_200;

async function setUp(seed: number): Promise<WarmUpSimulation> {
  const simulation = new WarmUpSimulation({ seed, instances, domains });
  await simulation.run(3_000, loadPerS);
  return simulation;
}

function highestCount(
  simulation: WarmUpSimulation,
  upstreams: readonly WarmingUpstream[] = simulation.upstreams,
): number {
  return Math.max(...upstreams.map((upstream) => simulation.maxWhileWarmingUp(upstream)));
}

/** How upstreams come to warm up; the others are drained, so that all of the load is left to these. */
const causes: Readonly<Record<string, (simulation: WarmUpSimulation) => Promise<void>>> = {
  'a failure domain returns at once': async (simulation) => {
    const domain = simulation.inDomain('c');
    simulation.crash(domain);
    await simulation.run(2_000, loadPerS);
    simulation.restart(domain);
    simulation.drain('a');
    simulation.drain('b');
  },
  'a drain is taken back': async (simulation) => {
    simulation.drain('c');
    await simulation.run(6_000, loadPerS);
    simulation.coolDown(simulation.inDomain('c'), 1_200);
    simulation.drain('c', false);
    simulation.drain('a');
    simulation.drain('b');
  },
};

/** What fails meanwhile. */
const failures: Readonly<Record<string, (simulation: WarmUpSimulation) => void>> = {
  'no failure': () => undefined,
  'instances that lose power': (simulation) => {
    for (const id of instances.slice(0, 5)) simulation.powerOff(id);
  },
  'instances that restart': (simulation) => {
    for (const id of instances.slice(0, 5)) {
      simulation.powerOff(id);
      simulation.fleet.clock.schedule(startUpMs, () => {
        simulation.start(id);
      });
    }
  },
  'all instances cut off from each other': (simulation) => {
    const { network } = simulation.fleet;
    for (const id of instances) network.isolate(id);
  },
  'some instances cut off from the store': (simulation) => {
    simulation.fleet.setStoreUnavailable(instances.slice(0, 5));
  },
  'two halves that do not reach each other': (simulation) => {
    simulation.fleet.network.partition(instances.slice(0, 7), instances.slice(7));
  },
};

for (const [cause, bringAbout] of Object.entries(causes)) {
  for (const [failure, fail] of Object.entries(failures)) {
    // Guards against instances that together send more than an upstream takes while it warms up.
    test(`upstreams that warm up are not overrun: ${cause}, ${failure}`, async (t) => {
      for (const seed of seeds) {
        const simulation = await setUp(seed);
        await bringAbout(simulation);
        fail(simulation);
        await simulation.run(4_500, loadPerS);
        const most = highestCount(simulation);
        t.true(most <= simulation.policy.maxPerSecond, `seed ${seed}: ${most} in a second`);
      }
    });
  }
}

// Guards against a check that cannot fail.
test('the check detects instances that keep no bound', async (t) => {
  const simulation = new WarmUpSimulation({ seed: 1, instances, domains, isBoundKept: false });
  await simulation.run(3_000, loadPerS);
  await causes['a drain is taken back']?.(simulation);
  await simulation.run(4_500, loadPerS);
  t.true(highestCount(simulation) > simulation.policy.maxPerSecond);
});

// Guards against callers that are refused while upstreams that warm up could take their requests.
test('most of what upstreams take while they warm up is used', async (t) => {
  for (const seed of seeds) {
    const simulation = await setUp(seed);
    const domain = simulation.inDomain('c');
    simulation.drain('c');
    await simulation.run(6_000, loadPerS);
    simulation.coolDown(domain, 0);
    simulation.drain('c', false);
    await simulation.run(100, 0);
    simulation.drain('a');
    simulation.drain('b');
    await simulation.run(2_800, loadPerS);
    const taken = domain.reduce((sum, { warmUpArrivalsMs }) => sum + warmUpArrivalsMs.length, 0);
    const possible = domain.length * simulation.policy.requestsPerSecond * 2.8;
    t.true(taken > 0.85 * possible, `seed ${seed}: ${taken} of ${possible}`);
    t.true(highestCount(simulation) <= simulation.policy.maxPerSecond);
  }
});

// Guards against an upstream that is overrun before its record says that it warms up.
test('an upstream that warms up again without a restart is not overrun', async (t) => {
  for (const seed of seeds) {
    const simulation = await setUp(seed);
    simulation.coolDown(simulation.upstreams, 1_200);
    await simulation.run(4_000, loadPerS);
    t.true(highestCount(simulation) <= simulation.policy.maxPerSecond, `seed ${seed}`);
  }
});

// Guards against a small service whose upstreams are replaced faster than they warm up.
test('a service of few upstreams that are replaced in turn is not overrun', async (t) => {
  for (const seed of seeds) {
    const small = new WarmUpSimulation({ seed, instances, domains: { a: 4 } });
    await small.run(3_000, 60);
    for (const [index, upstream] of small.inDomain('a').entries()) {
      small.replace(upstream, `next${index}`);
      await small.run(1_000, 60);
    }
    await small.run(4_000, 60);
    t.true(
      highestCount(small) <= small.policy.maxPerSecond,
      `seed ${seed}: ${highestCount(small)}`,
    );
    t.true(small.counts.sent > 5 * small.counts.refused, `${small.counts.refused} refused`);
  }
});

for (const [what, warmUpMs] of [
  ['grows', 30_000],
  ['is absent', undefined],
  ['is absurd', 1e12],
] as const) {
  // Guards against an upstream that is overrun, or lost for good, since it states a strange time.
  test(`an upstream whose warm-up time ${what} is not overrun and is used`, async (t) => {
    const simulation = await setUp(1);
    const domain = simulation.inDomain('c');
    simulation.crash(domain);
    await simulation.run(1_000, loadPerS);
    simulation.restart(domain);
    for (const upstream of domain) simulation.writeRecord(upstream, { warmUpMs });
    simulation.drain('a');
    simulation.drain('b');
    await simulation.run(4_000, loadPerS);
    t.true(highestCount(simulation) <= simulation.policy.maxPerSecond);
    const before = domain.map(({ arrivalsMs }) => arrivalsMs.length);
    for (const upstream of domain) simulation.writeRecord(upstream, { warmUpMs: 0 });
    await simulation.run(2_000, loadPerS);
    const used = domain.filter(({ arrivalsMs }, at) => arrivalsMs.length > (before[at] ?? 0));
    t.true(used.length > 0.9 * domain.length);
  });
}

/** Requests that arrived in a failure domain from a time on. */
function arrivalsSince(simulation: WarmUpSimulation, domain: string, sinceMs: number): number {
  return simulation
    .inDomain(domain)
    .reduce((sum, { arrivalsMs }) => sum + arrivalsMs.filter((atMs) => atMs > sinceMs).length, 0);
}

// Guards against requests to a failure domain that the operator drains.
test('a drained failure domain gets no requests until the drain is taken back', async (t) => {
  for (const seed of seeds) {
    const simulation = await setUp(seed);
    simulation.fleet.setStoreUnavailable(instances.slice(0, 5));
    await simulation.run(1_000, loadPerS);
    simulation.drain('a');
    simulation.drain('b');
    await simulation.run(4_000, loadPerS);
    const fromMs = simulation.nowMs;
    await simulation.run(5_000, loadPerS);
    t.is(arrivalsSince(simulation, 'a', fromMs), 0);
    t.is(arrivalsSince(simulation, 'b', fromMs), 0);
    simulation.drain('a', false);
    simulation.drain('a');
    await simulation.run(3_000, loadPerS);
    t.is(arrivalsSince(simulation, 'a', simulation.nowMs - 1_000), 0);
    simulation.drain('a', false);
    await simulation.run(2_000, loadPerS);
    t.true(arrivalsSince(simulation, 'a', simulation.nowMs - 1_000) > 0);
    t.is(arrivalsSince(simulation, 'b', fromMs), 0);
  }
});

// Guards against requests that are sent into a drained failure domain for want of another one.
test('requests are refused while all failure domains are drained', async (t) => {
  const simulation = await setUp(1);
  for (const domain of ['a', 'b', 'c', 'nowhere']) simulation.drain(domain);
  await simulation.run(3_000, loadPerS);
  const sentBefore = simulation.counts.sent;
  await simulation.run(2_000, loadPerS);
  t.is(simulation.counts.sent, sentBefore);
  simulation.drain('b', false);
  await simulation.run(3_000, loadPerS);
  t.true(simulation.counts.sent > sentBefore + 200);
});
