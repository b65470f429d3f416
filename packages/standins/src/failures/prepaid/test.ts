import test from 'ava';
import type { InstanceId } from '@acaciacrank/base';
import { grantedTotal, parsePrepaidPage } from '@acaciacrank/ledger';
import {
  accountId,
  createWorld,
  pageKey,
  spend,
  startHolder,
  type Holder,
  type World,
} from '../../_lib/prepaidWorld/index.js';

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
      else if (luck < 0.05) toggle(world.alone, holder.processRun.instanceId);
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
  const home = world.network.homeOf(accountId, used.processRun.instanceId);
  for (const { ledger, processRun: lifetime } of others) {
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
    const { instanceId } = holder.processRun;
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
  const turnedAway = holders.find(({ processRun: lifetime }) => lifetime.instanceId === home);
  if (turnedAway === undefined) return;
  turnedAway.cut.isAway = true;
  let refused = 0;
  for (let step = 0; step < 200; step += 1) {
    await world.clock.advance(50);
    if (!(await spend(world, turnedAway, 25_000))) refused += 1;
  }
  t.is(refused, 0);
});
