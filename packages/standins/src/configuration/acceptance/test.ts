import test, { type ExecutionContext } from 'ava';
import { ManualClock, RouterError, createRandom } from '@acaciacrank/base';
import {
  acceptDocument,
  ConfigurationWatcher,
  environmentStore,
  manifestKey,
  promoteFromTrial,
  readManifest,
  rollbackVersion,
  trialEnvironmentOf,
  type Acceptance,
} from '@acaciacrank/operators';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';
import { createDocumentText, openingTokensOf } from '../_lib/configurationDocument/index.js';
import { FaultyObjectStore } from '../_lib/FaultyObjectStore/index.js';

function setUp() {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const openStore = () => new FaultyObjectStore(new MemoryObjectStore(platform, clock));
  const accept = (store: FaultyObjectStore, openingTokens: number, expectedVersion?: number) =>
    acceptDocument(store, clock, createDocumentText(openingTokens), {
      random: createRandom(openingTokens),
      expectedVersion,
    });
  return { clock, platform, openStore, accept };
}

async function expectRouterError(
  t: ExecutionContext,
  work: Promise<unknown>,
): Promise<RouterError> {
  const error = await t.throwsAsync(work);
  if (error instanceof RouterError) return error;
  throw new Error('expected a RouterError, but another error was thrown');
}

// Guards against a lost update when two operators save at the same time. The second write is refused
// as a whole, and its operator is shown what the other one changed.
test('of two concurrent changes one is accepted, and the other is refused with the difference', async (t) => {
  const { clock, openStore, accept } = setUp();
  const [firstStore, secondStore] = [openStore(), openStore()];
  await accept(firstStore, 10);
  let concurrentAcceptance: Promise<Acceptance> | undefined;
  secondStore.faults.beforeWrite = async (key) => {
    if (!key.endsWith('manifest')) return;
    concurrentAcceptance ??= accept(firstStore, 20);
    await concurrentAcceptance;
  };
  const error = await expectRouterError(t, clock.runUntil(accept(secondStore, 30)));
  t.is(error.kind, 'conflict');
  t.regex(error.message, /version 2 of kapiti is in force; your change was made from version 1/);
  t.regex(error.message, /~ account porirua budget porirua-2026 10 opening tokens -> 20 opening/);
  const watcher = new ConfigurationWatcher({ store: openStore(), clock, environment: 'kapiti' });
  await clock.runUntil(watcher.refresh());
  t.is(openingTokensOf(watcher.current().index), 20);
  t.is(watcher.current().version, 2);
});

// Guards against reverting a change by editing an old file. An operator edits a file saved months ago,
// and somebody else has promoted a change since then. No two writes are concurrent, so only the check
// of the base version detects it.
test('a change based on an older version is refused with the changes since then', async (t) => {
  const { clock, openStore, accept } = setUp();
  const store = openStore();
  await accept(store, 10);
  await accept(store, 20);
  const error = await expectRouterError(t, clock.runUntil(accept(store, 30, 1)));
  t.is(error.kind, 'conflict');
  t.regex(error.message, /Changed since version 1:\n~ account porirua budget/);
  const text = `basedOnVersion: 1\n${createDocumentText(30)}`;
  t.is(
    (await expectRouterError(t, clock.runUntil(acceptDocument(store, clock, text)))).kind,
    'conflict',
  );
});

// Guards against a change that is reported as failed although it is in force, and against one document
// in force as two versions: the store writes the manifest, but its response is lost.
test('a write whose response is lost is confirmed by a read', async (t) => {
  const { clock, openStore, accept } = setUp();
  const store = openStore();
  await accept(store, 10);
  store.faults.afterLostResponse = () => undefined;
  const acceptance = await clock.runUntil(accept(store, 20));
  t.true(acceptance.isConfirmedByRead);
  t.is(acceptance.accepted.version, 2);
  t.is((await readManifest(store, 'kapiti')).version, 2);
});

// As above; in addition, another operator's change takes effect before the confirming read.
test('a write whose response is lost is confirmed by a read after a later version', async (t) => {
  const { clock, openStore, accept } = setUp();
  const [store, otherStore] = [openStore(), openStore()];
  await accept(store, 10);
  store.faults.afterLostResponse = async () => {
    await accept(otherStore, 30);
  };
  const acceptance = await clock.runUntil(accept(store, 20));
  t.is(acceptance.accepted.version, 2);
  t.is(acceptance.manifest.version, 3);
});

