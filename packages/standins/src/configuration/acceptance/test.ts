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
import { markedText, markOf } from '../_lib/configurationDocument/index.js';
import { FaultyObjectStore } from '../_lib/FaultyObjectStore/index.js';

function setUp() {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const open = () => new FaultyObjectStore(new MemoryObjectStore(platform, clock));
  const accept = (store: FaultyObjectStore, mark: number, expectedVersion?: number) =>
    acceptDocument(store, clock, markedText(mark), { random: createRandom(mark), expectedVersion });
  return { clock, platform, open, accept };
}

async function rejected(t: ExecutionContext, work: Promise<unknown>): Promise<RouterError> {
  const error = await t.throwsAsync(work);
  if (error instanceof RouterError) return error;
  throw new Error('the wrong error was thrown');
}

// Two operators save at the same moment. The one whose write comes second must not undo the first
// one's change without knowing; he sees what the other changed, and nothing of his is in force.
test('of two racing operators one wins whole, and the other is told what changed', async (t) => {
  const { clock, open, accept } = setUp();
  const [winner, loser] = [open(), open()];
  await accept(winner, 10);
  let raced: Promise<Acceptance> | undefined;
  loser.faults.beforeWrite = async (key) => {
    if (!key.endsWith('manifest')) return;
    raced ??= accept(winner, 20);
    await raced;
  };
  const error = await rejected(t, clock.runUntil(accept(loser, 30)));
  t.is(error.kind, 'conflict');
  t.regex(error.message, /version 2 of kapiti is in force; your change was made from version 1/);
  t.regex(error.message, /~ account porirua budget porirua-2026 10 opening tokens -> 20 opening/);
  const watcher = new ConfigurationWatcher({ store: open(), clock, environment: 'kapiti' });
  await clock.runUntil(watcher.refresh());
  t.is(markOf(watcher.current().index), 20);
  t.is(watcher.current().version, 2);
});

// An operator edits the file he saved in spring. Somebody else promoted a change in summer. Without
// a check his promotion would take the summer's change back, though no two writes ever raced.
test('a change made from an older version is refused, with what came since', async (t) => {
  const { clock, open, accept } = setUp();
  const store = open();
  await accept(store, 10);
  await accept(store, 20);
  const error = await rejected(t, clock.runUntil(accept(store, 30, 1)));
  t.is(error.kind, 'conflict');
  t.regex(error.message, /Changed since version 1:\n~ account porirua budget/);
  const text = `basedOnVersion: 1\n${markedText(30)}`;
  t.is((await rejected(t, clock.runUntil(acceptDocument(store, clock, text)))).kind, 'conflict');
});

// The store takes the manifest and the answer is lost on the way back. The operator must not be told
// that it failed, nor may the same document come into force as two versions.
test('an answer lost after the effect is found out', async (t) => {
  const { clock, open, accept } = setUp();
  const store = open();
  await accept(store, 10);
  store.faults.afterLostAnswer = () => undefined;
  const acceptance = await clock.runUntil(accept(store, 20));
  t.true(acceptance.isConfirmedByRead);
  t.is(acceptance.accepted.version, 2);
  t.is((await readManifest(store, 'kapiti')).version, 2);
});

// As before, and before the operator's program has read again, a colleague's change is in force.
test('an answer lost after the effect is found out though another version came after', async (t) => {
  const { clock, open, accept } = setUp();
  const [store, colleague] = [open(), open()];
  await accept(store, 10);
  store.faults.afterLostAnswer = async () => {
    await accept(colleague, 30);
  };
  const acceptance = await clock.runUntil(accept(store, 20));
  t.is(acceptance.accepted.version, 2);
  t.is(acceptance.manifest.version, 3);
});

// The answer is lost and the store stays down: nobody can know whether the change is in force, and
// the operator must be told just that.
test('an outcome that cannot be found out is said to be unknown', async (t) => {
  const { clock, open, accept } = setUp();
  const store = open();
  await accept(store, 10);
  store.faults.afterLostAnswer = () => {
    store.faults.isDown = true;
  };
  const error = await rejected(t, clock.runUntil(accept(store, 20)));
  t.is(error.kind, 'storeUnavailable');
  t.is(error.ran, 'unknown');
  store.faults.isDown = false;
  t.is((await clock.runUntil(accept(store, 20))).outcome, 'unchanged');
});

// The store goes down while objects are being written. Nothing is in force of the new document, and
// the operator is told that nothing changed.
test('an acceptance that stopped before the manifest changed nothing', async (t) => {
  const { clock, open, accept } = setUp();
  const store = open();
  await accept(store, 10);
  store.faults.beforeWrite = () => {
    throw new RouterError('storeUnavailable', 'the platform did not answer');
  };
  const error = await rejected(t, clock.runUntil(accept(store, 20)));
  t.is(error.ran, 'notRun');
  store.faults.beforeWrite = undefined;
  t.is((await readManifest(store, 'kapiti')).version, 1);
  t.is((await clock.runUntil(accept(store, 20))).accepted.version, 2);
});

// A newer release wrote the manifest, or a hand damaged it. A program that cannot read it must say
// so and leave it as it is, rather than begin again at version 1.
for (const [name, value] of [
  ['of an old format', { format: 1, version: 7, digest: 'x', text: '' }],
  ['that is damaged', { format: 2, version: 'seven' }],
] as const) {
  test(`a manifest ${name} is not written over`, async (t) => {
    const { clock, open, accept, platform } = setUp();
    const store = open();
    await store.write(manifestKey('kapiti'), value, { kind: 'none' });
    const error = await rejected(t, clock.runUntil(accept(store, 20)));
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

// An operator goes back to what ran last week. Instances act on rising versions only, so the old
// bytes come into force as a new version.
test('a rollback is a new version with the old bytes', async (t) => {
  const { clock, open, accept } = setUp();
  const store = open();
  await accept(store, 10);
  await accept(store, 20);
  const { accepted } = await clock.runUntil(rollbackVersion(store, clock, 'kapiti'));
  t.deepEqual([accepted.version, accepted.rolledBackTo], [3, 1]);
  const watcher = new ConfigurationWatcher({ store, clock, environment: 'kapiti' });
  await clock.runUntil(watcher.refresh());
  t.is(markOf(watcher.current().index), 10);
  const toNowhere = rollbackVersion(store, clock, 'kapiti', { toVersion: 9 });
  t.is((await rejected(t, clock.runUntil(toNowhere))).kind, 'notFound');
});

// An operator tries a document, corrects one figure, and promotes the corrected file; or promotes
// while the trial instances are down. Production would be the first to run those bytes.
test('bytes that no trial instance acted on are not promoted', async (t) => {
  const { clock, open } = setUp();
  const store = open();
  const trial = trialEnvironmentOf('kapiti');
  const trialStore = environmentStore(store, trial);
  const promote = (mark: number) =>
    clock.runUntil(promoteFromTrial(store, clock, markedText(mark)));
  t.is((await rejected(t, promote(10))).kind, 'notTried');
  await acceptDocument(trialStore, clock, markedText(10), { environment: trial });
  t.is((await rejected(t, promote(10))).kind, 'notTried');
  const watcher = new ConfigurationWatcher({ store: trialStore, clock, environment: trial });
  await clock.runUntil(watcher.start());
  await clock.advance(100);
  t.is((await rejected(t, promote(11))).kind, 'notTried');
  const promotion = await promote(10);
  t.is(promotion.accepted.digest, watcher.current().digest);
  t.is(promotion.trialRun.version, 1);
  await watcher[Symbol.asyncDispose]();
});
