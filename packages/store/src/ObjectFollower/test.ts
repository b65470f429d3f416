import test from 'ava';
import { ManualClock, RouterError } from '@acaciacrank/base';
import type { StoreChanges, StoredObject, StoreSnapshot, WriteResult } from '../types.js';
import { ObjectStore } from '../ObjectStore/index.js';
import { ObjectFollower } from './index.js';

type Step = StoreSnapshot | StoreChanges | RouterError;

/**
 * Responds to each call with the next step of the script; calls after the last step never resolve.
 */
class ScriptedStore extends ObjectStore {
  readonly calls: string[] = [];
  readonly #steps: Step[];

  constructor(steps: Step[]) {
    super();
    this.#steps = steps;
  }

  override snapshot(): Promise<StoreSnapshot> {
    return this.#next('snapshot') as Promise<StoreSnapshot>;
  }

  override watch(_prefix: string, sinceRevision: number): Promise<StoreChanges> {
    return this.#next(`watch ${sinceRevision}`) as Promise<StoreChanges>;
  }

  override read(): Promise<StoredObject | undefined> {
    return Promise.resolve(undefined);
  }

  override write(): Promise<WriteResult> {
    return Promise.resolve({ outcome: 'conflict' });
  }

  override remove(): Promise<WriteResult> {
    return Promise.resolve({ outcome: 'conflict' });
  }

  #next(call: string): Promise<Step> {
    this.calls.push(call);
    const step = this.#steps.shift();
    if (step === undefined) return new Promise(() => undefined);
    return step instanceof RouterError ? Promise.reject(step) : Promise.resolve(step);
  }
}

function follow(
  steps: Step[],
  {
    batchDelayMs = 0,
    isLatestStateSufficient = false,
    ...more
  }: { batchDelayMs?: number; isLatestStateSufficient?: boolean; maxRetryMs?: number } = {},
) {
  const clock = new ManualClock();
  const store = new ScriptedStore(steps);
  const events: string[] = [];
  const follower = new ObjectFollower({
    store,
    clock,
    batchDelayMs,
    isLatestStateSufficient,
    ...more,
    prefix: 'a/',
    random: () => 0.5,
    onSnapshot: ({ objects }) => events.push(`all ${objects.map(({ key }) => key).join()}`),
    onChange: ({ key }) => events.push(`change ${key}`),
    onLost: () => events.push('lost'),
    onRegained: () => events.push('regained'),
  });
  return { clock, store, events, follower, run: follower.run() };
}

const createUnavailableError = () =>
  new RouterError('storeUnavailable', 'the store cannot be reached');
const object = (key: string): StoredObject => ({ key, version: 1, value: 1 });

test('it reads a snapshot, then watches from revision to revision', async (t) => {
  const { clock, store, events } = follow([
    { objects: [object('a/1')], revision: 5 },
    { changes: [{ key: 'a/2', revision: 7, object: object('a/2') }], revision: 8 },
    { changes: [], revision: 9 },
  ]);
  await clock.advance(10);
  t.deepEqual(store.calls, ['snapshot', 'watch 5', 'watch 8', 'watch 9']);
  t.deepEqual(events, ['all a/1', 'change a/2']);
});

// The store drops its history while objects change. The watch cannot return those changes any more,
// so a follower that only continued the watch would never see them.
test('a new snapshot is read after the store has dropped its history', async (t) => {
  const { clock, store, events } = follow([
    { objects: [], revision: 5 },
    new RouterError('historyGone', 'gone'),
    { objects: [object('a/3')], revision: 20 },
  ]);
  await clock.advance(2_000);
  t.deepEqual(store.calls, ['snapshot', 'watch 5', 'snapshot', 'watch 20']);
  t.deepEqual(events, ['all ', 'lost', 'regained', 'all a/3']);
});

// The store rejects every call immediately. Retries without a delay would make thousands of calls
// per second and keep the process from doing anything else.
test('an unavailable store is called a few times per second and reported once', async (t) => {
  const { clock, store, events } = follow([
    { objects: [], revision: 5 },
    ...Array.from({ length: 1_000 }, createUnavailableError),
  ]);
  await clock.advance(3_000);
  t.true(store.calls.length > 5 && store.calls.length < 30);
  t.deepEqual(events, ['all ', 'lost']);
});

// Dozens of upstreams come and go within a second. An instance that watches again after each change
// makes one call per change, while the store limits the calls of all instances together.
test('the next watch is delayed to batch changes', async (t) => {
  const change = { key: 'k/a', revision: 8, object: undefined };
  const steps: Step[] = [
    { objects: [], revision: 7 },
    { changes: [change], revision: 8 },
    { changes: [], revision: 8 },
  ];
  const { clock, store } = follow(steps, { batchDelayMs: 300 });
  await clock.advance(299);
  t.deepEqual(store.calls, ['snapshot', 'watch 7']);
  await clock.advance(1);
  t.deepEqual(store.calls, ['snapshot', 'watch 7', 'watch 8', 'watch 8']);
});

// Several large versions are written while an instance is partitioned. A watch would return all of
// them in one response over a slow link, and the only relevant one, the latest, would arrive
// seconds late.
test('if only the latest state matters, a snapshot is read after an outage', async (t) => {
  const steps = [
    { objects: [object('a/1')], revision: 5 },
    createUnavailableError(),
    { objects: [object('a/1')], revision: 20 },
  ];
  const { clock, store, events } = follow(steps, { isLatestStateSufficient: true });
  await clock.advance(2_000);
  t.deepEqual(store.calls, ['snapshot', 'watch 5', 'snapshot', 'watch 20']);
  t.deepEqual(events, ['all a/1', 'lost', 'regained', 'all a/1']);
});

// Guards against requests that are refused for want of the store though it is back.
test('without another bound an outage is noticed to be over within half a second', async (t) => {
  const steps: Step[] = [{ objects: [], revision: 7 }];
  for (let call = 0; call < 200; call += 1) steps.push(createUnavailableError());
  const { clock, events } = follow(steps);
  await clock.advance(8_000);
  steps.splice(0, Infinity, { changes: [], revision: 7 });
  await clock.advance(530);
  t.deepEqual(events, ['all ', 'lost', 'regained']);
});

// Guards against calls that every instance makes in vain, and pays for, while the store refuses them; and
// against an instance that is back late.
test('a store that refuses calls for 8 s is called rarely and followed again soon after', async (t) => {
  const steps: Step[] = [{ objects: [], revision: 7 }];
  for (let call = 0; call < 200; call += 1) steps.push(createUnavailableError());
  const { clock, store, events } = follow(steps, { maxRetryMs: 1_000 });
  await clock.advance(8_000);
  t.true(store.calls.length <= 14, `${store.calls.length} calls`);
  steps.splice(0, Infinity, { changes: [], revision: 7 });
  await clock.advance(1_600);
  t.deepEqual(events, ['all ', 'lost', 'regained']);
});
