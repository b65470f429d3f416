/**
 * Rate limits of upstreams while instances, the network or the store fail.
 */
import test from 'ava';
import { RateLimitSimulation, type LimitedUpstream } from '../../_lib/RateLimitSimulation/index.js';

const ids = ['a', 'b', 'c', 'd'];
const seeds = [1, 2, 3, 4, 5];
const windowMs = 4_000;
const loadPerS = 200;

/** The highest number of requests allowed in a window: 1.5 times the limit, and 5 more. */
function maxAllowed(limitPerS: number): number {
  return (1.5 * limitPerS * windowMs) / 1_000 + 5;
}

async function setUp(seed: number, upstreams = 4): Promise<RateLimitSimulation> {
  const simulation = new RateLimitSimulation(seed, ids, upstreams);
  await simulation.run(3_000, loadPerS);
  return simulation;
}

/** The time from which a limit that is set now must be enforced. */
function enforcedFromMs({ fleet }: RateLimitSimulation): number {
  return fleet.clock.monotonicMs() + 500;
}

function setLimits(simulation: RateLimitSimulation, ...limitsPerS: number[]): LimitedUpstream[] {
  limitsPerS.forEach((limitPerS, index) => {
    (simulation.upstreams[index] as LimitedUpstream).limitPerS = limitPerS;
  });
  return simulation.upstreams.slice(0, limitsPerS.length);
}

/** Failures and changes of instances while upstreams have limits. */
const scenarios: Readonly<Record<string, (simulation: RateLimitSimulation) => Promise<void>>> = {
  'no failure': async (simulation) => {
    await simulation.run(20_000, loadPerS);
  },
  'an instance that loses power and restarts': async (simulation) => {
    await simulation.run(3_000, loadPerS);
    simulation.powerOff('b');
    await simulation.run(3_000, loadPerS);
    simulation.start('b');
    await simulation.run(15_000, loadPerS);
  },
  'an instance that does not return': async (simulation) => {
    await simulation.run(3_000, loadPerS);
    simulation.powerOff('c');
    await simulation.run(40_000, loadPerS);
  },
  'instances that join': async (simulation) => {
    await simulation.run(3_000, loadPerS);
    simulation.start('e');
    await simulation.run(2_000, loadPerS);
    simulation.start('f');
    await simulation.run(15_000, loadPerS);
  },
  'an instance that leaves': async (simulation) => {
    await simulation.run(3_000, loadPerS);
    simulation.leave('a');
    await simulation.run(15_000, loadPerS);
  },
  'an instance that is cut off': async (simulation) => {
    await simulation.run(3_000, loadPerS);
    simulation.isolate('d');
    await simulation.run(25_000, loadPerS);
    simulation.isolate('d', false);
    await simulation.run(10_000, loadPerS);
  },
  'an instance that is suspended and resumed': async (simulation) => {
    await simulation.run(3_000, loadPerS);
    simulation.suspend('a');
    await simulation.run(8_000, loadPerS);
    simulation.suspend('a', false);
    await simulation.run(10_000, loadPerS);
  },
  'a network partition into two halves': async (simulation) => {
    await simulation.run(3_000, loadPerS);
    simulation.fleet.network.partition(['a', 'b'], ['c', 'd']);
    await simulation.run(25_000, loadPerS);
    simulation.fleet.network.heal();
    await simulation.run(10_000, loadPerS);
  },
  'a simultaneous power loss and restart of all instances': async (simulation) => {
    await simulation.run(3_000, loadPerS);
    for (const id of ids) simulation.powerOff(id);
    await simulation.fleet.clock.advance(1_000);
    for (const id of ids) simulation.start(id);
    await simulation.run(15_000, loadPerS);
  },
  'message loss between instances': async (simulation) => {
    for (const from of ids) {
      for (const to of ids) simulation.fleet.network.setLossRatio(from, to, 0.4);
    }
    await simulation.run(20_000, loadPerS);
  },
  'an unavailable store': async (simulation) => {
    simulation.fleet.setStoreUnavailable(ids);
    await simulation.run(25_000, loadPerS);
    simulation.fleet.setStoreUnavailable(ids, false);
    await simulation.run(5_000, loadPerS);
  },
};

