import test from 'ava';
import { digestText, ManualClock, type InstanceId } from '@acaciacrank/base';
import {
  acceptDocument,
  acceptParsedDocument,
  ConfigurationObjects,
  ConfigurationWatcher,
  objectKey,
  readManifest,
  type ConfigurationWatcherOptions,
} from '@acaciacrank/operators';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';
import {
  makeDocument,
  createDocumentText,
  openingTokensOf,
} from '../_lib/configurationDocument/index.js';
import { FaultyObjectStore } from '../_lib/FaultyObjectStore/index.js';

const inForceWithinMs = 10_000;

/** Reads configuration objects from another watcher, as an instance does over a link to a peer. */
class PeerConfigurationObjects extends ConfigurationObjects {
  readonly #peer: ConfigurationWatcher;

  constructor(peer: ConfigurationWatcher) {
    super();
    this.#peer = peer;
  }

  override read(digest: string): Promise<string | undefined> {
    return Promise.resolve(this.#peer.objectText(digest));
  }
}

function setUp() {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const openStore = () => new FaultyObjectStore(new MemoryObjectStore(platform, clock));
  const operator = openStore();
  const accept = (openingTokens: number) =>
    clock.runUntil(acceptDocument(operator, clock, createDocumentText(openingTokens)));
  const createWatcher = (
    store: FaultyObjectStore,
    options: Partial<ConfigurationWatcherOptions> = {},
  ) =>
    new ConfigurationWatcher({
      store,
      clock,
      environment: 'kapiti',
      instanceId: 'i1' as InstanceId,
      random: () => 0.5,
      ...options,
    });
  return { clock, openStore, operator, accept, createWatcher };
}

function recordVersions(watcher: ConfigurationWatcher): number[] {
  const seen: number[] = [];
  watcher.inForce.changes.subscribe({
    next: (inForce) => {
      if (inForce !== undefined) seen.push(inForce.version);
    },
    error: () => undefined,
    complete: () => undefined,
  });
  return seen;
}

// Guards against an added account becoming unknown again. A watch reports a change and it comes into
// force; then a stale cache returns the previous version to reads.
test('a stale read does not revert a newer version', async (t) => {
  const { clock, openStore, accept, createWatcher } = setUp();
  const store = openStore();
  await accept(10);
  const watcher = createWatcher(store);
  const seen = recordVersions(watcher);
  await clock.runUntil(watcher.start());
  store.faults.isStale = true;
  await accept(20);
  await clock.advance(30_000);
  t.deepEqual(seen, [1, 2]);
  t.is(openingTokensOf(watcher.current().index), 20);
  await watcher[Symbol.asyncDispose]();
});

// Guards against a restart that reverts a promotion. An instance that applied version 2 keeps nothing
// over a restart, and its first read may come from a stale cache that holds version 1.
test('a restarted instance does not start with an old version from a stale cache', async (t) => {
  const { clock, openStore, accept, createWatcher } = setUp();
  const store = openStore();
  await accept(10);
  await store.read('config/kapiti/manifest');
  await accept(20);
  store.faults.isStale = true;
  const watcher = createWatcher(store);
  const seen = recordVersions(watcher);
  const started = watcher.start();
  await clock.advance(8_000);
  t.deepEqual(seen, []);
  store.faults.isStale = false;
  await clock.runUntil(started);
  t.deepEqual(seen, [2]);
  await watcher[Symbol.asyncDispose]();
});

// Guards against a change that waits for a time-out of the operating system: the connection of the
// watch hangs for good, with neither a response nor an error.
test('a change comes into force although the watch hangs', async (t) => {
  const { clock, openStore, accept, createWatcher } = setUp();
  const store = openStore();
  await accept(10);
  const watcher = createWatcher(store);
  await clock.runUntil(watcher.start());
  store.faults.isWatchSilent = true;
  await clock.advance(1_000);
  for (const openingTokens of [20, 30, 40]) {
    await accept(openingTokens);
    await clock.advance(inForceWithinMs);
    t.is(openingTokensOf(watcher.current().index), openingTokens);
  }
  await watcher[Symbol.asyncDispose]();
});

// Guards against an old version after a network partition. A region is partitioned for minutes while
// three changes are promoted. Afterwards the instance applies the last one, and a peer that is still
// behind cannot revert it.
test('after a partition the latest version is in force and stays', async (t) => {
  const { clock, openStore, operator, accept, createWatcher } = setUp();
  const store = openStore();
  await accept(10);
  const old = await readManifest(operator, 'kapiti');
  const watcher = createWatcher(store);
  const seen = recordVersions(watcher);
  await clock.runUntil(watcher.start());
  store.faults.isDown = true;
  for (const openingTokens of [20, 30, 40]) await accept(openingTokens);
  await clock.advance(180_000);
  t.is(watcher.current().version, 1);
  t.truthy(watcher.problem);
  store.faults.isDown = false;
  await clock.advance(inForceWithinMs);
  t.false(await watcher.offer(old));
  t.deepEqual(seen, [1, 4]);
  t.is(watcher.problem, undefined);
  await watcher[Symbol.asyncDispose]();
});

// Guards against a change that reaches only one instance: that one reads it, then the store goes down.
// The others receive the manifest and its objects over the links.
test('while the store is down, a peer provides a change and its objects', async (t) => {
  const { clock, openStore, accept, createWatcher } = setUp();
  await accept(10);
  const peer = createWatcher(openStore());
  await clock.runUntil(peer.start());
  const store = openStore();
  const watcher = createWatcher(store, { peers: new PeerConfigurationObjects(peer) });
  await clock.runUntil(watcher.start());
  store.faults.isDown = true;
  await accept(20);
  await clock.advance(100);
  t.true(await clock.runUntil(watcher.offer(peer.current().manifest)));
  t.is(openingTokensOf(watcher.current().index), 20);
  t.is(watcher.objectText(peer.current().manifest.root.settings)?.includes('kapiti'), true);
  for (const item of [peer, watcher]) await item[Symbol.asyncDispose]();
});

// Guards against a slow change while the store's connections hang. The change of a large document
// is a tree of objects several levels deep; a time-out of the store at each of them would take longer
// than a change may take.
test('objects are read from a peer without a store time-out for each of them', async (t) => {
  const { clock, openStore, operator, createWatcher } = setUp();
  const document = makeDocument({ accounts: 400, budgetsPerAccount: 100 });
  const accept = (digest: string) =>
    clock.runUntil(acceptParsedDocument(operator, clock, document, digestText(digest)));
  await accept('first');
  const peer = createWatcher(openStore());
  const store = openStore();
  const watcher = createWatcher(store, { peers: new PeerConfigurationObjects(peer) });
  for (const item of [peer, watcher]) await clock.runUntil(item.start());
  Object.assign(store.faults, { isReadSilent: true, isWatchSilent: true });
  await clock.advance(100);
  for (const account of document.accounts.slice(0, 40))
    account.keyDigests = [digestText(account.id)];
  await accept('second');
  await clock.advance(100);
  const startMs = clock.monotonicMs();
  t.true(await clock.runUntil(watcher.offer(peer.current().manifest)));
  const tookMs = clock.monotonicMs() - startMs;
  t.true(tookMs <= 2_000, `${tookMs} ms`);
  for (const item of [peer, watcher]) await item[Symbol.asyncDispose]();
});

// Guards against an instance that starts with an older version than its previous process run applied.
// During a store outage it cannot know that version, so it waits; where the operator allows it, it
// starts with the highest version of its peers.
for (const mayStartFromPeers of [false, true]) {
  const behaviour = mayStartFromPeers ? 'starts with the highest version of its peers' : 'waits';
  test(`an instance that starts while the store is down ${behaviour}`, async (t) => {
    const { clock, openStore, operator, accept, createWatcher } = setUp();
    await accept(10);
    const old = await readManifest(operator, 'kapiti');
    await accept(20);
    const peer = createWatcher(openStore());
    await clock.runUntil(peer.start());
    const store = openStore();
    store.faults.isDown = true;
    const watcher = createWatcher(store, {
      peers: new PeerConfigurationObjects(peer),
      mayStartFromPeers,
    });
    const seen = recordVersions(watcher);
    await clock.runUntil(watcher.start());
    await watcher.offer(old);
    await watcher.offer(peer.current().manifest);
    await clock.advance(inForceWithinMs);
    t.deepEqual(seen, mayStartFromPeers ? [2] : []);
    store.faults.isDown = false;
    await clock.advance(inForceWithinMs);
    t.deepEqual(seen, [2]);
    for (const item of [peer, watcher]) await item[Symbol.asyncDispose]();
  });
}

// Guards against a partly applied version when one of its objects is damaged in the store. The
// instance keeps the old version, reports the problem, and applies the next valid version.
test('a version that does not load is not partly applied', async (t) => {
  const { clock, openStore, operator, accept, createWatcher } = setUp();
  await accept(10);
  const store = openStore();
  const watcher = createWatcher(store);
  const seen = recordVersions(watcher);
  await clock.runUntil(watcher.start());
  store.faults.isDown = true;
  const { manifest } = await accept(20);
  const key = objectKey('kapiti', manifest.root.accounts);
  await operator.write(key, { writtenAtMs: 0, text: '{"accounts":{}}' }, { kind: 'none' });
  store.faults.isDown = false;
  await clock.advance(inForceWithinMs);
  t.deepEqual(seen, [1]);
  t.is(openingTokensOf(watcher.current().index), 10);
  t.deepEqual(
    [watcher.problem?.version, /damaged/.test(watcher.problem?.message ?? '')],
    [2, true],
  );
  await accept(30);
  await clock.advance(inForceWithinMs);
  t.deepEqual(seen, [1, 3]);
  t.is(watcher.problem, undefined);
  await watcher[Symbol.asyncDispose]();
});

// Guards against a status that shows a problem which is over: the store was down for a few seconds while
// the version in force was current.
test('a problem of reading ends when the store can be read again', async (t) => {
  const { clock, openStore, accept, createWatcher } = setUp();
  await accept(100);
  const store = openStore();
  const watcher = createWatcher(store);
  await clock.runUntil(watcher.start());
  store.faults.isDown = true;
  await clock.advance(6_000);
  t.truthy(watcher.problem);
  store.faults.isDown = false;
  await clock.advance(inForceWithinMs);
  t.is(watcher.problem, undefined);
  await watcher[Symbol.asyncDispose]();
});
