/**
 * How soon an accepted version is in force on every instance that is reachable, by what is wrong.
 */
import { acceptDocument, manifestKey } from '@acaciacrank/operators';
import type { StoredObject } from '@acaciacrank/store';
import { FaultyObjectStore } from '../../configuration/_lib/FaultyObjectStore/index.js';
import { markedText } from '../../configuration/_lib/configurationDocument/index.js';
import { createLocalFleet, type LocalFleet } from '../../createLocalFleet/index.js';
import { MemoryObjectStore } from '@acaciacrank/store';
import type { NamedRun, RunOptions } from '../../_lib/runNamed/index.js';
import type { ResultRow } from '../../printTable/index.js';

const instanceCount = 5;
const partitionMs = 180_000;
const staleMs = 3_000;
const stepMs = 50;
const limitMs = 60_000;

/** A fleet with a faulty store before each instance. */
interface SpreadFleet extends LocalFleet {
  readonly stores: FaultyObjectStore[];
  /** Puts the next version in force, by an operator whose own store is sound; returns when. */
  accept(): Promise<number>;
  /** The stores of instances that start from now on answer reads from a cache that holds this. */
  rememberAtStart(stored: StoredObject): void;
}

/** Sets the fault, accepts a version, and returns when the time began to count, in milliseconds. */
type SpreadCase = (fleet: SpreadFleet) => Promise<number>;

function faults(fleet: SpreadFleet, from: number) {
  return fleet.stores.slice(from).map((store) => store.faults);
}

const cases: Readonly<Record<string, SpreadCase>> = {
  calm: (fleet) => fleet.accept(),
  watchesSilent: async (fleet) => {
    for (const each of faults(fleet, 0)) each.isWatchSilent = true;
    await fleet.clock.advance(1_000);
    return fleet.accept();
  },
  watchAndReadsSilentAtOne: async (fleet) => {
    for (const each of faults(fleet, 4))
      Object.assign(each, { isWatchSilent: true, isReadSilent: true });
    await fleet.clock.advance(1_000);
    return fleet.accept();
  },
  storeSlow: async (fleet) => {
    for (const { store } of fleet.instances) store.link.delayMs = 1_500;
    return fleet.accept();
  },
  storeSlower: async (fleet) => {
    for (const { store } of fleet.instances) store.link.delayMs = 2_500;
    return fleet.accept();
  },
  staleReadsAtFour: async (fleet) => {
    for (const each of faults(fleet, 1))
      Object.assign(each, { isStale: true, isWatchSilent: true });
    await fleet.clock.advance(1_000);
    return fleet.accept();
  },
  storeDownForFour: async (fleet) => {
    for (const each of faults(fleet, 1)) each.isDown = true;
    return fleet.accept();
  },
  storeDownForAllAfterOneRead: async (fleet) => {
    for (const each of faults(fleet, 1))
      Object.assign(each, { isStale: true, isWatchSilent: true });
    await fleet.clock.advance(1_000);
    const acceptedMs = await fleet.accept();
    for (const each of faults(fleet, 0)) each.isDown = true;
    return acceptedMs;
  },
  partitionHealed: async (fleet) => {
    const ids = fleet.instances.map(({ id }) => id);
    fleet.network.partition(ids.slice(0, 3), ids.slice(3));
    for (const each of faults(fleet, 3)) each.isDown = true;
    await fleet.accept();
    await fleet.clock.advance(partitionMs);
    await fleet.accept();
    for (const each of faults(fleet, 3)) each.isDown = false;
    fleet.network.heal();
    return fleet.clock.monotonicMs();
  },
  justStarted: async (fleet) => {
    const acceptedMs = await fleet.accept();
    await fleet.addInstance('i6');
    return acceptedMs;
  },
  justStartedAtAStaleCache: async (fleet) => {
    const old = fleet.platform.read(manifestKey('kapiti'));
    const acceptedMs = await fleet.accept();
    if (old === undefined) throw new Error('no manifest was accepted');
    fleet.rememberAtStart(old);
    const starting = fleet.addInstance('i6');
    fleet.clock.schedule(staleMs, () => {
      for (const each of faults(fleet, instanceCount)) each.isStale = false;
    });
    await starting;
    return acceptedMs;
  },
};

/** Runs each case. */
export const run: NamedRun = async ({ seed }: RunOptions) => {
  const rows: ResultRow[] = [];
  for (const [name, story] of Object.entries(cases)) rows.push(await measure(name, story, seed));
  return rows;
};

async function measure(name: string, story: SpreadCase, seed: number): Promise<ResultRow> {
  await using fleet = await createSpreadFleet(seed);
  const seen = watchVersions(fleet);
  await fleet.clock.advance(5_000);
  const startMs = await story(fleet);
  const version = Math.max(...fleet.platform.objects().flatMap(versionOf));
  const isEverywhere = () =>
    fleet.instances.every(
      ({ instance }) => instance.configuration.inForce.value?.version === version,
    );
  while (!isEverywhere() && fleet.clock.monotonicMs() - startMs < limitMs) {
    await fleet.clock.advance(stepMs);
  }
  const everywhereMs = isEverywhere() ? Math.round(fleet.clock.monotonicMs() - startMs) : null;
  // A version that was taken back would show after the fault has passed, too.
  for (const store of fleet.stores) Object.assign(store.faults, { isDown: false, isStale: false });
  await fleet.clock.advance(20_000);
  return {
    case: name,
    instances: fleet.instances.length,
    version,
    everywhereMs,
    lowerVersions: [...seen.values()].reduce((sum, versions) => sum + countLower(versions), 0),
  };
}

async function createSpreadFleet(seed: number): Promise<SpreadFleet> {
  const stores: FaultyObjectStore[] = [];
  let remembered: StoredObject | undefined;
  const fleet = await createLocalFleet({
    document: markedText(1),
    seed,
    instances: instanceCount,
    wrap: (options) => {
      const store = new FaultyObjectStore(options.store);
      stores.push(store);
      if (remembered !== undefined) {
        store.remember(remembered);
        store.faults.isStale = true;
      }
      return { ...options, store };
    },
  });
  const operator = new MemoryObjectStore(fleet.platform, fleet.clock);
  let mark = 1;
  const accept = async () => {
    mark += 1;
    const acceptedMs = fleet.clock.monotonicMs();
    await fleet.clock.runUntil(acceptDocument(operator, fleet.clock, markedText(mark)));
    return acceptedMs;
  };
  const rememberAtStart = (stored: StoredObject) => {
    remembered = stored;
  };
  return Object.assign(fleet, { stores, accept, rememberAtStart });
}

/** Each instance's versions in the order in which they came into force. */
function watchVersions(fleet: SpreadFleet): Map<string, number[]> {
  const seen = new Map<string, number[]>();
  for (const { id, instance } of fleet.instances) {
    const versions: number[] = [];
    seen.set(id, versions);
    instance.configuration.inForce.changes.subscribe({
      next: (inForce) => {
        if (inForce !== undefined) versions.push(inForce.version);
      },
      error: () => undefined,
      complete: () => undefined,
    });
  }
  return seen;
}

function countLower(versions: readonly number[]): number {
  return versions.filter((version, at) => version < (versions[at - 1] ?? 0)).length;
}

function versionOf({ key, value }: { key: string; value: unknown }): number[] {
  return key.endsWith('/manifest') ? [(value as { version: number }).version] : [];
}
