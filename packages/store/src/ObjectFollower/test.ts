import test from 'ava';
import { ManualClock, RouterError } from '@acaciacrank/base';
import type { StoreChanges, StoredObject, StoreSnapshot, WriteResult } from '../types.js';
import { ObjectStore } from '../ObjectStore/index.js';
import { ObjectFollower } from './index.js';

type Step = StoreSnapshot | StoreChanges | RouterError;

/** Answers each call with the next step; then never again. */
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
  { gatherMs = 0, isNewestEnough = false }: { gatherMs?: number; isNewestEnough?: boolean } = {},
) {
  const clock = new ManualClock();
  const store = new ScriptedStore(steps);
  const events: string[] = [];
  const follower = new ObjectFollower({
    store,
    clock,
    gatherMs,
    isNewestEnough,
    prefix: 'a/',
    random: () => 0.5,
    onSnapshot: ({ objects }) => events.push(`all ${objects.map(({ key }) => key).join()}`),
    onChange: ({ key }) => events.push(`change ${key}`),
    onLost: () => events.push('lost'),
    onRegained: () => events.push('regained'),
  });
  return { clock, store, events, follower, run: follower.run() };
}

const away = () => new RouterError('storeUnavailable', 'away');
const object = (key: string): StoredObject => ({ key, version: 1, value: 1 });

test('it reads all, then goes on from revision to revision', async (t) => {
  const { clock, store, events } = follow([
    { objects: [object('a/1')], revision: 5 },
    { changes: [{ key: 'a/2', revision: 7, object: object('a/2') }], revision: 8 },
    { changes: [], revision: 9 },
  ]);
  await clock.advance(10);
  t.deepEqual(store.calls, ['snapshot', 'watch 5', 'watch 8', 'watch 9']);
  t.deepEqual(events, ['all a/1', 'change a/2']);
});

// The store drops its history while changes are made. They can no longer be told one by one, so a
// follower that only went on watching would miss them for good.
test('a dropped history is answered by reading everything again', async (t) => {
  const { clock, store, events } = follow([
    { objects: [], revision: 5 },
    new RouterError('historyGone', 'gone'),
    { objects: [object('a/3')], revision: 20 },
  ]);
  await clock.advance(2_000);
  t.deepEqual(store.calls, ['snapshot', 'watch 5', 'snapshot', 'watch 20']);
  t.deepEqual(events, ['all ', 'lost', 'regained', 'all a/3']);
});

// The store refuses every call at once. Asked again without a pause, it would get thousands of calls
// a second, and the process would do nothing else.
test('a store that is away is asked a few times a second, and told of once', async (t) => {
  const { clock, store, events } = follow([
    { objects: [], revision: 5 },
    ...Array.from({ length: 1_000 }, away),
  ]);
  await clock.advance(3_000);
  t.true(store.calls.length > 5 && store.calls.length < 30);
  t.deepEqual(events, ['all ', 'lost']);
});

// Dozens of upstreams come and go within a second. An instance that watches again after each of them
// makes a call for every one; the store serves a bounded number of calls from all instances.
test('changes are gathered before the next watch', async (t) => {
  const change = { key: 'k/a', revision: 8, object: undefined };
  const steps: Step[] = [
    { objects: [], revision: 7 },
    { changes: [change], revision: 8 },
    { changes: [], revision: 8 },
  ];
  const { clock, store } = follow(steps, { gatherMs: 300 });
  await clock.advance(299);
  t.deepEqual(store.calls, ['snapshot', 'watch 7']);
  await clock.advance(1);
  t.deepEqual(store.calls, ['snapshot', 'watch 7', 'watch 8', 'watch 8']);
});

// Large versions follow each other while an instance is cut off. All of them come in one answer over a
// narrow link, and the one that counts comes last, seconds after the cut is over.
test('where the newest state is enough, it alone is read after an outage', async (t) => {
  const steps = [
    { objects: [object('a/1')], revision: 5 },
    away(),
    { objects: [object('a/1')], revision: 20 },
  ];
  const { clock, store, events } = follow(steps, { isNewestEnough: true });
  await clock.advance(2_000);
  t.deepEqual(store.calls, ['snapshot', 'watch 5', 'snapshot', 'watch 20']);
  t.deepEqual(events, ['all a/1', 'lost', 'regained', 'all a/1']);
});
