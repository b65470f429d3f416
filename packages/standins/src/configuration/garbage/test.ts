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

function changed(document: EnvironmentDocument, at: number, tokens: number): EnvironmentDocument {
  const accounts = document.accounts.map((account, index) =>
    index === at
      ? {
          ...account,
          budgets: account.budgets.map((budget) => ({ ...budget, openingTokens: tokens })),
        }
      : account,
  );
  return { ...document, accounts };
}

/** Lets one side wait until the other has come to a point. */
function createLatch() {
  const latch = new AbortController();
  const isOpen = once(latch.signal, 'abort');
  return {
    isOpen,
    open: () => {
      latch.abort();
    },
  };
}

function setUp() {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const open = () => new FaultyObjectStore(new MemoryObjectStore(platform, clock));
  const store = open();
  const accept = (document: EnvironmentDocument) =>
    clock.runUntil(
      acceptParsedDocument(store, clock, document, digestText(JSON.stringify(document)), {
        random: createRandom(1),
      }),
    );
  const objects = () =>
    platform.objects().filter(({ key }) => key.startsWith('config/kapiti/objects/')).length;
  return { clock, store, open, accept, objects };
}

// Nineteen thousand changes a day would fill the store if each left its objects behind; and a
// collection that removes too much shows as a rollback that fails in the hour of need.
test('objects of old versions go, and every kept version stays whole', async (t) => {
  const { clock, store, accept, objects } = setUp();
  const document = makeDocument({ accounts: 60, budgetsPerAccount: 20 });
  await accept(document);
  const atFirst = objects();
  for (let round = 1; round <= 60; round += 1) {
    await clock.advance(hourMs);
    await accept(changed(document, round % 60, round));
  }
  t.true(objects() < atFirst + 60, `${objects()} objects, ${atFirst} at first`);
  const manifest = await readManifest(store, 'kapiti');
  t.is(manifest.previous.length, maxPreviousVersions);
  const source = new StoreConfigurationObjects(store, 'kapiti');
  for (const { root } of [manifest, ...manifest.previous]) {
    await t.notThrowsAsync(loadConfiguration(source, root));
  }
});

// A document is taken back to what it was a year ago. Its objects are old, and garbage until the
// manifest names them again. A colleague's collection has just found them, and removes them after
// that acceptance: instances would then refuse to load the version in force.
test('garbage that an acceptance takes up again is not removed by a collection under way', async (t) => {
  const { clock, store, accept, open } = setUp();
  const first = makeDocument({ accounts: 3, budgetsPerAccount: 2 });
  await accept(first);
  for (let round = 1; round <= 10; round += 1) await accept(changed(first, 0, round));
  await clock.advance(2 * hourMs);
  const colleague = open();
  let takenUp: Promise<Acceptance> | undefined;
  colleague.faults.beforeRemove = async () => {
    takenUp ??= acceptParsedDocument(store, clock, first, digestText('first again'));
    await takenUp;
  };
  await acceptParsedDocument(colleague, clock, changed(first, 1, 7), digestText('colleague'));
  const accepted = await takenUp;
  t.is(accepted?.outcome, 'accepted');
  const source = new StoreConfigurationObjects(store, 'kapiti');
  const manifest = await readManifest(store, 'kapiti');
  t.is(manifest.version, 13);
  await t.notThrowsAsync(loadConfiguration(source, manifest.root));
});

// An acceptance has written its objects and not yet the manifest. A colleague's collection sees
// objects that nothing refers to.
test('objects of an acceptance under way are not removed', async (t) => {
  const { clock, store, accept, open } = setUp();
  const first = makeDocument({ accounts: 3, budgetsPerAccount: 2 });
  await accept(first);
  const colleague = open();
  const isPrepared = createLatch();
  const isCollected = createLatch();
  store.faults.beforeWrite = async (key) => {
    if (!key.endsWith('manifest')) return;
    isPrepared.open();
    await isCollected.isOpen;
  };
  let underWay: Promise<Acceptance> | undefined;
  colleague.faults.beforeList = async () => {
    underWay = acceptParsedDocument(store, clock, changed(first, 2, 9), digestText('under way'));
    await isPrepared.isOpen;
  };
  await acceptParsedDocument(colleague, clock, changed(first, 1, 7), digestText('colleague'));
  isCollected.open();
  t.is((await underWay)?.accepted.version, 3);
  const source = new StoreConfigurationObjects(store, 'kapiti');
  const manifest = await readManifest(store, 'kapiti');
  await t.notThrowsAsync(loadConfiguration(source, manifest.root));
});

test('one changed account of many costs few objects to write, to fetch and to compare', async (t) => {
  const { clock, store, accept } = setUp();
  const document = makeDocument({ accounts: 230, budgetsPerAccount: 50 });
  const { manifest: before } = await accept(document);
  const watcher = new ConfigurationWatcher({ store, clock, environment: 'kapiti' });
  await clock.runUntil(watcher.refresh());
  Object.assign(store, { writes: 0, reads: 0 });
  const { manifest } = await accept(changed(document, 100, 9));
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
