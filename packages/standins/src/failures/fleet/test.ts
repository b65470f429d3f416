/**
 * Which other instances an instance lists to callers and counts, while instances or the store fail.
 */
import test from 'ava';
import type { InstanceId } from '@acaciacrank/base';
import { FleetSimulation } from '../../_lib/FleetSimulation/index.js';

/** Time after which no instance lists one that lost power, in milliseconds. */
const removalDeadlineMs = 6_000;
/** The same for many that lost power together, some of them with all that monitored them. */
const joint = { instances: 30, lost: 18, removalDeadlineMs: 7_000 } as const;
/** Time after which every instance lists one that returned, in milliseconds. */
const returnDeadlineMs = 4_000;
const ids = ['a', 'b', 'c', 'd', 'e'];
const seeds = [1, 2, 3, 4, 5, 6];

async function setUp(seed: number): Promise<FleetSimulation> {
  const simulation = new FleetSimulation(seed, ids);
  await simulation.clock.advance(5_000);
  return simulation;
}

/** The state of the store while an instance fails. */
const storeStates = {
  available: () => undefined,
  unavailable: (simulation: FleetSimulation) => {
    simulation.setStoreUnavailable(ids);
  },
  'unavailable to two instances': (simulation: FleetSimulation) => {
    simulation.setStoreUnavailable(['a', 'b']);
  },
} as const;

test('instances list each other, and one that leaves is removed at once', async (t) => {
  const simulation = await setUp(1);
  for (const id of ids) t.true(simulation.isListedByAll(id), id);
  simulation.nodes.get('b')?.fleet.leave();
  await simulation.clock.advance(1_500);
  t.false(simulation.isListedByAny('b'));
  t.false(simulation.nodes.get('a')?.fleet.liveInstances.includes('b' as InstanceId));
});

for (const [state, applyStoreState] of Object.entries(storeStates)) {
  // Guards against callers that are sent to an instance that lost power, in any state of the store.
  test(`an instance that lost power is no longer listed, with the store ${state}`, async (t) => {
    for (const seed of seeds) {
      const simulation = await setUp(seed);
      applyStoreState(simulation);
      simulation.powerOff('c');
      await simulation.clock.advance(removalDeadlineMs);
      t.true(
        await simulation.holdsThroughout(() => !simulation.isListedByAny('c'), 60_000),
        `seed ${seed}`,
      );
    }
  });

  // Guards against a lost instance that is listed by one that starts later and finds it registered in
  // the store.
  test(`an instance that starts does not list a lost one, after the store was ${state}`, async (t) => {
    for (const seed of seeds) {
      const simulation = await setUp(seed);
      simulation.powerOff('c');
      applyStoreState(simulation);
      await simulation.clock.advance(20_000);
      simulation.powerOff('d');
      await simulation.clock.advance(1_000);
      simulation.setStoreUnavailable(ids, false);
      simulation.start('d');
      t.true(
        await simulation.holdsThroughout(() => !simulation.listedBy('d').includes('c'), 30_000),
        `seed ${seed}`,
      );
    }
  });

  // Guards against removing an instance that serves while it cannot renew its registration in the store.
  test(`running instances stay listed, with the store ${state}`, async (t) => {
    for (const seed of seeds) {
      const simulation = await setUp(seed);
      applyStoreState(simulation);
      const isComplete = () => ids.every((id) => simulation.isListedByAll(id));
      t.true(await simulation.holdsThroughout(isComplete, 60_000), `seed ${seed}`);
    }
  });

  // Guards against an instance that is not listed again after it was suspended or isolated for a while.
  test(`an instance that was isolated is listed again, with the store ${state}`, async (t) => {
    for (const seed of seeds) {
      const simulation = await setUp(seed);
      applyStoreState(simulation);
      simulation.network.isolate('c');
      await simulation.clock.advance(20_000);
      t.false(simulation.isListedByAny('c'));
      simulation.network.isolate('c', false);
      await simulation.clock.advance(returnDeadlineMs);
      t.true(simulation.isListedByAll('c'), `seed ${seed}`);
    }
  });
}

// Guards against a crashed process that is listed again only long after its restart.
test('an instance that restarts with the same id is soon listed', async (t) => {
  for (const seed of seeds) {
    const simulation = await setUp(seed);
    simulation.powerOff('c');
    await simulation.clock.advance(1_000);
    simulation.start('c');
    await simulation.clock.advance(returnDeadlineMs);
    t.true(simulation.isListedByAll('c'), `seed ${seed}`);
    t.is(simulation.listedBy('c').length, ids.length - 1);
  }
});

