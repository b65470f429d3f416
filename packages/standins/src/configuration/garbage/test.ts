import test from 'ava';
import { once } from 'node:events';
import { createRandom, digestText, ManualClock } from '@acaciacrank/base';
import {
  acceptParsedDocument,
  ConfigurationWatcher,
  diffConfigurations,
  loadConfiguration,
  maxPreviousVersions,
  readManifest,
  StoreConfigurationObjects,
  type Acceptance,
  type EnvironmentDocument,
} from '@acaciacrank/operators';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';
import { makeDocument } from '../_lib/configurationDocument/index.js';
import { FaultyObjectStore } from '../_lib/FaultyObjectStore/index.js';

const hourMs = 3_600_000;

function withOpeningTokens(
  document: EnvironmentDocument,
  accountIndex: number,
  tokens: number,
): EnvironmentDocument {
  const accounts = document.accounts.map((account, index) =>
    index === accountIndex
      ? {
          ...account,
          budgets: account.budgets.map((budget) => ({ ...budget, openingTokens: tokens })),
        }
      : account,
  );
  return { ...document, accounts };
}

/** Lets one task wait until another one has reached a point. */
function createLatch() {
  const latch = new AbortController();
  const opened = once(latch.signal, 'abort');
  return {
    opened,
    open: () => {
      latch.abort();
    },
  };
}

function setUp() {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const openStore = () => new FaultyObjectStore(new MemoryObjectStore(platform, clock));
  const store = openStore();
  const accept = (document: EnvironmentDocument) =>
    clock.runUntil(
      acceptParsedDocument(store, clock, document, digestText(JSON.stringify(document)), {
        random: createRandom(1),
      }),
    );
  const objects = () =>
    platform.objects().filter(({ key }) => key.startsWith('config/kapiti/objects/')).length;
  return { clock, store, openStore, accept, objects };
}

// Guards against garbage that fills the store (nineteen thousand changes a day each write new objects),
// and against a collection that removes too much, so that a rollback fails when it is needed.
test('objects of old versions are removed, and every kept version stays complete', async (t) => {
  const { clock, store, accept, objects } = setUp();
  const document = makeDocument({ accounts: 60, budgetsPerAccount: 20 });
  await accept(document);
  const initialObjects = objects();
  for (let round = 1; round <= 60; round += 1) {
    await clock.advance(hourMs);
    await accept(withOpeningTokens(document, round % 60, round));
  }
  t.true(objects() < initialObjects + 60, `${objects()} objects, ${initialObjects} initially`);
  const manifest = await readManifest(store, 'kapiti');
  t.is(manifest.previous.length, maxPreviousVersions);
  const source = new StoreConfigurationObjects(store, 'kapiti');
  for (const { root } of [manifest, ...manifest.previous]) {
    await t.notThrowsAsync(loadConfiguration(source, root));
  }
});

// Guards against a version in force that instances cannot load. A document is changed back to what it
// was a year ago; its old objects are garbage until the manifest refers to them again. The garbage
// collection of another operator has just listed them and would remove them after that acceptance.
test('garbage that an acceptance reuses is not removed by a concurrent collection', async (t) => {
  const { clock, store, accept, openStore } = setUp();
  const first = makeDocument({ accounts: 3, budgetsPerAccount: 2 });
  await accept(first);
  for (let round = 1; round <= 10; round += 1) await accept(withOpeningTokens(first, 0, round));
  await clock.advance(2 * hourMs);
  const otherStore = openStore();
  let secondAcceptance: Promise<Acceptance> | undefined;
  otherStore.faults.beforeRemove = async () => {
    secondAcceptance ??= acceptParsedDocument(store, clock, first, digestText('first again'));
    await secondAcceptance;
  };
  await acceptParsedDocument(
    otherStore,
    clock,
    withOpeningTokens(first, 1, 7),
    digestText('colleague'),
  );
  const accepted = await secondAcceptance;
  t.is(accepted?.outcome, 'accepted');
  const source = new StoreConfigurationObjects(store, 'kapiti');
  const manifest = await readManifest(store, 'kapiti');
  t.is(manifest.version, 13);
  await t.notThrowsAsync(loadConfiguration(source, manifest.root));
});

// Guards against removing the objects of an acceptance that has not written its manifest yet: the
// garbage collection of another operator sees objects that nothing refers to.
test('objects of an acceptance in progress are not removed', async (t) => {
  const { clock, store, accept, openStore } = setUp();
  const first = makeDocument({ accounts: 3, budgetsPerAccount: 2 });
  await accept(first);
  const otherStore = openStore();
  const objectsWritten = createLatch();
  const collectionDone = createLatch();
  store.faults.beforeWrite = async (key) => {
    if (!key.endsWith('manifest')) return;
    objectsWritten.open();
    await collectionDone.opened;
  };
  let pendingAcceptance: Promise<Acceptance> | undefined;
  otherStore.faults.beforeSnapshot = async () => {
    pendingAcceptance = acceptParsedDocument(
      store,
      clock,
      withOpeningTokens(first, 2, 9),
      digestText('under way'),
    );
    await objectsWritten.opened;
  };
  await acceptParsedDocument(
    otherStore,
    clock,
    withOpeningTokens(first, 1, 7),
    digestText('colleague'),
  );
  collectionDone.open();
  t.is((await pendingAcceptance)?.accepted.version, 3);
  const source = new StoreConfigurationObjects(store, 'kapiti');
  const manifest = await readManifest(store, 'kapiti');
  await t.notThrowsAsync(loadConfiguration(source, manifest.root));
});

test('a change of one account among many writes, fetches and compares few objects', async (t) => {
  const { clock, store, accept } = setUp();
  const document = makeDocument({ accounts: 230, budgetsPerAccount: 50 });
  const { manifest: before } = await accept(document);
  const watcher = new ConfigurationWatcher({ store, clock, environment: 'kapiti' });
  await clock.runUntil(watcher.refresh());
  Object.assign(store, { writes: 0, reads: 0 });
  const { manifest } = await accept(withOpeningTokens(document, 100, 9));
  t.true(store.writes <= 5, `${store.writes} writes`);
  store.reads = 0;
  await clock.runUntil(watcher.refresh());
  t.true(store.reads <= 5, `${store.reads} reads`);
  store.reads = 0;
  const source = new StoreConfigurationObjects(store, 'kapiti');
  const changes = await diffConfigurations(source, before.root, manifest.root);
  t.is(changes.length, 50);
  t.true(changes.every(({ what }) => what.startsWith('account account-100 budget ')));
  t.true(store.reads <= 12, `${store.reads} reads`);
});
