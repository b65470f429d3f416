import test from 'ava';
import type { InstanceId } from '@acaciacrank/base';
import { grantedTotal, parsePrepaidPage } from '@acaciacrank/ledger';
import {
  accountId,
  createSimulation,
  pageKey,
  spend,
  startHolder,
  type Holder,
  type PrepaidSimulation,
} from '../../_lib/prepaidSimulation/index.js';

function toggle(set: Set<string>, name: string): void {
  if (!set.delete(name)) set.add(name);
}

/** What a holder has spent, plus its stock: what it may spend without a call to the store or a peer. */
function maxTotalSpend({ ledger, spentTokens }: Holder): number {
  return spentTokens + Math.max(0, ledger.stockTokens(accountId));
}

function grantedTokensInStore({ platform }: PrepaidSimulation): number {
  const page = parsePrepaidPage(platform.read(pageKey)?.value);
  return page === undefined ? 0 : grantedTotal(page);
}

// Guards against a client account that spends more than it prepaid: through an instance that trusts a
// write without reading it back, that spends tokens it has returned or lent, or that takes a loan twice.
// Instances crash and restart, and lose and regain the store and their links; responses of writes are
// lost, writes are applied seconds late, and messages between instances are lost.
for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`an account never spends more than it prepaid under any faults (seed ${seed})`, async (t) => {
    const simulation = createSimulation(seed, 2_000_000, 0.1);
    const faults = { lost: 0.15, late: 0.15 };
    const holders = [0, 1, 2, 3].map((instance) => startHolder(simulation, instance, faults));
    for (let step = 0; step < 1_500; step += 1) {
      await simulation.clock.advance(20);
      const index = Math.floor(simulation.random() * holders.length);
      const holder = holders[index];
      if (holder === undefined) continue;
      const draw = simulation.random();
      if (draw < 0.01) {
        holder.ledger[Symbol.dispose]();
        holders[index] = startHolder(simulation, index, faults);
      } else if (draw < 0.03) holder.cut.isUnavailable = !holder.cut.isUnavailable;
      else if (draw < 0.05) toggle(simulation.isolated, holder.processRun.instanceId);
      else await spend(simulation, holder, Math.ceil(200 + simulation.random() ** 4 * 20_000));
      t.true(simulation.spentTokens <= simulation.prepaidTokens);
      const maxSpendTokens = simulation.holders.reduce((sum, held) => sum + maxTotalSpend(held), 0);
      t.true(
        maxSpendTokens <= grantedTokensInStore(simulation),
        'instances may spend only what the store has granted',
      );
    }
    const page = parsePrepaidPage(simulation.platform.read(pageKey)?.value);
    t.true(page !== undefined && grantedTotal(page) <= simulation.prepaidTokens);
    t.true(
      simulation.spentTokens > simulation.prepaidTokens / 4,
      'more than a quarter of the tokens could be spent',
    );
  });
}

// Guards against exceeding a lowered limit. The operator lowers the limit of an account below the stock
// that its instances were granted under the previous limit.
test('a lowered limit applies to stock granted under the previous limit', async (t) => {
  const simulation = createSimulation(9, 1_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(simulation, i, { lost: 0, late: 0 }));
  await simulation.clock.advance(3_000);
  for (const holder of holders) await spend(simulation, holder, 10_000);
  simulation.prepaidTokens = 60_000;
  for (const { ledger } of holders) ledger.setLimits(new Map([[accountId, 60_000]]), 2);
  await simulation.clock.advance(3_000);
  for (let round = 0; round < 40; round += 1) {
    for (const holder of holders) await spend(simulation, holder, 1_000);
    await simulation.clock.advance(100);
  }
  t.true(simulation.spentTokens <= 60_000);
  t.true(simulation.spentTokens > 40_000, 'tokens left under the new limit can be spent');
});

