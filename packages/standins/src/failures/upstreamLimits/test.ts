/**
 * How many requests upstreams with rate limits receive while instances, the network or the store fail.
 */
import test from 'ava';
import { LimitWorld, type LimitedUpstream } from '../../_lib/limitWorld/index.js';

const ids = ['a', 'b', 'c', 'd'];
const seeds = [1, 2, 3, 4, 5];
const windowMs = 4_000;
const loadPerS = 200;

/** The highest number of requests allowed in a window: 1.5 times the limit, and 5 more. */
function maxAllowed(limitPerS: number): number {
  return (1.5 * limitPerS * windowMs) / 1_000 + 5;
}

async function open(seed: number, upstreams = 4): Promise<LimitWorld> {
  const world = new LimitWorld(seed, ids, upstreams);
  await world.run(3_000, loadPerS);
  return world;
}

/** The time from which a limit that is set now must be enforced. */
function enforcedFromMs({ fleet }: LimitWorld): number {
  return fleet.clock.monotonicMs() + 500;
}

function setLimits(world: LimitWorld, ...limitsPerS: number[]): LimitedUpstream[] {
  limitsPerS.forEach((limitPerS, index) => {
    (world.upstreams[index] as LimitedUpstream).limitPerS = limitPerS;
  });
  return world.upstreams.slice(0, limitsPerS.length);
}

/** Failures and changes of instances while upstreams have limits. */
const scenarios: Readonly<Record<string, (world: LimitWorld) => Promise<void>>> = {
  'no failure': async (world) => {
    await world.run(20_000, loadPerS);
  },
  'an instance that loses power and restarts': async (world) => {
    await world.run(3_000, loadPerS);
    world.powerOff('b');
    await world.run(3_000, loadPerS);
    world.start('b');
    await world.run(15_000, loadPerS);
  },
  'an instance that does not return': async (world) => {
    await world.run(3_000, loadPerS);
    world.powerOff('c');
    await world.run(40_000, loadPerS);
  },
  'instances that join': async (world) => {
    await world.run(3_000, loadPerS);
    world.start('e');
    await world.run(2_000, loadPerS);
    world.start('f');
    await world.run(15_000, loadPerS);
  },
  'an instance that leaves': async (world) => {
    await world.run(3_000, loadPerS);
    world.leave('a');
    await world.run(15_000, loadPerS);
  },
  'an instance that is cut off': async (world) => {
    await world.run(3_000, loadPerS);
    world.cutOff('d');
    await world.run(25_000, loadPerS);
    world.cutOff('d', false);
    await world.run(10_000, loadPerS);
  },
  'an instance that is suspended and resumed': async (world) => {
    await world.run(3_000, loadPerS);
    world.freeze('a');
    await world.run(8_000, loadPerS);
    world.freeze('a', false);
    await world.run(10_000, loadPerS);
  },
  'a network partition into two halves': async (world) => {
    await world.run(3_000, loadPerS);
    world.fleet.network.partition(['a', 'b'], ['c', 'd']);
    await world.run(25_000, loadPerS);
    world.fleet.network.heal();
    await world.run(10_000, loadPerS);
  },
  'a simultaneous power loss and restart of all instances': async (world) => {
    await world.run(3_000, loadPerS);
    for (const id of ids) world.powerOff(id);
    await world.fleet.clock.advance(1_000);
    for (const id of ids) world.start(id);
    await world.run(15_000, loadPerS);
  },
  'message loss between instances': async (world) => {
    for (const from of ids) {
      for (const to of ids) world.fleet.network.lose(from, to, 0.4);
    }
    await world.run(20_000, loadPerS);
  },
  'an unavailable store': async (world) => {
    world.fleet.turnAway(ids);
    await world.run(25_000, loadPerS);
    world.fleet.turnAway(ids, false);
    await world.run(5_000, loadPerS);
  },
};

