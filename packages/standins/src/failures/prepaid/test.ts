import test from 'ava';
import {
  createRandom,
  ManualClock,
  type AccountId,
  type InstanceId,
  type Random,
} from '@acaciacrank/base';
import {
  grantedTotal,
  parsePrepaidPage,
  PrepaidAccounts,
  prepaidPageKey,
  type Lifetime,
} from '@acaciacrank/ledger';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';
import { LocalLoanNetwork } from '../../LocalLoanNetwork/index.js';
import { UnreliableStore } from '../../_lib/UnreliableStore/index.js';

const accountId = 'one' as AccountId;
const pageKey = prepaidPageKey(accountId);

interface Holder {
  readonly ledger: PrepaidAccounts;
  /** What the instance is cut off from. */
  readonly cut: { isAway: boolean; isUnnoticed: boolean };
  readonly run: Promise<void>;
  readonly lifetime: Lifetime;
  spentTokens: number;
}

interface World {
  readonly clock: ManualClock;
  readonly platform: MemoryPlatform;
  readonly random: Random;
  readonly network: LocalLoanNetwork;
  /** Instances that no other one reaches. */
  readonly alone: Set<string>;
  /** All holders that ever were. */
  readonly holders: Holder[];
  prepaidTokens: number;
  spentTokens: number;
}

function createWorld(seed: number, prepaidTokens: number, lostMessages = 0): World {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const random = createRandom(seed);
  const alone = new Set<string>();
  const network = new LocalLoanNetwork({
    clock,
    random,
    lostShare: lostMessages,
    isConnected: (id) => !alone.has(id),
  });
  return { clock, platform, random, network, alone, holders: [], prepaidTokens, spentTokens: 0 };
}

let runs = 0;

function startHolder(
  world: World,
  instance: number,
  faults: { lost: number; late: number },
): Holder {
  const { clock, platform, random } = world;
  const cut = { isAway: false, isUnnoticed: false };
  runs += 1;
  const lifetime: Lifetime = { instanceId: `i${instance}` as InstanceId, runId: `run${runs}` };
  const store = new UnreliableStore(new MemoryObjectStore(platform, clock), {
    clock,
    random,
    lostShare: faults.lost,
    lateShare: faults.late,
    isAway: () => cut.isAway,
  });
  const ledger = new PrepaidAccounts({
    lifetime,
    store,
    clock,
    peers: world.network.peersOf(lifetime.instanceId),
    onEvent: () => undefined,
    random,
    isStoreAway: () => cut.isAway && !cut.isUnnoticed,
  });
  ledger.setLimits(new Map([[accountId, world.prepaidTokens]]), 1);
  const holder = { ledger, cut, run: ledger.run(), lifetime, spentTokens: 0 };
  world.holders.push(holder);
  return holder;
}

/** Spends like one request: its most is set aside, then less or all of it is used. */
async function spend(world: World, holder: Holder, tokens: number): Promise<boolean> {
  const { ledger } = holder;
  const outcome = await world.clock.runUntil(ledger.reserve(accountId, tokens));
  if (outcome !== 'reserved') return false;
  const used = Math.ceil(tokens * (0.5 + world.random() / 2));
  world.spentTokens += used;
  holder.spentTokens += used;
  ledger.settle({ accountId, tokens }, used);
  return true;
}

function toggle(set: Set<string>, name: string): void {
  if (!set.delete(name)) set.add(name);
}

/** All that a holder has spent, and what it would spend without asking the store. */
function mayStillSpend({ ledger, spentTokens }: Holder): number {
  return spentTokens + Math.max(0, ledger.stockTokens(accountId));
}

function grantedInStore({ platform }: World): number {
  const page = parsePrepaidPage(platform.read(pageKey)?.value);
  return page === undefined ? 0 : grantedTotal(page);
}