// Guards against refusals during a short outage: the store is unavailable for 8 s under a steady load,
// and an instance without stock would refuse every request.
test('stock serves an account during a store outage of 8 s', async (t) => {
  const simulation = createSimulation(10, 10_000_000);
  const holder = startHolder(simulation, 0, { lost: 0, late: 0 });
  for (let step = 0; step < 100; step += 1) {
    await simulation.clock.advance(100);
    await spend(simulation, holder, 2_000);
  }
  holder.cut.isUnavailable = true;
  let refused = 0;
  for (let step = 0; step < 80; step += 1) {
    await simulation.clock.advance(100);
    if (!(await spend(simulation, holder, 2_000))) refused += 1;
  }
  t.is(refused, 0);
});

// Guards against an account that is refused although it has paid, because an instance kept its stock
// in a planned stop.
test('a planned stop returns unused stock', async (t) => {
  const simulation = createSimulation(11, 1_000_000);
  const holder = startHolder(simulation, 0, { lost: 0, late: 0 });
  await simulation.clock.advance(3_000);
  t.true(await spend(simulation, holder, 1_000));
  await simulation.clock.runUntil(holder.ledger.close());
  const page = parsePrepaidPage(simulation.platform.read(pageKey)?.value);
  t.is(page && grantedTotal(page), simulation.spentTokens);
});

// Guards against calls to the store for every request of an exhausted account. A page that was read as
// exhausted is trusted for a while.
test('an exhausted account is refused without a call to the store for each request', async (t) => {
  const simulation = createSimulation(12, 10_000);
  const holder = startHolder(simulation, 0, { lost: 0, late: 0 });
  await simulation.clock.advance(1_500);
  const before = simulation.platform.calls.reads + simulation.platform.calls.writes;
  for (let request = 0; request < 100; request += 1) {
    t.false(await spend(simulation, holder, 50_000));
  }
  const after = simulation.platform.calls.reads + simulation.platform.calls.writes;
  t.true(after - before < 10);
});

// Guards against granting all prepaid tokens a second time: the page of an account cannot be parsed, for
// example after another program wrote to it, and must not count as an empty page.
test('a page that cannot be parsed grants nothing', async (t) => {
  const simulation = createSimulation(13, 1_000_000);
  simulation.platform.write(pageKey, { endedTokens: 'many' }, { kind: 'absent' });
  const holder = startHolder(simulation, 0, { lost: 0, late: 0 });
  await simulation.clock.advance(3_000);
  t.false(await spend(simulation, holder, 1_000));
});

// Guards against unused tokens that are lost when a process crashes. All callers of an account use one
// instance. Of the others, only the account's home, which pools its stock, may hold more than a hundredth
// of its tokens, and all unused stock together is bounded.
test("instances that an account's callers do not use hold little but its pooled stock", async (t) => {
  const simulation = createSimulation(15, 5_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(simulation, i, { lost: 0, late: 0 }));
  const [used, ...others] = holders;
  if (used === undefined) return;
  for (let step = 0; step < 400; step += 1) {
    await simulation.clock.advance(100);
    await spend(simulation, used, 4_000);
  }
  const homeInstanceId = simulation.network.homeOf(accountId, used.processRun.instanceId);
  for (const { ledger, processRun } of others) {
    const limit = processRun.instanceId === homeInstanceId ? 0.25 : 0.01;
    t.true(ledger.stockTokens(accountId) < limit * 5_000_000);
  }
  const unusedTokens = holders.reduce((sum, { ledger }) => sum + ledger.stockTokens(accountId), 0);
  t.true(unusedTokens < 0.25 * 5_000_000);
});