for (const [scenario, play] of Object.entries(scenarios)) {
  // Guards against instances that together exceed the limit of an upstream.
  test(`upstreams receive no more requests than their limits allow, with ${scenario}`, async (t) => {
    for (const seed of seeds) {
      const world = await open(seed);
      const upstreams = setLimits(world, 1, 0.4, 5);
      const fromMs = enforcedFromMs(world);
      await play(world);
      for (const upstream of upstreams) {
        const most = world.maxInWindow(upstream, windowMs, fromMs);
        const { limitPerS = 0 } = upstream;
        t.true(most <= maxAllowed(limitPerS), `seed ${seed}: ${most} at ${limitPerS} a second`);
      }
      t.is(world.counts.refused, 0);
    }
  });
}

// Guards against a check that cannot fail.
test('the check detects instances that each use the whole limit', async (t) => {
  const world = new LimitWorld(1, ids, 4, false);
  const [upstream] = setLimits(world, 1) as [LimitedUpstream];
  const fromMs = enforcedFromMs(world);
  await world.run(10_000, loadPerS);
  t.true(world.maxInWindow(upstream, windowMs, fromMs) > maxAllowed(1));
});

// Guards against requests that are refused although upstreams have unused capacity.
test('instances use the combined limits of a service and refuse requests beyond them', async (t) => {
  for (const seed of seeds) {
    const world = await open(seed, 3);
    setLimits(world, 8, 8, 8);
    await world.run(5_000, loadPerS);
    const before = { ...world.counts };
    await world.run(20_000, loadPerS);
    const sent = world.counts.sent - before.sent;
    t.true(sent > 0.9 * 24 * 20, `seed ${seed}: ${sent}`);
    t.true(sent <= 24 * 20 + 24, `seed ${seed}: ${sent}`);
  }
});

// Guards against an upstream that stays underused after its limit is raised or removed.
test('all instances apply a limit that is raised, lowered and removed', async (t) => {
  for (const seed of seeds) {
    const world = await open(seed);
    const [upstream] = setLimits(world, 1) as [LimitedUpstream];
    await world.run(8_000, loadPerS);
    upstream.limitPerS = 12;
    await world.run(8_000, loadPerS);
    const raisedMs = world.fleet.clock.monotonicMs();
    await world.run(6_000, loadPerS);
    t.true(world.maxInWindow(upstream, windowMs, raisedMs) > 0.8 * 12 * 4, `seed ${seed}`);
    upstream.limitPerS = 1.5;
    const loweredMs = enforcedFromMs(world);
    await world.run(8_000, loadPerS);
    const removedMs = world.fleet.clock.monotonicMs();
    t.true(world.maxInWindow(upstream, windowMs, loweredMs) <= maxAllowed(1.5), `seed ${seed}`);
    upstream.limitPerS = undefined;
    await world.run(8_000, loadPerS);
    t.true(world.maxInWindow(upstream, windowMs, removedMs + 4_000) > 150, `seed ${seed}`);
  }
});

// Guards against needless messages between instances.
test('no limits are sent to peers while no upstream sets one', async (t) => {
  const world = await open(1);
  const { links } = world.fleet.nodes.get('a') ?? t.fail();
  const kinds: string[] = [];
  links.subscribe(({ kind }) => kinds.push(kind));
  await world.run(10_000, loadPerS);
  t.true(kinds.length > 0);
  t.false(kinds.includes('upstreamLimits'));
});

// Guards against bursts of individual instances that together exceed a low limit in a large fleet.
test('a large fleet stays within low limits while some of its instances restart in turn', async (t) => {
  const instanceIds = Array.from({ length: 33 }, (_, index) => `i${index}`);
  const world = new LimitWorld(1, instanceIds, 8);
  await world.run(3_000, loadPerS);
  const upstreams = setLimits(world, 1, 0.4, 5, 0);
  const fromMs = enforcedFromMs(world);
  await world.run(4_000, loadPerS);
  for (const id of instanceIds.slice(0, 12)) {
    world.powerOff(id);
    await world.run(700, loadPerS);
    world.start(id);
    await world.run(300, loadPerS);
  }
  await world.run(5_000, loadPerS);
  for (const upstream of upstreams) {
    const most = world.maxInWindow(upstream, windowMs, fromMs);
    const { limitPerS = 0 } = upstream;
    t.true(most <= maxAllowed(limitPerS), `${most} at ${limitPerS} a second`);
  }
});