// Instances are killed and started again, cut off from the store or from each other and back; the
// answers of their writes are lost, or the writes come into effect seconds later; what they ask and
// lend each other gets lost. An instance that believed a write that was never read back, that drew on
// tokens it had given back or lent, or that took a loan twice, would let the client account spend
// more than it prepaid.
for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`an account never spends more than it prepaid, whatever fails (seed ${seed})`, async (t) => {
    const world = createWorld(seed, 2_000_000, 0.1);
    const faults = { lost: 0.15, late: 0.15 };
    const holders = [0, 1, 2, 3].map((instance) => startHolder(world, instance, faults));
    for (let step = 0; step < 1_500; step += 1) {
      await world.clock.advance(20);
      const index = Math.floor(world.random() * holders.length);
      const holder = holders[index];
      if (holder === undefined) continue;
      const luck = world.random();
      if (luck < 0.01) {
        holder.ledger[Symbol.dispose]();
        holders[index] = startHolder(world, index, faults);
      } else if (luck < 0.03) holder.cut.isAway = !holder.cut.isAway;
      else if (luck < 0.05) toggle(world.alone, holder.lifetime.instanceId);
      else await spend(world, holder, Math.ceil(200 + world.random() ** 4 * 20_000));
      t.true(world.spentTokens <= world.prepaidTokens);
      const most = world.holders.reduce((sum, held) => sum + mayStillSpend(held), 0);
      t.true(most <= grantedInStore(world), 'nobody may spend what the store does not grant');
    }
    const page = parsePrepaidPage(world.platform.read(pageKey)?.value);
    t.true(page !== undefined && grantedTotal(page) <= world.prepaidTokens);
    t.true(world.spentTokens > world.prepaidTokens / 4, 'most of the tokens could be used');
  });
}

// The operator lowers an account's limit below what its instances hold. Each of them has stock that
// was granted under the old limit; drawing on it would take the account past the new one.
test('a lowered limit stops stock that was granted under the higher one', async (t) => {
  const world = createWorld(9, 1_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(world, i, { lost: 0, late: 0 }));
  await world.clock.advance(3_000);
  for (const holder of holders) await spend(world, holder, 10_000);
  world.prepaidTokens = 60_000;
  for (const { ledger } of holders) ledger.setLimits(new Map([[accountId, 60_000]]), 2);
  await world.clock.advance(3_000);
  for (let round = 0; round < 40; round += 1) {
    for (const holder of holders) await spend(world, holder, 1_000);
    await world.clock.advance(100);
  }
  t.true(world.spentTokens <= 60_000);
  t.true(world.spentTokens > 40_000, 'what is left under the new limit can be used');
});

// The store goes away for 8 s in the middle of steady use. An instance that holds no stock would
// refuse everything until it is back.
test('stock carries an account through an outage of eight seconds', async (t) => {
  const world = createWorld(10, 10_000_000);
  const holder = startHolder(world, 0, { lost: 0, late: 0 });
  for (let step = 0; step < 100; step += 1) {
    await world.clock.advance(100);
    await spend(world, holder, 2_000);
  }
  holder.cut.isAway = true;
  let refused = 0;
  for (let step = 0; step < 80; step += 1) {
    await world.clock.advance(100);
    if (!(await spend(world, holder, 2_000))) refused += 1;
  }
  t.is(refused, 0);
});

// An instance is stopped by plan while it holds stock. What it does not give back is lost to the
// account, which is then refused although it has paid.
test('a planned stop gives idle stock back', async (t) => {
  const world = createWorld(11, 1_000_000);
  const holder = startHolder(world, 0, { lost: 0, late: 0 });
  await world.clock.advance(3_000);
  t.true(await spend(world, holder, 1_000));
  await world.clock.runUntil(holder.ledger.close());
  const page = parsePrepaidPage(world.platform.read(pageKey)?.value);
  t.is(page && grantedTotal(page), world.spentTokens);
});

// Tokens of the last page are gone and an instance asks for more with each request. Each request
// used to cost calls to the store; what was read to be dry is believed for a while.
test('a dry account is refused without asking the store each time', async (t) => {
  const world = createWorld(12, 10_000);
  const holder = startHolder(world, 0, { lost: 0, late: 0 });
  await world.clock.advance(1_500);
  const before = world.platform.calls.reads + world.platform.calls.writes;
  for (let request = 0; request < 100; request += 1) {
    t.false(await spend(world, holder, 50_000));
  }
  const after = world.platform.calls.reads + world.platform.calls.writes;
  t.true(after - before < 10);
});

// The page of an account cannot be read, for example after another program wrote to it. Taken for an
// empty page, all prepaid tokens would be granted a second time.
test('a page that does not parse grants nothing', async (t) => {
  const world = createWorld(13, 1_000_000);
  world.platform.write(pageKey, { endedTokens: 'many' }, { kind: 'absent' });
  const holder = startHolder(world, 0, { lost: 0, late: 0 });
  await world.clock.advance(3_000);
  t.false(await spend(world, holder, 1_000));
});

