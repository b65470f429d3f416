/**
 * Measures how long it takes under each fault until an accepted configuration version is in force on
 * every reachable instance.
 */
import { acceptDocument, manifestKey } from '@acaciacrank/operators';
import type { StoredObject } from '@acaciacrank/store';
import { FaultyObjectStore } from '../../configuration/_lib/FaultyObjectStore/index.js';
import { createDocumentText } from '../../configuration/_lib/configurationDocument/index.js';
import { createLocalFleet, type LocalFleet } from '../../createLocalFleet/index.js';
import { MemoryObjectStore } from '@acaciacrank/store';
import type { RunFunction, RunOptions } from '../../_lib/runModuleByName/index.js';
import type { ResultRow } from '../../printTable/index.js';

const instanceCount = 5;
const partitionMs = 180_000;
const staleCacheMs = 3_000;
const pollIntervalMs = 50;
const maxWaitMs = 60_000;

/** A fleet in which each instance reaches the store through a client with injectable faults. */
interface FaultyStoreFleet extends LocalFleet {
  readonly stores: FaultyObjectStore[];
  /**
   * Accepts the next version through an operator's store client without faults.
   *
   * @returns the time of the acceptance, in milliseconds
   */
  accept(): Promise<number>;
  /** Makes the stores of instances that start later answer reads from a stale cache with this object. */
  setInitialCache(stored: StoredObject): void;
}

/** Injects the fault, accepts a version, and returns the start of the measured time in ms. */
type PropagationCase = (fleet: FaultyStoreFleet) => Promise<number>;

function faults(fleet: FaultyStoreFleet, from: number) {
  return fleet.stores.slice(from).map((store) => store.faults);
}

const cases: Readonly<Record<string, PropagationCase>> = {
  calm: (fleet) => fleet.accept(),
  watchesSilent: async (fleet) => {
    for (const storeFaults of faults(fleet, 0)) storeFaults.isWatchSilent = true;
    await fleet.clock.advance(1_000);
    return fleet.accept();
  },
  watchAndReadsSilentAtOne: async (fleet) => {
    for (const storeFaults of faults(fleet, 4))
      Object.assign(storeFaults, { isWatchSilent: true, isReadSilent: true });
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
    for (const storeFaults of faults(fleet, 1))
      Object.assign(storeFaults, { isStale: true, isWatchSilent: true });
    await fleet.clock.advance(1_000);
    return fleet.accept();
  },
  storeDownForFour: async (fleet) => {
    for (const storeFaults of faults(fleet, 1)) storeFaults.isDown = true;
    return fleet.accept();
  },
  storeDownForAllAfterOneRead: async (fleet) => {
    for (const storeFaults of faults(fleet, 1))
      Object.assign(storeFaults, { isStale: true, isWatchSilent: true });
    await fleet.clock.advance(1_000);
    const acceptedMs = await fleet.accept();
    for (const storeFaults of faults(fleet, 0)) storeFaults.isDown = true;
    return acceptedMs;
  },
  partitionHealed: async (fleet) => {
    const ids = fleet.instances.map(({ id }) => id);
    fleet.network.partition(ids.slice(0, 3), ids.slice(3));
    for (const storeFaults of faults(fleet, 3)) storeFaults.isDown = true;
    await fleet.accept();
    await fleet.clock.advance(partitionMs);
    await fleet.accept();
    for (const storeFaults of faults(fleet, 3)) storeFaults.isDown = false;
    fleet.network.heal();
    return fleet.clock.monotonicMs();
  },
  justStarted: async (fleet) => {
    const acceptedMs = await fleet.accept();
    await fleet.addInstance('i6');
    return acceptedMs;
  },
  justStartedAtAStaleCache: async (fleet) => {
    const oldManifest = fleet.platform.read(manifestKey('kapiti'));
    const acceptedMs = await fleet.accept();
    if (oldManifest === undefined) throw new Error('no manifest was accepted');
    fleet.setInitialCache(oldManifest);
    const starting = fleet.addInstance('i6');
    fleet.clock.schedule(staleCacheMs, () => {
      for (const storeFaults of faults(fleet, instanceCount)) storeFaults.isStale = false;
    });
    await starting;
    return acceptedMs;
  },
};

