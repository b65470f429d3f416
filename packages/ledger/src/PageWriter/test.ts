import test from 'ava';
import {
  createRandom,
  ManualClock,
  RouterError,
  type AccountId,
  type BudgetId,
  type InstanceId,
  type GrantId,
} from '@acaciacrank/base';
import {
  ObjectStore,
  type StoreChanges,
  type StoredObject,
  type StoreSnapshot,
  type WriteResult,
} from '@acaciacrank/store';
import { PageWriter } from './index.js';
import type { GrantOperation } from '../types.js';

const budget = { accountId: 'a' as AccountId, budgetId: 'b' as BudgetId, openingTokens: 1_000 };
const grant = (id: string): GrantOperation => ({
  kind: 'grant',
  budget,
  grantId: id as GrantId,
  holder: 'i1' as InstanceId,
  minTokens: 1,
  wantedTokens: 10,
  maxShare: 1,
  maxTotalShare: 1,
  unreachableWeight: 1,
  reachable: undefined,
  expiresAtMs: 2_000_000_000_000,
});

/** A store of one object with configurable failures. */
class ScriptedStore extends ObjectStore {
  stored: StoredObject | undefined;
  reads = 0;
  writes = 0;
  conflictsToReturn = 0;
  responsesToLose = 0;
  isDown = false;

  override read(): Promise<StoredObject | undefined> {
    this.reads += 1;
    return this.isDown ? Promise.reject(createUnavailableError()) : Promise.resolve(this.stored);
  }

  override write(key: string, value: unknown): Promise<WriteResult> {
    this.writes += 1;
    if (this.isDown) return Promise.reject(createUnavailableError());
    if (this.conflictsToReturn > 0) {
      this.conflictsToReturn -= 1;
      return Promise.resolve({ outcome: 'conflict' });
    }
    const version = (this.stored?.version ?? 0) + 1;
    this.stored = { key, version, value };
    if (this.responsesToLose > 0) {
      this.responsesToLose -= 1;
      return Promise.reject(createUnavailableError());
    }
    return Promise.resolve({ outcome: 'written', version });
  }

  override remove(): Promise<WriteResult> {
    return Promise.resolve({ outcome: 'conflict' });
  }

  override snapshot(): Promise<StoreSnapshot> {
    return Promise.resolve({ objects: [], revision: 0 });
  }

  override watch(): Promise<StoreChanges> {
    return Promise.resolve({ changes: [], revision: 0 });
  }
}

function createUnavailableError(): RouterError {
  return new RouterError('storeUnavailable', 'down');
}

function start(groupCommitMs = 0) {
  const clock = new ManualClock();
  const store = new ScriptedStore();
  const random = createRandom(1);
  const limits = { graceMs: 1_000, keyProtectionMs: 1_000, groupCommitMs };
  return { clock, store, writer: new PageWriter({ store, clock, random, ...limits }) };
}

// A write of a grant takes effect and its response is lost. The instance must not acquire a second grant
// for the same operation: the budget would show fewer available tokens than it has.
test('a write whose response was lost is recognised and not repeated', async (t) => {
  const { clock, store, writer } = start();
  store.responsesToLose = 1;
  const [result] = await clock.runUntil(writer.submit('p', [grant('g1')]));
  t.deepEqual(result, { kind: 'granted', tokens: 10, availableTokens: 990 });
  t.is(store.writes, 1);
});

// Many instances write one page at once. Each must increase its backoff and give up within a bounded
// time: the platform's few hundred writes per second would otherwise all be spent on conflicts.
test('repeated conflicts end in storeUnavailable after a bounded number of writes', async (t) => {
  const { clock, store, writer } = start();
  store.conflictsToReturn = 100;
  const error = await t.throwsAsync(clock.runUntil(writer.submit('p', [grant('g1')])));
  t.is((error as RouterError).kind, 'storeUnavailable');
  t.is(store.writes, 8);
  t.true(clock.monotonicMs() > 200);
  t.true(clock.monotonicMs() < 5_000);
});

test('operations submitted during a write share the next write', async (t) => {
  const { clock, store, writer } = start();
  const first = writer.submit('p', [grant('g1')]);
  const rest = Array.from({ length: 20 }, (_, index) => writer.submit('p', [grant(`h${index}`)]));
  await clock.runUntil(Promise.all([first, ...rest]));
  t.true(store.writes <= 2);
});

test('a page without other writers is not read before each write', async (t) => {
  const { clock, store, writer } = start();
  for (let index = 0; index < 10; index += 1) {
    await clock.runUntil(writer.submit('p', [grant(`g${index}`)]));
  }
  t.is(store.writes, 10);
  t.true(store.reads <= 3);
});

// After a downgrade the store contains a page of a newer format. An instance that treated it as empty
// would overwrite every budget in it.
test('a page that does not parse is not overwritten', async (t) => {
  const { clock, store, writer } = start();
  for (const value of [{ format: 2, budgets: {} }, { budgets: 'x' }, 'text', null]) {
    store.stored = { key: 'p', version: 3, value };
    const error = await t.throwsAsync(clock.runUntil(writer.submit('p', [grant('g1')])));
    t.is((error as RouterError).kind, 'internal');
    t.is(store.stored.value, value);
  }
  t.is(store.writes, 0);
});