// All callers of an account have met at one instance. What lies idle at the others is lost to the
// account when their processes die, so only the one that gathers its stock may hold more than a
// little, and that within the bound for all idle stock together.
test("instances that an account's callers do not use hold none of its tokens but the gathered stock", async (t) => {
  const world = createWorld(15, 5_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(world, i, { lost: 0, late: 0 }));
  const [used, ...others] = holders;
  if (used === undefined) return;
  for (let step = 0; step < 400; step += 1) {
    await world.clock.advance(100);
    await spend(world, used, 4_000);
  }
  const home = world.network.homeOf(accountId, used.lifetime.instanceId);
  for (const { ledger, lifetime } of others) {
    const limit = lifetime.instanceId === home ? 0.25 : 0.01;
    t.true(ledger.stockTokens(accountId) < limit * 5_000_000);
  }
  const idle = holders.reduce((sum, { ledger }) => sum + ledger.stockTokens(accountId), 0);
  t.true(idle < 0.25 * 5_000_000);
});

// The store cannot be reached by any instance for 8 s, but they reach each other. One of them gets
// most of the requests in that time. With a stock of its own it would run dry while the others sit on
// theirs; the stock that is gathered for all carries it through.
test('one stock for all carries the busiest instance through an outage', async (t) => {
  const world = createWorld(16, 10_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(world, i, { lost: 0, late: 0 }));
  for (let step = 0; step < 100; step += 1) {
    await world.clock.advance(100);
    const holder = holders[step % 4];
    if (holder !== undefined) await spend(world, holder, 2_000);
  }
  for (const { cut } of holders) cut.isAway = true;
  let refused = 0;
  for (let step = 0; step < 80; step += 1) {
    await world.clock.advance(100);
    const holder = holders[step % 8 === 0 ? 1 : 2];
    if (holder !== undefined && !(await spend(world, holder, 2_000))) refused += 1;
  }
  t.is(refused, 0);
});

// The instance at which an account's stock is gathered cannot be reached by one other, which reaches
// the store. Its callers would be refused until the links are back.
test('an instance that is cut off from the others goes to the store itself', async (t) => {
  const world = createWorld(17, 10_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(world, i, { lost: 0, late: 0 }));
  await world.clock.advance(3_000);
  for (const holder of holders) {
    const { instanceId } = holder.lifetime;
    world.alone.add(instanceId);
    for (let request = 0; request < 5; request += 1) t.true(await spend(world, holder, 20_000));
    world.alone.delete(instanceId);
  }
});

// A steady load comes to 27 instances alike. Each of them used to write the account's page every few
// seconds; only the instance that gathers the stock should.
test('calls to the store do not grow with the instances that share an account', async (t) => {
  const callsOf = async (count: number) => {
    const world = createWorld(18, 30_000_000);
    const ids = Array.from({ length: count }, (_, index) => index);
    const holders = ids.map((i) => startHolder(world, i, { lost: 0, late: 0 }));
    await world.clock.advance(4_000);
    const before = world.platform.calls.reads + world.platform.calls.writes;
    for (let step = 0; step < 600; step += 1) {
      await world.clock.advance(50);
      const holder = holders[step % count];
      if (holder !== undefined) await spend(world, holder, 2_000);
    }
    return world.platform.calls.reads + world.platform.calls.writes - before;
  };
  const few = await callsOf(4);
  const many = await callsOf(27);
  t.true(many <= 1.5 * few, `${many} calls by 27 instances, ${few} by 4`);
});

// The store turns away the one instance at which an account's stock is gathered, for longer than that
// lasts. Its callers were refused, though every other instance could still be granted tokens.
test('an instance that the store turns away lives on what the others are granted', async (t) => {
  const world = createWorld(19, 10_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(world, i, { lost: 0, late: 0 }));
  await world.clock.advance(3_000);
  const home = world.network.homeOf(accountId, 'i0' as InstanceId);
  const turnedAway = holders.find(({ lifetime }) => lifetime.instanceId === home);
  if (turnedAway === undefined) return;
  turnedAway.cut.isAway = true;
  let refused = 0;
  for (let step = 0; step < 200; step += 1) {
    await world.clock.advance(50);
    if (!(await spend(world, turnedAway, 25_000))) refused += 1;
  }
  t.is(refused, 0);
});

/** Ends all holders without a word, as a loss of power does, and starts their machines again. */
function loseAll(world: World, holders: readonly Holder[]): Holder[] {
  for (const { ledger } of holders) ledger[Symbol.dispose]();
  return holders.map((_, instance) => startHolder(world, instance, { lost: 0, late: 0 }));
}