/** Runs each fault case. */
export const run: RunFunction = async ({ seed }: RunOptions) => {
  const rows: ResultRow[] = [];
  for (const [name, runCase] of Object.entries(cases))
    rows.push(await measure(name, runCase, seed));
  return rows;
};

async function measure(name: string, runCase: PropagationCase, seed: number): Promise<ResultRow> {
  await using fleet = await createFaultyStoreFleet(seed);
  const versionsByInstance = watchVersions(fleet);
  await fleet.clock.advance(5_000);
  const startMs = await runCase(fleet);
  const version = Math.max(...fleet.platform.objects().flatMap(manifestVersions));
  const isInForceEverywhere = () =>
    fleet.instances.every(
      ({ instance }) => instance.configuration.inForce.value?.version === version,
    );
  while (!isInForceEverywhere() && fleet.clock.monotonicMs() - startMs < maxWaitMs) {
    await fleet.clock.advance(pollIntervalMs);
  }
  const everywhereMs = isInForceEverywhere()
    ? Math.round(fleet.clock.monotonicMs() - startMs)
    : null;
  // An instance could also go back to an earlier version after the fault has ended.
  for (const store of fleet.stores) Object.assign(store.faults, { isDown: false, isStale: false });
  await fleet.clock.advance(20_000);
  return {
    case: name,
    instances: fleet.instances.length,
    version,
    everywhereMs,
    lowerVersions: [...versionsByInstance.values()].reduce(
      (sum, versions) => sum + countVersionDecreases(versions),
      0,
    ),
  };
}

async function createFaultyStoreFleet(seed: number): Promise<FaultyStoreFleet> {
  const stores: FaultyObjectStore[] = [];
  let initialCache: StoredObject | undefined;
  const fleet = await createLocalFleet({
    document: createDocumentText(1),
    seed,
    instances: instanceCount,
    wrap: (options) => {
      const store = new FaultyObjectStore(options.store);
      stores.push(store);
      if (initialCache !== undefined) {
        store.addToCache(initialCache);
        store.faults.isStale = true;
      }
      return { ...options, store };
    },
  });
  const operatorStore = new MemoryObjectStore(fleet.platform, fleet.clock);
  let documentNumber = 1;
  const accept = async () => {
    documentNumber += 1;
    const acceptedMs = fleet.clock.monotonicMs();
    await fleet.clock.runUntil(
      acceptDocument(operatorStore, fleet.clock, createDocumentText(documentNumber)),
    );
    return acceptedMs;
  };
  const setInitialCache = (stored: StoredObject) => {
    initialCache = stored;
  };
  return Object.assign(fleet, { stores, accept, setInitialCache });
}

/** Collects the versions of each instance in the order in which they take effect. */
function watchVersions(fleet: FaultyStoreFleet): Map<string, number[]> {
  const versionsByInstance = new Map<string, number[]>();
  for (const { id, instance } of fleet.instances) {
    const versions: number[] = [];
    versionsByInstance.set(id, versions);
    instance.configuration.inForce.changes.subscribe({
      next: (inForce) => {
        if (inForce !== undefined) versions.push(inForce.version);
      },
      error: () => undefined,
      complete: () => undefined,
    });
  }
  return versionsByInstance;
}

function countVersionDecreases(versions: readonly number[]): number {
  return versions.filter((version, index) => version < (versions[index - 1] ?? 0)).length;
}

function manifestVersions({ key, value }: { key: string; value: unknown }): number[] {
  return key.endsWith('/manifest') ? [(value as { version: number }).version] : [];
}
