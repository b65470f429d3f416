import test from 'ava';
import { ManualClock, RouterError, type FailureDomainId, type InstanceId } from '@acaciacrank/base';
import {
  ObjectStore,
  type StoreChanges,
  type StoredObject,
  type StoreSnapshot,
  type WriteResult,
} from '@acaciacrank/store';
import { registrationPrefix, Registrations } from './index.js';

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
  const listed: string[][] = [];
  const registrations = new Registrations({
    store: new SharedStore(shared, () => cut.isAway),
    clock,
    self: {
      instanceId: name as InstanceId,
      runId: 'r',
      callerAddress: `${name}:1`,
      failureDomain: 'here' as FailureDomainId,
      fleetUrl: `ws://${name}:2`,
      linkKey: `key of ${name}`,
    },
    onList: (others) => listed.push(others.map(({ id }) => id as string)),
  });
  void registrations.run();
  return { registrations, cut, listed };
}

const b = 'b' as InstanceId;

test('instances find each other, with the keys that prove them', async (t) => {
  const clock = new ManualClock();
  const shared = new SharedStore(undefined, () => false);
  const { registrations, listed } = start(clock, shared, 'a');
  start(clock, shared, 'b');
  await clock.advance(2_000);
  t.deepEqual(listed.at(-1), ['b']);
  t.is(registrations.keyOf(b), 'key of b');
  t.is(registrations.keyOf('x' as InstanceId), undefined);
});

// Guards against a share that stays with an instance that is gone for good.
test('an instance whose heartbeats stop does not live for all that the store tells', async (t) => {
  const clock = new ManualClock();
  const shared = new SharedStore(undefined, () => false);
  const first = start(clock, shared, 'a');
  const second = start(clock, shared, 'b');
  await clock.advance(2_000);
  t.deepEqual(first.registrations.mayLive(), [b]);
  second.registrations[Symbol.dispose]();
  await clock.advance(16_000);
  t.deepEqual(first.registrations.mayLive(), []);
});

// Guards against taking others for gone in an outage, in which nobody can write heartbeats.
test('heartbeats do not age while the store is away', async (t) => {
  const clock = new ManualClock();
  const shared = new SharedStore(undefined, () => false);
  const first = start(clock, shared, 'a');
  const second = start(clock, shared, 'b');
  await clock.advance(2_000);
  first.cut.isAway = true;
  second.cut.isAway = true;
  await clock.advance(30_000);
  t.deepEqual(first.registrations.mayLive(), [b]);
  first.cut.isAway = false;
  second.cut.isAway = false;
  await clock.advance(5_000);
  t.deepEqual(first.registrations.mayLive(), [b]);
});

// Guards against registrations of instances that were replaced, which would stay for ever.
test('a registration that is long without heartbeats is removed', async (t) => {
  const clock = new ManualClock();
  const shared = new SharedStore(undefined, () => false);
  start(clock, shared, 'a');
  const second = start(clock, shared, 'b');
  await clock.advance(2_000);
  second.registrations[Symbol.dispose]();
  await clock.advance(140_000);
  t.false(shared.objects.has(`${registrationPrefix}b`));
});