for (const [scenario, runScenario] of Object.entries(scenarios)) {
  // Guards against instances that together exceed the limit of an upstream.
  test(`upstreams receive no more requests than their limits allow, with ${scenario}`, async (t) => {
    for (const seed of seeds) {
      const simulation = await setUp(seed);
      const upstreams = setLimits(simulation, 1, 0.4, 5);
      const fromMs = enforcedFromMs(simulation);
      await runScenario(simulation);
      for (const upstream of upstreams) {
        const maxRequests = simulation.maxInWindow(upstream, windowMs, fromMs);
        const { limitPerS = 0 } = upstream;
        t.true(
          maxRequests <= maxAllowed(limitPerS),
          `seed ${seed}: ${maxRequests} at ${limitPerS} a second`,
        );
      }
      t.is(simulation.counts.refused, 0);
    }
  });
}

// Guards against a check that cannot fail.
test('the check detects instances that each use the whole limit', async (t) => {
  const simulation = new RateLimitSimulation(1, ids, 4, false);
  const [upstream] = setLimits(simulation, 1) as [LimitedUpstream];
  const fromMs = enforcedFromMs(simulation);
  await simulation.run(10_000, loadPerS);
  t.true(simulation.maxInWindow(upstream, windowMs, fromMs) > maxAllowed(1));
});

// Guards against requests that are refused although upstreams have unused capacity.
test('instances use the combined limits of a service and refuse requests beyond them', async (t) => {
  for (const seed of seeds) {
    const simulation = await setUp(seed, 3);
    setLimits(simulation, 8, 8, 8);
    await simulation.run(5_000, loadPerS);
    const before = { ...simulation.counts };
    await simulation.run(20_000, loadPerS);
    const sent = simulation.counts.sent - before.sent;
    t.true(sent > 0.9 * 24 * 20, `seed ${seed}: ${sent}`);
    t.true(sent <= 24 * 20 + 24, `seed ${seed}: ${sent}`);
  }
});

// Guards against an upstream that stays underused after its limit is raised or removed.
test('all instances apply a limit that is raised, lowered and removed', async (t) => {
  for (const seed of seeds) {
    const simulation = await setUp(seed);
    const [upstream] = setLimits(simulation, 1) as [LimitedUpstream];
    await simulation.run(8_000, loadPerS);
    upstream.limitPerS = 12;
    await simulation.run(8_000, loadPerS);
    const raisedMs = simulation.fleet.clock.monotonicMs();
    await simulation.run(6_000, loadPerS);
    t.true(simulation.maxInWindow(upstream, windowMs, raisedMs) > 0.8 * 12 * 4, `seed ${seed}`);
    upstream.limitPerS = 1.5;
    const loweredMs = enforcedFromMs(simulation);
    await simulation.run(8_000, loadPerS);
    const removedMs = simulation.fleet.clock.monotonicMs();
    t.true(
      simulation.maxInWindow(upstream, windowMs, loweredMs) <= maxAllowed(1.5),
      `seed ${seed}`,
    );
    upstream.limitPerS = undefined;
    await simulation.run(8_000, loadPerS);
    t.true(simulation.maxInWindow(upstream, windowMs, removedMs + 4_000) > 150, `seed ${seed}`);
  }
});

// Guards against needless messages between instances.
test('no limits are sent to peers while no upstream sets one', async (t) => {
  const simulation = await setUp(1);
  const { links } = simulation.fleet.nodes.get('a') ?? t.fail();
  const kinds: string[] = [];
  links.subscribe(({ kind }) => kinds.push(kind));
  await simulation.run(10_000, loadPerS);
  t.true(kinds.length > 0);
  t.false(kinds.includes('upstreamLimits'));
});

// Guards against bursts of individual instances that together exceed a low limit in a large fleet.
test('a large fleet stays within low limits while some of its instances restart in turn', async (t) => {
  const instanceIds = Array.from({ length: 33 }, (_, index) => `i${index}`);
  const simulation = new RateLimitSimulation(1, instanceIds, 8);
  await simulation.run(3_000, loadPerS);
  const upstreams = setLimits(simulation, 1, 0.4, 5, 0);
  const fromMs = enforcedFromMs(simulation);
  await simulation.run(4_000, loadPerS);
  for (const id of instanceIds.slice(0, 12)) {
    simulation.powerOff(id);
    await simulation.run(700, loadPerS);
    simulation.start(id);
    await simulation.run(300, loadPerS);
  }
  await simulation.run(5_000, loadPerS);
  for (const upstream of upstreams) {
    const maxRequests = simulation.maxInWindow(upstream, windowMs, fromMs);
    const { limitPerS = 0 } = upstream;
    t.true(maxRequests <= maxAllowed(limitPerS), `${maxRequests} at ${limitPerS} a second`);
  }
});
