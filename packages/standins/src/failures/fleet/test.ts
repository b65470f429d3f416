/**
 * Whom instances name and count while others fail and while the store does.
 */
import test from 'ava';
import type { InstanceId } from '@acaciacrank/base';
import { FleetWorld } from '../../_lib/fleetWorld/index.js';

/** By then nobody names an instance that went off, in milliseconds. */
const goneMs = 6_000;
/** By then everybody names an instance that came back, in milliseconds. */
const backMs = 4_000;
const ids = ['a', 'b', 'c', 'd', 'e'];
const seeds = [1, 2, 3, 4, 5, 6];

async function open(seed: number): Promise<FleetWorld> {
  const world = new FleetWorld(seed, ids);
  await world.clock.advance(5_000);
  return world;
}

/** What the store does while something happens to an instance. */
const storeStates = {
  well: () => undefined,
  away: (world: FleetWorld) => {
    world.turnAway(ids);
  },
  'turning two away': (world: FleetWorld) => {
    world.turnAway(['a', 'b']);
  },
} as const;

test('instances find each other, and one that leaves drops out at once', async (t) => {
  const world = await open(1);
  for (const id of ids) t.true(world.isNamedByAll(id), id);
  world.nodes.get('b')?.fleet.leave();
  await world.clock.advance(1_500);
  t.false(world.isNamedByAny('b'));
  t.false(world.nodes.get('a')?.fleet.liveInstances.includes('b' as InstanceId));
});

for (const [state, begin] of Object.entries(storeStates)) {
  // Guards against callers who are sent to an instance that lost power, whatever the store does.
  test(`an instance that lost power is named no more, with the store ${state}`, async (t) => {
    for (const seed of seeds) {
      const world = await open(seed);
      begin(world);
      world.powerOff('c');
      await world.clock.advance(goneMs);
      t.true(await world.always(() => !world.isNamedByAny('c'), 60_000), `seed ${seed}`);
    }
  });

  // Guards against an instance that is gone for good and named by one that starts later, which finds
  // it registered.
  test(`an instance that starts names nobody who is gone, after the store was ${state}`, async (t) => {
    for (const seed of seeds) {
      const world = await open(seed);
      world.powerOff('c');
      begin(world);
      await world.clock.advance(20_000);
      world.powerOff('d');
      await world.clock.advance(1_000);
      world.turnAway(ids, false);
      world.start('d');
      t.true(await world.always(() => !world.namedBy('d').includes('c'), 30_000), `seed ${seed}`);
    }
  });

  // Guards against an instance that is left out though it serves, while the store cannot be told so.
  test(`instances that live stay named, with the store ${state}`, async (t) => {
    for (const seed of seeds) {
      const world = await open(seed);
      begin(world);
      const isWhole = () => ids.every((id) => world.isNamedByAll(id));
      t.true(await world.always(isWhole, 60_000), `seed ${seed}`);
    }
  });

  // Guards against an instance that stays left out after it was frozen or cut off for a while.
  test(`an instance that was out of reach is named again, with the store ${state}`, async (t) => {
    for (const seed of seeds) {
      const world = await open(seed);
      begin(world);
      world.network.isolate('c');
      await world.clock.advance(20_000);
      t.false(world.isNamedByAny('c'));
      world.network.isolate('c', false);
      await world.clock.advance(backMs);
      t.true(world.isNamedByAll('c'), `seed ${seed}`);
    }
  });
}

// Guards against a process that was killed and takes long to be named again.
test('an instance that starts again under its id is soon named', async (t) => {
  for (const seed of seeds) {
    const world = await open(seed);
    world.powerOff('c');
    await world.clock.advance(1_000);
    world.start('c');
    await world.clock.advance(backMs);
    t.true(world.isNamedByAll('c'), `seed ${seed}`);
    t.is(world.namedBy('c').length, ids.length - 1);
  }
});

// Guards against a machine whose clock was set back over a planned restart: its new run would stay
// the one that left.
test('an instance that left and starts with its clock set back is soon named', async (t) => {
  const world = await open(1);
  world.nodes.get('c')?.fleet.leave();
  await world.clock.advance(500);
  await world.nodes.get('c')?.fleet.end();
  await world.clock.advance(500);
  world.powerOff('c');
  world.clock.jumpWall(-5_000);
  world.start('c');
  await world.clock.advance(backMs);
  t.true(world.isNamedByAll('c'));
});

// Guards against callers who are sent to a process that has no configuration yet.
test('an instance that does not serve yet is not named', async (t) => {
  const world = await open(1);
  world.powerOff('c');
  const { fleet } = world.start('c', false);
  t.true(await world.always(() => !world.isNamedByAny('c'), 8_000));
  fleet.serve();
  await world.clock.advance(1_500);
  t.true(world.isNamedByAll('c'));
});

// Guards against an instance that acts on an old configuration for as long as the store turns it away.
test('an instance that the store turns away learns of a configuration from a peer', async (t) => {
  for (const seed of seeds) {
    const world = await open(seed);
    world.turnAway(['a', 'b']);
    for (const id of ['c', 'd', 'e']) world.nodes.get(id)?.versions.push(2);
    await world.clock.advance(2_000);
    t.deepEqual(world.nodes.get('a')?.versions, [1, 2], `seed ${seed}`);
    t.deepEqual(world.nodes.get('b')?.versions, [1, 2], `seed ${seed}`);
  }
});

// Guards against every instance fetching each version twice, from the store and from a peer.
test('an instance that the store answers asks no peer for configurations', async (t) => {
  const world = await open(1);
  world.nodes.get('a')?.versions.push(2);
  await world.clock.advance(5_000);
  t.deepEqual(world.nodes.get('b')?.versions, [1]);
  t.is(world.nodes.get('b')?.metrics.counter('configurationsFromPeers'), 0);
});

// Guards against the two sides of a cut that each repeat as if the other were gone.
test('who may live beyond a cut keeps its share', async (t) => {
  const world = await open(1);
  world.turnAway(ids);
  world.network.partition(['a', 'b'], ['c', 'd', 'e']);
  await world.clock.advance(30_000);
  t.deepEqual(world.namedBy('a'), ['b']);
  for (const id of ids) t.is(world.nodes.get(id)?.fleet.sharingInstanceCount, ids.length, id);
});

// Guards against the share of an instance that is gone for good lying unused.
test('who is gone loses its share, once nothing says any more that it lives', async (t) => {
  const world = await open(1);
  world.powerOff('c');
  await world.clock.advance(2_000);
  t.is(world.nodes.get('a')?.fleet.sharingInstanceCount, ids.length);
  await world.clock.advance(16_000);
  for (const id of world.nodes.keys()) t.is(world.nodes.get(id)?.fleet.sharingInstanceCount, 4, id);
});

// Guards against an instance that takes the whole of what all share before it knows of the others.
test('an instance that has not read the list yet takes no share', (t) => {
  const world = new FleetWorld(1, []);
  t.is(world.start('a').fleet.sharingInstanceCount, Infinity);
});