// Guards against reporting an outcome that cannot be known: the response is lost and the store stays
// down. The operator must be notified that the outcome is unknown.
test('an outcome that cannot be confirmed is reported as unknown', async (t) => {
  const { clock, openStore, accept } = setUp();
  const store = openStore();
  await accept(store, 10);
  store.faults.afterLostResponse = () => {
    store.faults.isDown = true;
  };
  const error = await expectRouterError(t, clock.runUntil(accept(store, 20)));
  t.is(error.kind, 'storeUnavailable');
  t.is(error.ran, 'unknown');
  store.faults.isDown = false;
  t.is((await clock.runUntil(accept(store, 20))).outcome, 'unchanged');
});

// Guards against a partly applied document when the store goes down while objects are written. The
// operator is notified that nothing changed.
test('an acceptance that fails before it writes the manifest changes nothing', async (t) => {
  const { clock, openStore, accept } = setUp();
  const store = openStore();
  await accept(store, 10);
  store.faults.beforeWrite = () => {
    throw new RouterError('storeUnavailable', 'the platform did not answer');
  };
  const error = await expectRouterError(t, clock.runUntil(accept(store, 20)));
  t.is(error.ran, 'notRun');
  store.faults.beforeWrite = undefined;
  t.is((await readManifest(store, 'kapiti')).version, 1);
  t.is((await clock.runUntil(accept(store, 20))).accepted.version, 2);
});

// Guards against a configuration that restarts at version 1 because its manifest cannot be read: a
// release with another format wrote it, or it was damaged by hand. The manifest must stay as it is.
for (const [name, value] of [
  ['of an old format', { format: 1, version: 7, digest: 'x', text: '' }],
  ['that is damaged', { format: 2, version: 'seven' }],
] as const) {
  test(`a manifest ${name} is not overwritten`, async (t) => {
    const { clock, openStore, accept, platform } = setUp();
    const store = openStore();
    await store.write(manifestKey('kapiti'), value, { kind: 'none' });
    const error = await expectRouterError(t, clock.runUntil(accept(store, 20)));
    t.is(error.kind, 'badDocument');
    t.regex(error.message, /nothing was changed/);
    const watcher = new ConfigurationWatcher({ store, clock, environment: 'kapiti' });
    await watcher.start();
    await clock.advance(20_000);
    t.is(watcher.inForce.value, undefined);
    t.regex(watcher.problem?.message ?? '', /nothing was changed/);
    await watcher[Symbol.asyncDispose]();
    const stored = platform.read(manifestKey('kapiti'));
    t.deepEqual([stored?.version, stored?.value], [1, value]);
  });
}

// Guards against a rollback that instances ignore: they apply only higher versions, so the old content
// must take effect as a new version.
test('a rollback creates a new version with the old content', async (t) => {
  const { clock, openStore, accept } = setUp();
  const store = openStore();
  await accept(store, 10);
  await accept(store, 20);
  const { accepted } = await clock.runUntil(rollbackVersion(store, clock, 'kapiti'));
  t.deepEqual([accepted.version, accepted.rolledBackTo], [3, 1]);
  const watcher = new ConfigurationWatcher({ store, clock, environment: 'kapiti' });
  await clock.runUntil(watcher.refresh());
  t.is(openingTokensOf(watcher.current().index), 10);
  const unknownRollback = rollbackVersion(store, clock, 'kapiti', { toVersion: 9 });
  t.is((await expectRouterError(t, clock.runUntil(unknownRollback))).kind, 'notFound');
});

// Guards against promoting a document that production would be the first to run. An operator tries a
// document, corrects one number in it and promotes the corrected file, or promotes while the trial
// instances are down.
test('a document that no trial instance has applied is not promoted', async (t) => {
  const { clock, openStore } = setUp();
  const store = openStore();
  const trial = trialEnvironmentOf('kapiti');
  const trialStore = environmentStore(store, trial);
  const promote = (openingTokens: number) =>
    clock.runUntil(promoteFromTrial(store, clock, createDocumentText(openingTokens)));
  t.is((await expectRouterError(t, promote(10))).kind, 'notTried');
  await acceptDocument(trialStore, clock, createDocumentText(10), { environment: trial });
  t.is((await expectRouterError(t, promote(10))).kind, 'notTried');
  const watcher = new ConfigurationWatcher({ store: trialStore, clock, environment: trial });
  await clock.runUntil(watcher.start());
  await clock.advance(100);
  t.is((await expectRouterError(t, promote(11))).kind, 'notTried');
  const promotion = await promote(10);
  t.is(promotion.accepted.digest, watcher.current().digest);
  t.is(promotion.trialRun.version, 1);
  await watcher[Symbol.asyncDispose]();
});