/** Asks in turn at all holders until the account has spent so much, or is refused too often. */
async function spendUntil(world: World, holders: readonly Holder[], tokens: number): Promise<void> {
  let refusedInRow = 0;
  for (let step = 0; world.spentTokens < tokens && refusedInRow < 60; step += 1) {
    await world.clock.advance(50);
    const holder = holders[step % holders.length];
    if (holder === undefined) return;
    refusedInRow = (await spend(world, holder, 2_000)) ? 0 : refusedInRow + 1;
  }
}

// An account has used seven tenths of what it prepaid when all instances lose power. What they held
// counts as spent, and the account is refused from then on, though it has paid. The less is left,
// the less may lie idle anywhere.
test('little of a nearly used up account is lost with all instances', async (t) => {
  const world = createWorld(21, 3_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(world, i, { lost: 0, late: 0 }));
  await world.clock.advance(3_000);
  await spendUntil(world, holders, 0.7 * world.prepaidTokens);
  t.true(world.spentTokens >= 0.7 * world.prepaidTokens);
  await spendUntil(world, loseAll(world, holders), world.prepaidTokens);
  t.true(world.spentTokens > 0.92 * world.prepaidTokens, String(world.spentTokens));
});

// All instances lose power late in a day, and each asks the store before it knows the others. What one of
// them took is denied to the rest; they were refused, though a live instance had the tokens idle.
test('what live instances hold together serves a request at any of them', async (t) => {
  const world = createWorld(22, 1_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(world, i, { lost: 0, late: 0 }));
  // Before they know each other, the first takes all that is left for a request that uses little.
  for (const { lifetime } of holders) world.alone.add(lifetime.instanceId);
  const [first] = holders;
  if (first === undefined) return;
  const { ledger } = first;
  const reserving = ledger.reserve(accountId, 1_000_000);
  t.is(await world.clock.runUntil(reserving), 'reserved');
  ledger.settle({ accountId, tokens: 1_000_000 }, 1_000);
  world.alone.clear();
  for (const holder of holders) t.true(await spend(world, holder, 100_000));
});

// An account is used up when the store goes away. Its callers were told that the store could not be asked,
// so they came back again and again, to be refused for the same reason each time.
test('a used up account is told so also while the store is away', async (t) => {
  const world = createWorld(23, 400_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(world, i, { lost: 0, late: 0 }));
  await world.clock.advance(3_000);
  await spendUntil(world, holders, world.prepaidTokens);
  await world.clock.advance(10_000);
  for (const { cut } of holders) cut.isAway = true;
  for (const { ledger } of holders) {
    t.is(await world.clock.runUntil(ledger.reserve(accountId, 50_000)), 'exhausted');
  }
});

// Most of an account is used when the store goes away, and the instances forget what its page said when a
// call fails. What they had told before must not count twice: the account would pass for used up.
test('an account that still has tokens does not pass for used up while the store is away', async (t) => {
  const world = createWorld(24, 1_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(world, i, { lost: 0, late: 0 }));
  await world.clock.advance(3_000);
  await spendUntil(world, holders, 0.6 * world.prepaidTokens);
  for (const { cut } of holders) {
    cut.isAway = true;
    cut.isUnnoticed = true;
  }
  for (let step = 0; step < 40; step += 1) {
    await world.clock.advance(100);
    const holder = holders[step % 4];
    if (holder === undefined) return;
    // The first calls fail before the store is known to be away.
    if (step >= 8) holder.cut.isUnnoticed = false;
    const outcome = await world.clock.runUntil(holder.ledger.reserve(accountId, 250_000));
    t.not(outcome, 'exhausted');
    if (outcome === 'reserved') holder.ledger.settle({ accountId, tokens: 250_000 }, 0);
  }
});

// Right after an outage an account has no stock, and twenty requests come at the same moment. Each of them
// used to write the page for itself, one after the other, and the last waited for twenty calls.
test('requests that wait for the store at the same time are served by few calls', async (t) => {
  const world = createWorld(25, 10_000_000);
  const holder = startHolder(world, 0, { lost: 0, late: 0 });
  const before = world.platform.calls.reads + world.platform.calls.writes;
  const asked = Array.from({ length: 20 }, () => holder.ledger.reserve(accountId, 300_000));
  const outcomes = await world.clock.runUntil(Promise.all(asked));
  t.true(outcomes.every((outcome) => outcome === 'reserved'));
  const calls = world.platform.calls.reads + world.platform.calls.writes - before;
  t.true(calls <= 6, String(calls));
});
