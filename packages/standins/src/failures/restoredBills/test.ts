import test from 'ava';
import {
  createRandom,
  ManualClock,
  RouterError,
  type AccountId,
  type BudgetId,
  type InstanceId,
  type RequestId,
  type RequestKey,
} from '@acaciacrank/base';
import { BudgetLedger, FixedGrantPolicy, readBudget, RequestRecords } from '@acaciacrank/ledger';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';

const budget = { accountId: 'a' as AccountId, budgetId: 'b' as BudgetId, openingTokens: 100_000 };

function setUp() {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const startLedger = (name: string) => {
    const store = new MemoryObjectStore(platform, clock);
    const ledger = new BudgetLedger({
      store,
      clock,
      random: createRandom(1),
      instanceId: name as InstanceId,
      incarnation: '1',
      policy: new FixedGrantPolicy(60_000),
    });
    return { ledger, store };
  };
  const bill = async (ledger: BudgetLedger, key: string, tokens: number) => {
    const reservation = await clock.runUntil(ledger.reserve(budget, tokens));
    const request = {
      requestKey: key as RequestKey,
      requestId: `${key} by ${String(tokens)}` as RequestId,
      bodyDigest: 'digest',
      tokens,
    };
    return clock.runUntil(ledger.settle(reservation, request));
  };
  return { clock, platform, startLedger, bill };
}

// Guards against bills that are lost although callers have their final events, and against a second bill
// for the same key.
test('bills that a restored store has lost are written again by the instance that wrote them', async (t) => {
  const { clock, platform, startLedger, bill } = setUp();
  const { ledger, store } = startLedger('i1');
  await bill(ledger, 'k1', 1_000);
  const copy = platform.copy();
  await bill(ledger, 'k2', 2_000);
  platform.restore(copy);
  await clock.runUntil(store.read('any'));
  await clock.advance(2_000);
  const stored = await clock.runUntil(readBudget(store, budget));
  t.is(stored?.settledTokens, 3_000);
  const other = startLedger('i2').ledger;
  t.truthy(await clock.runUntil(other.findBill(budget, 'k2' as RequestKey)));
  ledger[Symbol.dispose]();
  other[Symbol.dispose]();
});

// Guards against granting the same tokens twice, while their holder has not written its grant again.
test('nothing new is granted until those who held grants can have written them again', async (t) => {
  const { clock, platform, startLedger, bill } = setUp();
  const copy = platform.copy();
  const first = startLedger('i1');
  const second = startLedger('i2');
  await clock.runUntil(second.store.read('any'));
  await bill(first.ledger, 'k1', 1_000);
  platform.restore(copy);
  await clock.runUntil(second.store.read('any'));
  const early = await t.throwsAsync<RouterError>(
    clock.runUntil(second.ledger.reserve(budget, 50_000)),
  );
  t.is(early?.kind, 'storeUnavailable');
  await clock.runUntil(first.store.read('any'));
  await clock.advance(12_000);
  const late = await t.throwsAsync<RouterError>(
    clock.runUntil(second.ledger.reserve(budget, 50_000)),
  );
  t.is(late?.kind, 'budgetExhausted');
  first.ledger[Symbol.dispose]();
  second.ledger[Symbol.dispose]();
});

// Guards against running a request that may not be repeated a second time, under the same key.
test('records of requests that a restored store has lost are written again', async (t) => {
  const { clock, platform } = setUp();
  const copy = platform.copy();
  const storeOf = () => new MemoryObjectStore(platform, clock);
  const firstStore = storeOf();
  const first = new RequestRecords({ store: firstStore, clock, instanceId: 'i1' as InstanceId });
  const key = 'order-17' as RequestKey;
  const begun = await first.begin(key, 'r1' as RequestId, 'digest');
  t.is(begun.kind, 'begun');
  platform.restore(copy);
  await firstStore.read('any');
  await clock.advance(1_000);
  const version = begun.kind === 'begun' ? begun.version : 0;
  await first.finish(key, 'r1' as RequestId, version, { state: 'ran', bodyDigest: 'digest' });
  const second = new RequestRecords({ store: storeOf(), clock, instanceId: 'i2' as InstanceId });
  const again = await second.begin(key, 'r2' as RequestId, 'digest');
  t.is(again.kind, 'earlier');
  t.is(again.kind === 'earlier' ? again.record.state : undefined, 'ran');
  first[Symbol.dispose]();
  second[Symbol.dispose]();
});
