import test from 'ava';
import { ManualClock, RouterError, type FailureDomainId, type InstanceId } from '@acaciacrank/base';
import {
  ObjectStore,
  type StoreChanges,
  type StoredObject,
  type StoreSnapshot,
  type WriteResult,
} from '@acaciacrank/store';
import { InstanceRegistry, registrationPrefix } from './index.js';

/** Objects that all users share. */
class SharedStore extends ObjectStore {
  readonly objects = new Map<string, StoredObject>();
  readonly #away: () => boolean;

  constructor(shared: SharedStore | undefined, away: () => boolean) {
    super();
    this.#away = away;
    if (shared !== undefined) this.objects = shared.objects;
  }

  override read(key: string): Promise<StoredObject | undefined> {
    return this.#answer(this.objects.get(key));
  }

  override write(key: string, value: unknown): Promise<WriteResult> {
    if (this.#away()) return this.#answer({ outcome: 'conflict' });
    const version = (this.objects.get(key)?.version ?? 0) + 1;
    this.objects.set(key, { key, version, value });
    return this.#answer({ outcome: 'written', version });
  }

  override remove(key: string, version: number): Promise<WriteResult> {
    if (!this.#away()) this.objects.delete(key);
    return this.#answer({ outcome: 'written', version });
  }

  override snapshot(): Promise<StoreSnapshot> {
    return this.#answer({ objects: [...this.objects.values()], revision: 1 });
  }

  override watch(): Promise<StoreChanges> {
    return this.#answer({ changes: [], revision: 1 });
  }

  #answer<Value>(value: Value): Promise<Value> {
    if (!this.#away()) return Promise.resolve(value);
    return Promise.reject(new RouterError('storeUnavailable', 'away'));
  }
}

function start(clock: ManualClock, shared: SharedStore, name: string) {
  const cut = { isAway: false };
  const events: string[] = [];
  const registry = new InstanceRegistry({
    store: new SharedStore(shared, () => cut.isAway),
    clock,
    self: {
      instanceId: name as InstanceId,
      runId: 'r',
      callerAddress: `${name}:1`,
      failureDomain: 'here' as FailureDomainId,
      fleetUrl: `ws://${name}:2`,
      linkKey: 'key',
    },
    onChange: ({ instanceId, what }) => events.push(`${instanceId} ${what}`),
  });
  void registry.run();
  const names = () => registry.live().map(({ instanceId }) => instanceId as string);
  return { registry, cut, events, names };
}

test('instances find each other, and one that leaves drops out', async (t) => {
  const clock = new ManualClock();
  const shared = new SharedStore(undefined, () => false);
  const a = start(clock, shared, 'a');
  const b = start(clock, shared, 'b');
  await clock.advance(2_000);
  t.deepEqual(a.names().sort(), ['a', 'b']);
  await b.registry.leave();
  await clock.advance(1_500);
  t.deepEqual(a.names(), ['a']);
  t.deepEqual(b.names(), ['a']);
});

// One machine is lost for good. Named on, it would cost each caller that picks it a second.
test('an instance whose heartbeats stop is left out', async (t) => {
  const clock = new ManualClock();
  const shared = new SharedStore(undefined, () => false);
  const a = start(clock, shared, 'a');
  const b = start(clock, shared, 'b');
  await clock.advance(2_000);
  b.registry[Symbol.dispose]();
  await clock.advance(16_000);
  t.deepEqual(a.names(), ['a']);
  t.true(a.events.includes('b dead'));
});

// All instances are cut off from the store for half a minute and serve on. None can tell whether the
// others live, so each keeps its last view.
test('without the store the last view stands', async (t) => {
  const clock = new ManualClock();
  const shared = new SharedStore(undefined, () => false);
  const a = start(clock, shared, 'a');
  const b = start(clock, shared, 'b');
  await clock.advance(2_000);
  a.cut.isAway = true;
  b.cut.isAway = true;
  await clock.advance(30_000);
  t.deepEqual(a.names().sort(), ['a', 'b']);
  a.cut.isAway = false;
  b.cut.isAway = false;
  await clock.advance(5_000);
  t.deepEqual(a.names().sort(), ['a', 'b']);
  t.false(a.events.includes('b dead'));
});

// A machine is replaced for good under another name. Its registration would stay in the store for
// ever, and each list would grow.
test('a registration that is long without heartbeats is removed', async (t) => {
  const clock = new ManualClock();
  const shared = new SharedStore(undefined, () => false);
  start(clock, shared, 'a');
  const b = start(clock, shared, 'b');
  await clock.advance(2_000);
  b.registry[Symbol.dispose]();
  await clock.advance(140_000);
  t.false(shared.objects.has(`${registrationPrefix}b`));
});
