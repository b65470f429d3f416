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

/** A store whose objects are shared by all clients, each of which can be cut off separately. */
class SharedStore extends ObjectStore {
  readonly objects = new Map<string, StoredObject>();
  readonly #isUnreachable: () => boolean;

  constructor(shared: SharedStore | undefined, isUnreachable: () => boolean) {
    super();
    this.#isUnreachable = isUnreachable;
    if (shared !== undefined) this.objects = shared.objects;
  }

  override read(key: string): Promise<StoredObject | undefined> {
    return this.#respond(this.objects.get(key));
  }

  override write(key: string, value: unknown): Promise<WriteResult> {
    if (this.#isUnreachable()) return this.#respond({ outcome: 'conflict' });
    const version = (this.objects.get(key)?.version ?? 0) + 1;
    this.objects.set(key, { key, version, value });
    return this.#respond({ outcome: 'written', version });
  }

  override remove(key: string, version: number): Promise<WriteResult> {
    if (!this.#isUnreachable()) this.objects.delete(key);
    return this.#respond({ outcome: 'written', version });
  }

  override snapshot(): Promise<StoreSnapshot> {
    return this.#respond({ objects: [...this.objects.values()], revision: 1 });
  }

  override watch(): Promise<StoreChanges> {
    return this.#respond({ changes: [], revision: 1 });
  }

  #respond<Value>(value: Value): Promise<Value> {
    if (!this.#isUnreachable()) return Promise.resolve(value);
    return Promise.reject(new RouterError('storeUnavailable', 'the store cannot be reached'));
  }
}

function start(clock: ManualClock, shared: SharedStore, name: string) {
  const cut = { isStoreUnreachable: false };
  const listed: string[][] = [];
  const registrations = new Registrations({
    store: new SharedStore(shared, () => cut.isStoreUnreachable),
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

test('instances discover each other and their link keys', async (t) => {
  const clock = new ManualClock();
  const shared = new SharedStore(undefined, () => false);
  const { registrations, listed } = start(clock, shared, 'a');
  start(clock, shared, 'b');
  await clock.advance(2_000);
  t.deepEqual(listed.at(-1), ['b']);
  t.is(registrations.linkKeyOf(b), 'key of b');
  t.is(registrations.linkKeyOf('x' as InstanceId), undefined);
});

// Guards against reserving a share of a limit for an instance that is gone for good.
test('an instance whose heartbeats stop no longer counts as possibly running', async (t) => {
  const clock = new ManualClock();
  const shared = new SharedStore(undefined, () => false);
  const first = start(clock, shared, 'a');
  const second = start(clock, shared, 'b');
  await clock.advance(2_000);
  t.deepEqual(first.registrations.possiblyRunning(), [b]);
  second.registrations[Symbol.dispose]();
  await clock.advance(16_000);
  t.deepEqual(first.registrations.possiblyRunning(), []);
});

// Guards against treating others as gone during a store outage, when no instance can write
// heartbeats.
test('heartbeats do not age while the store is unreachable', async (t) => {
  const clock = new ManualClock();
  const shared = new SharedStore(undefined, () => false);
  const first = start(clock, shared, 'a');
  const second = start(clock, shared, 'b');
  await clock.advance(2_000);
  first.cut.isStoreUnreachable = true;
  second.cut.isStoreUnreachable = true;
  await clock.advance(30_000);
  t.deepEqual(first.registrations.possiblyRunning(), [b]);
  first.cut.isStoreUnreachable = false;
  second.cut.isStoreUnreachable = false;
  await clock.advance(5_000);
  t.deepEqual(first.registrations.possiblyRunning(), [b]);
});

// Guards against registrations of replaced instances that are never removed.
test('a registration without heartbeats is removed after its expiry', async (t) => {
  const clock = new ManualClock();
  const shared = new SharedStore(undefined, () => false);
  start(clock, shared, 'a');
  const second = start(clock, shared, 'b');
  await clock.advance(2_000);
  second.registrations[Symbol.dispose]();
  await clock.advance(140_000);
  t.false(shared.objects.has(`${registrationPrefix}b`));
});
