import test from 'ava';
import { Metrics, type InstanceId } from '@acaciacrank/base';
import { RelayedObjectStore } from '@acaciacrank/forwarding';
import { MemoryObjectStore, ObjectFollower } from '@acaciacrank/store';
import { FleetSimulation } from '../../_lib/FleetSimulation/index.js';

/** How long a watch waits at the store without a change, in milliseconds. */
const watchWaitMs = 3_600;

/** Within how long a change must take effect, in milliseconds. */
const limitMs = 3_000;
/** The delay of a relay's next watch after a change, as a deployment with that limit has it, in milliseconds. */
const batchDelayMs = 600;

/** One instance that follows `servers/`, through a relay where there is one. */
interface Watcher {
  readonly id: string;
  /** The connection on which this instance itself watches the store. */
  readonly store: MemoryObjectStore;
  readonly follower: ObjectFollower;
  readonly seen: Map<string, unknown>;
}

function startWatcher(simulation: FleetSimulation, id: string): Watcher {
  const { clock, platform, nodes } = simulation;
  const node = nodes.get(id);
  if (node === undefined) throw new Error(`${id} does not run`);
  const { rpc } = node.fleet;
  const store = new MemoryObjectStore(platform, clock, watchWaitMs);
  const relayed = new RelayedObjectStore({
    store,
    rpc,
    clock,
    metrics: new Metrics(),
    instanceId: id as InstanceId,
    liveInDomain: () => node.fleet.liveInDomain,
    limitMsOf: () => limitMs,
  });
  const seen = new Map<string, unknown>();
  const follower = new ObjectFollower({
    store: relayed,
    clock,
    prefix: 'servers/',
    batchDelayMs,
    random: () => 0.5,
    onSnapshot: ({ objects }) => {
      seen.clear();
      for (const { key, value } of objects) seen.set(key, value);
    },
    onChange: ({ key, object }) => {
      if (object === undefined) seen.delete(key);
      else seen.set(key, object.value);
    },
  });
  void follower.run();
  return { id, store, follower, seen };
}

async function startFleet(count: number) {
  const ids = Array.from({ length: count }, (_, index) => `a${index}`);
  const simulation = new FleetSimulation(1, ids);
  const watchers = ids.map((id) => startWatcher(simulation, id));
  await simulation.clock.advance(10_000);
  return { simulation, watchers };
}

/** The time until all of the watchers have seen a change that is made now, in milliseconds. */
async function timeToSee(
  { clock, platform }: FleetSimulation,
  watchers: readonly Watcher[],
  value: string,
): Promise<number> {
  platform.write('servers/u', value, { kind: 'none' });
  for (let passedMs = 0; passedMs < 10_000; passedMs += 20) {
    if (watchers.every(({ seen }) => seen.get('servers/u') === value)) return passedMs;
    await clock.advance(20);
  }
  return Infinity;
}

/** Instances that do not watch the store themselves, by the calls that arrive there. */
async function countWatches({ clock, platform }: FleetSimulation, forMs: number): Promise<number> {
  const before = platform.calls.watches;
  await clock.advance(forMs);
  return platform.calls.watches - before;
}

function end(watchers: readonly Watcher[]): void {
  for (const { follower } of watchers) follower[Symbol.dispose]();
}

// Guards against calls to the store that grow with the fleet: each instance watches it for itself.
test('watches at the store do not grow with the instances of a failure domain', async (t) => {
  const counts: number[] = [];
  for (const count of [8, 24]) {
    const { simulation, watchers } = await startFleet(count);
    t.true((await timeToSee(simulation, watchers, 'v1')) <= 100);
    counts.push(await countWatches(simulation, 36_000));
    end(watchers);
  }
  const [few = 0, many = 0] = counts;
  // Two relays, each of which watches in turns that end before what they know is too old for the others.
  const relayWatches = 2 * (36_000 / (limitMs - 700 - batchDelayMs - 100) + 2);
  t.true(few <= relayWatches, `${few} by 8 instances`);
  t.true(many <= relayWatches, `${many} by 24 instances`);
});

// Guards against upstreams that are used after they left, by an instance whose relay is gone or cut off.
const disturbances: Record<string, (simulation: FleetSimulation, watcher: Watcher) => void> = {
  'loses power': (simulation, { id, store }) => {
    store.link.isDown = true;
    simulation.powerOff(id);
  },
  'is cut off from its peers': ({ network }, { id }) => {
    network.isolate(id);
  },
  'is cut off from the store': (_simulation, { store }) => {
    store.link.isDown = true;
  },
};

