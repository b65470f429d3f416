import test from 'ava';
import {
  accountId,
  createWorld,
  loseAll,
  spend,
  spendUntil,
  startHolder,
} from '../../_lib/prepaidWorld/index.js';

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
  for (const { processRun: lifetime } of holders) world.alone.add(lifetime.instanceId);
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
