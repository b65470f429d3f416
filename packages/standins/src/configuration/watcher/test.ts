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
import { makeDocument, markedText, markOf } from '../_lib/configurationDocument/index.js';
import { FaultyObjectStore } from '../_lib/FaultyObjectStore/index.js';

const inForceWithinMs = 10_000;

/** The objects of another watcher, as a fleet link gives them. */
class PeerObjects extends ConfigurationObjects {
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
  const open = () => new FaultyObjectStore(new MemoryObjectStore(platform, clock));
  const operator = open();
  const accept = (mark: number) =>
    clock.runUntil(acceptDocument(operator, clock, markedText(mark)));
  const watch = (store: FaultyObjectStore, options: Partial<ConfigurationWatcherOptions> = {}) =>
    new ConfigurationWatcher({
      store,
      clock,
      environment: 'kapiti',
      instanceId: 'i1' as InstanceId,
      random: () => 0.5,
      ...options,
    });
  return { clock, open, operator, accept, watch };
}

function versionsSeen(watcher: ConfigurationWatcher): number[] {
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

// A watch answers and the change is in force; then a cache answers reads with what it had before.
// An account that was added stays known.
test('a stale read does not take back a newer version', async (t) => {
  const { clock, open, accept, watch } = setUp();
  const store = open();
  await accept(10);
  const watcher = watch(store);
  const seen = versionsSeen(watcher);
  await clock.runUntil(watcher.start());
  store.faults.isStale = true;
  await accept(20);
  await clock.advance(30_000);
  t.deepEqual(seen, [1, 2]);
  t.is(markOf(watcher.current().index), 20);
  await watcher[Symbol.asyncDispose]();
});

// An instance acts on version 2 and is restarted. It remembers nothing, and its first read is
// answered from a cache that holds version 1. Acting on it would take a promotion back.
test('a restarted instance does not begin with a version that a cache remembers', async (t) => {
  const { clock, open, accept, watch } = setUp();
  const store = open();
  await accept(10);
  await store.read('config/kapiti/manifest');
  await accept(20);
  store.faults.isStale = true;
  const watcher = watch(store);
  const seen = versionsSeen(watcher);
  const started = watcher.start();
  await clock.advance(8_000);
  t.deepEqual(seen, []);
  store.faults.isStale = false;
  await clock.runUntil(started);
  t.deepEqual(seen, [2]);
  await watcher[Symbol.asyncDispose]();
});

// The connection of the watch falls silent for good: no answer, no error. The change must not wait
// for a time-out of the system's.
test('a change comes into force though the watch fell silent', async (t) => {
  const { clock, open, accept, watch } = setUp();
  const store = open();
  await accept(10);
  const watcher = watch(store);
  await clock.runUntil(watcher.start());
  store.faults.isWatchSilent = true;
  await clock.advance(1_000);
  for (const mark of [20, 30, 40]) {
    await accept(mark);
    await clock.advance(inForceWithinMs);
    t.is(markOf(watcher.current().index), mark);
  }
  await watcher[Symbol.asyncDispose]();
});

// A region is cut off for minutes while three changes are promoted. When it heals, the instance
// takes up the last one, and a peer that is still behind cannot take it back.
test('after a partition the latest version is in force and stays', async (t) => {
  const { clock, open, operator, accept, watch } = setUp();
  const store = open();
  await accept(10);
  const old = await readManifest(operator, 'kapiti');
  const watcher = watch(store);
  const seen = versionsSeen(watcher);
  await clock.runUntil(watcher.start());
  store.faults.isDown = true;
  for (const mark of [20, 30, 40]) await accept(mark);
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

// One instance read the change, then the store went down. The others get the manifest and its
// objects over the links.
test('with the store down, a change comes from a peer with its objects', async (t) => {
  const { clock, open, accept, watch } = setUp();
  await accept(10);
  const informed = watch(open());
  await clock.runUntil(informed.start());
  const store = open();
  const watcher = watch(store, { peers: new PeerObjects(informed) });
  await clock.runUntil(watcher.start());
  store.faults.isDown = true;
  await accept(20);
  await clock.advance(100);
  t.true(await clock.runUntil(watcher.offer(informed.current().manifest)));
  t.is(markOf(watcher.current().index), 20);
  t.is(watcher.objectText(informed.current().manifest.root.settings)?.includes('kapiti'), true);
  for (const each of [informed, watcher]) await each[Symbol.asyncDispose]();
});

// The store's connections fell silent, and a change of a large document is several objects deep.
// Waiting for the store at each of them would take longer than a change may take.
test('a peer gives the objects without a wait for the silent store at each', async (t) => {
  const { clock, open, operator, watch } = setUp();
  const document = makeDocument({ accounts: 400, budgetsPerAccount: 100 });
  const accept = (digest: string) =>
    clock.runUntil(acceptParsedDocument(operator, clock, document, digestText(digest)));
  await accept('first');
  const informed = watch(open());
  const store = open();
  const watcher = watch(store, { peers: new PeerObjects(informed) });
  for (const each of [informed, watcher]) await clock.runUntil(each.start());
  Object.assign(store.faults, { isReadSilent: true, isWatchSilent: true });
  await clock.advance(100);
  for (const account of document.accounts.slice(0, 40))
    account.keyDigests = [digestText(account.id)];
  await accept('second');
  await clock.advance(100);
  const startMs = clock.monotonicMs();
  t.true(await clock.runUntil(watcher.offer(informed.current().manifest)));
  const tookMs = clock.monotonicMs() - startMs;
  t.true(tookMs <= 2_000, `${tookMs} ms`);
  for (const each of [informed, watcher]) await each[Symbol.asyncDispose]();
});

// An instance is replaced during an outage of the store. It cannot know which version its former
// life acted on, so it waits; where the operator allows it, it begins with the highest that peers
// have.
for (const mayStartFromPeers of [false, true]) {
  const what = mayStartFromPeers ? "begins with the highest of its peers'" : 'waits';
  test(`an instance that starts with the store down ${what}`, async (t) => {
    const { clock, open, operator, accept, watch } = setUp();
    await accept(10);
    const old = await readManifest(operator, 'kapiti');
    await accept(20);
    const peer = watch(open());
    await clock.runUntil(peer.start());
    const store = open();
    store.faults.isDown = true;
    const watcher = watch(store, { peers: new PeerObjects(peer), mayStartFromPeers });
    const seen = versionsSeen(watcher);
    await clock.runUntil(watcher.start());
    await watcher.offer(old);
    await watcher.offer(peer.current().manifest);
    await clock.advance(inForceWithinMs);
    t.deepEqual(seen, mayStartFromPeers ? [2] : []);
    store.faults.isDown = false;
    await clock.advance(inForceWithinMs);
    t.deepEqual(seen, [2]);
    for (const each of [peer, watcher]) await each[Symbol.asyncDispose]();
  });
}

// An object of a new version is damaged in the store. The instance keeps to the old version whole,
// says what is wrong, and takes up the next good one.
test('a version that does not load is not half applied', async (t) => {
  const { clock, open, operator, accept, watch } = setUp();
  await accept(10);
  const store = open();
  const watcher = watch(store);
  const seen = versionsSeen(watcher);
  await clock.runUntil(watcher.start());
  store.faults.isDown = true;
  const { manifest } = await accept(20);
  const key = objectKey('kapiti', manifest.root.accounts);
  await operator.write(key, { writtenAtMs: 0, text: '{"accounts":{}}' }, { kind: 'none' });
  store.faults.isDown = false;
  await clock.advance(inForceWithinMs);
  t.deepEqual(seen, [1]);
  t.is(markOf(watcher.current().index), 10);
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
