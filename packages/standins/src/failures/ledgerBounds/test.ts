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

function setUp(options: Partial<BudgetLedgerOptions> = {}) {
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

// Guards against a process that runs out of memory and loses all its bills. The store is down for
// minutes while streams end, and their bills wait. New requests are refused as not run, and the bills
// are written once when the store is available again.
test('bills are kept in bounded memory during a long outage and are written once', async (t) => {
  const { clock, instance } = setUp({ maxOpenRequestsPerPage: 2, policy: new FixedGrantPolicy() });
  const { store, ledger } = instance('i1');
  const held = [
    await clock.runUntil(ledger.reserve(budget, 100)),
    await clock.runUntil(ledger.reserve(budget, 100)),
  ];
  store.link.isDown = true;
  const bills = held.map((reservation, index) =>
    ledger.settle(reservation, request(`k${index}`, 60)),
  );
  await clock.advance(240_000);
  const refused = await t.throwsAsync(clock.runUntil(ledger.reserve(budget, 1)));
  t.like(refused, { kind: 'overloaded', ran: 'notRun' });
  store.link.isDown = false;
  store.link.responsesToLose = 1;
  const written = await clock.runUntil(Promise.all(bills));
  t.deepEqual(
    written.map(({ tokens }) => tokens),
    [60, 60],
  );
  t.like(await readBudget(store, budget), { settledTokens: 120, bills: 2 });
  await t.notThrowsAsync(clock.runUntil(ledger.reserve(budget, 1)));
});

// Guards against a retry that is billed again because its request key was dropped early. A page that
// is full of protected request keys accepts no new requests until old keys have expired.
test('a page full of protected request keys refuses requests until they expire', async (t) => {
  const { clock, instance } = setUp({ maxKeysPerPage: 2, keyProtectionMs: 60_000 });
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

// Guards against overspending a shared grant. Two instances lose the store but not the link between
// them. The one without tokens receives a part of the other's grant, and bills it later without using
// tokens that the other one spends.
test('instances that lost the store share a grant, and both bills fit into it', async (t) => {
  const { clock, instance } = setUp({ policy: new FixedGrantPolicy(1_000) });
  const [first, second] = [instance('i1'), instance('i2')];
  const ownReservation = await clock.runUntil(first.ledger.reserve(budget, 300));
  first.store.link.isDown = true;
  second.store.link.isDown = true;
  const sharedReservation = await clock.runUntil(second.ledger.reserve(budget, 600));
  const refused = await t.throwsAsync(clock.runUntil(second.ledger.reserve(budget, 200)));
  t.like(refused, { kind: 'storeUnavailable', ran: 'notRun' });
  first.store.link.isDown = false;
  second.store.link.isDown = false;
  const bills = [
    first.ledger.settle(ownReservation, request('k1', 300)),
    second.ledger.settle(sharedReservation, request('k2', 600)),
  ];
  const written = await clock.runUntil(Promise.all(bills));
  t.deepEqual(
    written.map(({ unbillableTokens }) => unbillableTokens),
    [0, 0],
  );
  t.is((await readBudget(first.store, budget)).settledTokens, 900);
});

// Guards against charging beyond the budget. An instance is suspended for half an hour during a request;
// its grant expires, and others use up the budget. The bill is charged what is left; the rest is
// counted but not charged.
test('a bill after a long pause is charged only what is left of the budget', async (t) => {
  const { clock, instance } = setUp({ policy: new FixedGrantPolicy(100_000) });
  const [suspended, other] = [instance('i1'), instance('i2')];
  const lateReservation = await clock.runUntil(suspended.ledger.reserve(budget, 500));
  suspended.ledger[Symbol.dispose]();
  await clock.advance(1_800_000);
  t.false(suspended.ledger.isSpendable(lateReservation));
  const held = await clock.runUntil(other.ledger.reserve(budget, 99_800));
  await clock.runUntil(other.ledger.settle(held, request('k2', 99_800)));
  await clock.runUntil(other.ledger.closeAll());
  const bill = await clock.runUntil(suspended.ledger.settle(lateReservation, request('k1', 500)));
  t.like(bill, { tokens: 200, unbillableTokens: 300 });
  t.is(suspended.ledger.counts.unbillableTokens, 300);
});

test('amounts that are not positive whole numbers, or too large, are refused and nothing is written', async (t) => {
  const { clock, instance } = setUp();
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