// Guards against refusals at the busiest instance while others hold unused tokens. The store is
// unavailable to all instances for 8 s, but their links work, and one of them gets most of the
// requests. It must be able to spend the stock that is pooled for all.
test('pooled stock serves the busiest instance during a store outage', async (t) => {
  const simulation = createSimulation(16, 10_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(simulation, i, { lost: 0, late: 0 }));
  for (let step = 0; step < 100; step += 1) {
    await simulation.clock.advance(100);
    const holder = holders[step % 4];
    if (holder !== undefined) await spend(simulation, holder, 2_000);
  }
  for (const { cut } of holders) cut.isUnavailable = true;
  let refused = 0;
  for (let step = 0; step < 80; step += 1) {
    await simulation.clock.advance(100);
    const holder = holders[step % 8 === 0 ? 1 : 2];
    if (holder !== undefined && !(await spend(simulation, holder, 2_000))) refused += 1;
  }
  t.is(refused, 0);
});

// Guards against refusals at an instance that reaches the store but not the instance that pools the
// account's stock.
test('an instance without links to the others calls the store itself', async (t) => {
  const simulation = createSimulation(17, 10_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(simulation, i, { lost: 0, late: 0 }));
  await simulation.clock.advance(3_000);
  for (const holder of holders) {
    const { instanceId } = holder.processRun;
    simulation.isolated.add(instanceId);
    for (let request = 0; request < 5; request += 1)
      t.true(await spend(simulation, holder, 20_000));
    simulation.isolated.delete(instanceId);
  }
});

// Guards against 27 instances that each write the account's page every few seconds under a steady load:
// only the instance that pools the stock should.
test('calls to the store do not grow with the number of instances that share an account', async (t) => {
  const countStoreCalls = async (count: number) => {
    const simulation = createSimulation(18, 30_000_000);
    const ids = Array.from({ length: count }, (_, index) => index);
    const holders = ids.map((i) => startHolder(simulation, i, { lost: 0, late: 0 }));
    await simulation.clock.advance(4_000);
    const before = simulation.platform.calls.reads + simulation.platform.calls.writes;
    for (let step = 0; step < 600; step += 1) {
      await simulation.clock.advance(50);
      const holder = holders[step % count];
      if (holder !== undefined) await spend(simulation, holder, 2_000);
    }
    return simulation.platform.calls.reads + simulation.platform.calls.writes - before;
  };
  const callsOf4 = await countStoreCalls(4);
  const callsOf27 = await countStoreCalls(27);
  t.true(callsOf27 <= 1.5 * callsOf4, `${callsOf27} calls by 27 instances, ${callsOf4} by 4`);
});

// Guards against refusals while other instances can still be granted tokens: the store is unavailable
// only to the instance that pools the account's stock, for longer than the stock lasts.
test('an instance without the store spends what the others are granted', async (t) => {
  const simulation = createSimulation(19, 10_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(simulation, i, { lost: 0, late: 0 }));
  await simulation.clock.advance(3_000);
  const homeInstanceId = simulation.network.homeOf(accountId, 'i0' as InstanceId);
  const disconnected = holders.find(({ processRun }) => processRun.instanceId === homeInstanceId);
  if (disconnected === undefined) return;
  disconnected.cut.isUnavailable = true;
  let refused = 0;
  for (let step = 0; step < 200; step += 1) {
    await simulation.clock.advance(50);
    if (!(await spend(simulation, disconnected, 25_000))) refused += 1;
  }
  t.is(refused, 0);
});

// Guards against a fleet that scatters an account's tokens when all its instances start at once: each is
// its own home until it knows the others, and what it takes then is missing where it is needed.
test('a large fleet that starts at once leaves most tokens of an account where all can get them', async (t) => {
  const simulation = createSimulation(14, 10_000_000);
  simulation.instanceCount = 78;
  for (let instance = 0; instance < 78; instance += 1) simulation.isolated.add(`i${instance}`);
  const holders = Array.from({ length: 78 }, (_, instance) =>
    startHolder(simulation, instance, { lost: 0, late: 0 }),
  );
  await Promise.all(
    holders.map(({ ledger }) => simulation.clock.runUntil(ledger.reserve(accountId, 5_000))),
  );
  t.true(grantedTokensInStore(simulation) <= 0.4 * simulation.prepaidTokens);
  for (const { stop } of holders) stop();
});