// Guards against a change that arrives too late where a relay has lost the store without noticing: until its watch
// times out, it takes what it knows for current.
for (const silentCount of [1, 2, 3]) {
  test(`a change is seen in time by others while the store is silent for ${silentCount} of eight`, async (t) => {
    const { simulation, watchers } = await startFleet(8);
    let version = 0;
    for (let first = 0; first + silentCount <= 8; first += silentCount) {
      const silent = watchers.slice(first, first + silentCount);
      const others = watchers.filter((watcher) => !silent.includes(watcher));
      for (const phaseMs of [0, 130, 900, 1_700, 2_600]) {
        // A change of its own starts the batching of the relays, with its watches afterwards.
        simulation.platform.write('servers/other', version, { kind: 'none' });
        await simulation.clock.advance(phaseMs);
        for (const { store } of silent) store.link.isSilent = true;
        await simulation.clock.advance(20);
        version += 1;
        const tookMs = await timeToSee(simulation, others, `version ${version}`);
        t.true(tookMs <= limitMs, `${tookMs} ms, ${first}, ${phaseMs}`);
        for (const { store } of silent) store.link.isSilent = false;
        await simulation.clock.advance(9_000);
      }
    }
    end(watchers);
  });
}

// Guards against the same while a relay stands still: it neither replies nor is taken for gone.
test('a change is seen in time while a relay does not reply', async (t) => {
  const { simulation, watchers } = await startFleet(8);
  for (const watcher of watchers) {
    simulation.network.isolate(watcher.id);
    watcher.store.link.isSilent = true;
    const others = watchers.filter((one) => one !== watcher);
    const tookMs = await timeToSee(simulation, others, `without ${watcher.id}`);
    t.true(tookMs <= limitMs, `${tookMs} ms without ${watcher.id}`);
    watcher.store.link.isSilent = false;
    simulation.network.isolate(watcher.id, false);
    await simulation.clock.advance(9_000);
  }
  end(watchers);
});

// Guards against a change that arrives too late where a failure domain grows to a size at which relays are used.
test('a change is seen in time while a failure domain grows to six', async (t) => {
  const { simulation, watchers } = await startFleet(5);
  simulation.start('a5');
  watchers.push(startWatcher(simulation, 'a5'));
  for (let version = 1; version <= 20; version += 1) {
    const tookMs = await timeToSee(simulation, watchers.slice(0, 5), `version ${version}`);
    t.true(tookMs <= limitMs, `${tookMs} ms, version ${version}`);
    await simulation.clock.advance(330);
  }
  end(watchers);
});
for (const [what, disturb] of Object.entries(disturbances)) {
  test(`a change is seen within 2 s when each instance in turn ${what}`, async (t) => {
    const { simulation, watchers } = await startFleet(8);
    for (const watcher of watchers.slice(0, 6)) {
      disturb(simulation, watcher);
      const others = watchers.filter(
        ({ id, store }) => simulation.nodes.has(id) && !store.link.isDown,
      );
      const tookMs = await timeToSee(simulation, others, `without ${watcher.id}`);
      t.true(tookMs <= 2_000, `${tookMs} ms without ${watcher.id}`);
      await simulation.clock.advance(300);
    }
    end(watchers);
  });
}

test('a change is seen within 2 s when all links are cut', async (t) => {
  const { simulation, watchers } = await startFleet(12);
  for (const { id } of watchers) simulation.network.isolate(id);
  const tookMs = await timeToSee(simulation, watchers, 'alone');
  t.true(tookMs <= 2_000, `${tookMs} ms`);
  end(watchers);
});

// Guards against changes that are missed for good: the relays know revisions of before the restore.
test('a fleet that watches through relays sees what a restored store holds', async (t) => {
  const { simulation, watchers } = await startFleet(12);
  const { platform } = simulation;
  platform.write('servers/old', 'ready', { kind: 'none' });
  const copy = platform.copy();
  platform.write('servers/lost', 'ready', { kind: 'none' });
  await simulation.clock.advance(1_000);
  platform.restore(copy);
  platform.write('servers/x', 1, { kind: 'none' });
  platform.write('servers/old', 'draining', { kind: 'none' });
  await simulation.clock.advance(4_000);
  for (const { seen } of watchers) {
    t.deepEqual(Object.fromEntries(seen), { 'servers/old': 'draining', 'servers/x': 1 });
  }
  end(watchers);
});
