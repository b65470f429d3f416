import test from 'ava';
import {
  createRandom,
  ManualClock,
  type AccountId,
  type BudgetId,
  type InstanceId,
  type RequestId,
  type RequestKey,
} from '@acaciacrank/base';
import {
  BudgetLedger,
  DemandGrantPolicy,
  FixedGrantPolicy,
  readBudget,
  topUpBudget,
  type BudgetLedgerOptions,
} from '@acaciacrank/ledger';
import { LocalGrantNetwork } from '../../LocalGrantNetwork/index.js';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';

const budget = {
  accountId: 'a' as AccountId,
  budgetId: 'b' as BudgetId,
  openingTokens: 100_000,
};

function start(options: Partial<BudgetLedgerOptions> = {}) {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const network = new LocalGrantNetwork({ clock });
  const instance = (name: string) => {
    const store = new MemoryObjectStore(platform, clock);
    const instanceId = name as InstanceId;
    const ledger = new BudgetLedger({
      store,
      clock,
      random: createRandom(1),
      instanceId,
      incarnation: '1',
      policy: new DemandGrantPolicy(),
      peers: network.peersOf(instanceId),
      ...options,
    });
    return { store, ledger };
  };
  return { clock, instance };
}

const request = (name: string, tokens: number) => ({
  requestKey: name as RequestKey,
  requestId: `r-${name}` as RequestId,
  bodyDigest: 'd',
  tokens,
});

// The store is down for minutes while streams end. Their bills wait; without a bound the process
// would run out of memory and lose them all. New requests are refused as not run, the bills are
// written once when the store is back.
test('bills wait out a long outage in bounded memory and are written once', async (t) => {
  const { clock, instance } = start({ maxOpenRequestsPerPage: 2, policy: new FixedGrantPolicy() });
  const { store, ledger } = instance('i1');
  const held = [
    await clock.runUntil(ledger.reserve(budget, 100)),
    await clock.runUntil(ledger.reserve(budget, 100)),
  ];
  store.link.isDown = true;
  const bills = held.map((one, index) => ledger.settle(one, request(`k${index}`, 60)));
  await clock.advance(240_000);
  const refused = await t.throwsAsync(clock.runUntil(ledger.reserve(budget, 1)));
  t.like(refused, { kind: 'overloaded', ran: 'notRun' });
  store.link.isDown = false;
  store.link.answersToLose = 1;
  const written = await clock.runUntil(Promise.all(bills));
  t.deepEqual(
    written.map(({ tokens }) => tokens),
    [60, 60],
  );
  t.like(await readBudget(store, budget), { settledTokens: 120, bills: 2 });
  await t.notThrowsAsync(clock.runUntil(ledger.reserve(budget, 1)));
});

// A page fills with request keys that still protect against a second bill. Dropping one early would
// bill its retry again; the page takes no new requests until old keys have ended.
test('a page full of protecting keys refuses until they have ended', async (t) => {
  const { clock, instance } = start({ maxKeysPerPage: 2, keyProtectionMs: 60_000 });
  const { store, ledger } = instance('i1');
  for (const name of ['k1', 'k2']) {
    const held = await clock.runUntil(ledger.reserve(budget, 10));
    await clock.runUntil(ledger.settle(held, request(name, 5)));
  }
  const refused = await t.throwsAsync(clock.runUntil(ledger.reserve(budget, 10)));
  t.like(refused, { kind: 'overloaded', ran: 'notRun' });
  t.is((await readBudget(store, budget)).bills, 2);
  await clock.advance(60_000);
  await t.notThrowsAsync(clock.runUntil(ledger.reserve(budget, 10)));
});

// Two instances lose the store but not each other. One has tokens, the other has none: it asks, is
// given a part of the other's grant, and bills it later without touching what the other spends.
test('instances that lost the store share a grant, and both bills fit into it', async (t) => {
  const { clock, instance } = start({ policy: new FixedGrantPolicy(1_000) });
  const [first, second] = [instance('i1'), instance('i2')];
  const own = await clock.runUntil(first.ledger.reserve(budget, 300));
  first.store.link.isDown = true;
  second.store.link.isDown = true;
  const passed = await clock.runUntil(second.ledger.reserve(budget, 600));
  const refused = await t.throwsAsync(clock.runUntil(second.ledger.reserve(budget, 200)));
  t.like(refused, { kind: 'storeUnavailable', ran: 'notRun' });
  first.store.link.isDown = false;
  second.store.link.isDown = false;
  const bills = [
    first.ledger.settle(own, request('k1', 300)),
    second.ledger.settle(passed, request('k2', 600)),
  ];
  const written = await clock.runUntil(Promise.all(bills));
  t.deepEqual(
    written.map(({ unbillableTokens }) => unbillableTokens),
    [0, 0],
  );
  t.is((await readBudget(first.store, budget)).settledTokens, 900);
});

// An instance is frozen for half an hour with a request in hand; its grant has gone to others, who
// used the budget up. Its bill takes what is left and the rest is counted, never charged.
test('a bill after a long pause is charged as far as the budget reaches', async (t) => {
  const { clock, instance } = start({ policy: new FixedGrantPolicy(100_000) });
  const [frozen, other] = [instance('i1'), instance('i2')];
  const late = await clock.runUntil(frozen.ledger.reserve(budget, 500));
  frozen.ledger[Symbol.dispose]();
  await clock.advance(1_800_000);
  t.false(frozen.ledger.isSpendable(late));
  const held = await clock.runUntil(other.ledger.reserve(budget, 99_800));
  await clock.runUntil(other.ledger.settle(held, request('k2', 99_800)));
  await clock.runUntil(other.ledger.closeAll());
  const bill = await clock.runUntil(frozen.ledger.settle(late, request('k1', 500)));
  t.like(bill, { tokens: 200, unbillableTokens: 300 });
  t.is(frozen.ledger.counts.unbillableTokens, 300);
});

test('amounts that are no whole tokens, or absurd, are refused and nothing is written', async (t) => {
  const { clock, instance } = start();
  const { store, ledger } = instance('i1');
  for (const tokens of [-1, 0, 1.5, NaN, Infinity, 2 ** 60]) {
    const topUp = topUpBudget(store, clock, budget, 't1', tokens);
    t.like(await t.throwsAsync(clock.runUntil(topUp)), { kind: 'badRequest' });
  }
  for (const tokens of [-1, 0, 1.5, NaN]) {
    const reserving = clock.runUntil(ledger.reserve(budget, tokens));
    t.like(await t.throwsAsync(reserving), { kind: 'badRequest', ran: 'notRun' });
  }
  t.is((await store.list('ledger/')).length, 0);
});