// Guards against a new process run that is taken for the previous one, which left: the clock of the
// machine was set back during a planned restart.
test('an instance that left and restarts with its clock set back is soon listed', async (t) => {
  const simulation = await setUp(1);
  simulation.nodes.get('c')?.fleet.leave();
  await simulation.clock.advance(500);
  await simulation.nodes.get('c')?.fleet.end();
  await simulation.clock.advance(500);
  simulation.powerOff('c');
  simulation.clock.jumpWall(-5_000);
  simulation.start('c');
  await simulation.clock.advance(returnDeadlineMs);
  t.true(simulation.isListedByAll('c'));
});

// Guards against callers that are sent to a process that has no configuration yet.
test('an instance that does not serve yet is not listed', async (t) => {
  const simulation = await setUp(1);
  simulation.powerOff('c');
  const { fleet } = simulation.start('c', false);
  t.true(await simulation.holdsThroughout(() => !simulation.isListedByAny('c'), 8_000));
  fleet.declareLive();
  await simulation.clock.advance(1_500);
  t.true(simulation.isListedByAll('c'));
});

// Guards against an instance that keeps an old configuration for as long as it cannot reach the store.
test('an instance without the store receives a configuration from a peer', async (t) => {
  for (const seed of seeds) {
    const simulation = await setUp(seed);
    simulation.setStoreUnavailable(['a', 'b']);
    for (const id of ['c', 'd', 'e']) simulation.nodes.get(id)?.versions.push(2);
    await simulation.clock.advance(2_000);
    t.deepEqual(simulation.nodes.get('a')?.versions, [1, 2], `seed ${seed}`);
    t.deepEqual(simulation.nodes.get('b')?.versions, [1, 2], `seed ${seed}`);
  }
});

// Guards against every instance fetching each version twice, from the store and from a peer.
test('an instance that reaches the store requests no configuration from a peer', async (t) => {
  const simulation = await setUp(1);
  simulation.nodes.get('a')?.versions.push(2);
  await simulation.clock.advance(5_000);
  t.deepEqual(simulation.nodes.get('b')?.versions, [1]);
  t.is(simulation.nodes.get('b')?.metrics.counter('configurationsFromPeers'), 0);
});

// Instances divide the allowance for additional retries equally. Guards against the two sides of a network
// partition that each retry as if the other were lost.
test('an instance that may still run beyond a partition keeps its share', async (t) => {
  const simulation = await setUp(1);
  simulation.setStoreUnavailable(ids);
  simulation.network.partition(['a', 'b'], ['c', 'd', 'e']);
  await simulation.clock.advance(30_000);
  t.deepEqual(simulation.listedBy('a'), ['b']);
  for (const id of ids) t.is(simulation.nodes.get(id)?.fleet.sharingInstanceCount, ids.length, id);
});

// Guards against a lost instance whose share of the allowance stays unused.
test('a lost instance loses its share once nothing reports it as running any more', async (t) => {
  const simulation = await setUp(1);
  simulation.powerOff('c');
  await simulation.clock.advance(2_000);
  t.is(simulation.nodes.get('a')?.fleet.sharingInstanceCount, ids.length);
  await simulation.clock.advance(16_000);
  for (const id of simulation.nodes.keys())
    t.is(simulation.nodes.get(id)?.fleet.sharingInstanceCount, 4, id);
});

// Guards against an instance that uses the whole allowance before it has discovered the others: until
// then their number counts as infinite.
test('an instance that has not read the list yet uses no share', (t) => {
  const simulation = new FleetSimulation(1, []);
  t.is(simulation.start('a').fleet.sharingInstanceCount, Infinity);
});

// Guards against callers that are sent to instances which failed together with all that monitored them.
test('instances that lost power together are no longer listed', async (t) => {
  const manyIds = Array.from({ length: joint.instances }, (_, index) => `i${index}`);
  for (const seed of seeds) {
    const simulation = new FleetSimulation(seed, manyIds);
    await simulation.clock.advance(8_000);
    const lost = manyIds.filter((_, index) => (index * 7 + seed) % joint.instances < joint.lost);
    for (const id of lost) simulation.powerOff(id);
    await simulation.clock.advance(joint.removalDeadlineMs);
    const isNoneListed = () => !lost.some((id) => simulation.isListedByAny(id));
    t.true(await simulation.holdsThroughout(isNoneListed, 5_000), `seed ${seed}`);
    for (const id of simulation.nodes.keys()) t.true(simulation.isListedByAll(id), `seed ${seed}`);
  }
});
