import test from 'ava';
import {
  accountId,
  createSimulation,
  restartAll,
  spend,
  spendUntil,
  startHolder,
} from '../../_lib/prepaidSimulation/index.js';

// Guards against an account that is refused although it has paid. It has used seven tenths of its
// prepaid tokens when all instances lose power, and the tokens that they held count as spent. The
// fewer tokens are left, the fewer may be held unused.
test('a power loss of all instances loses few tokens of a nearly exhausted account', async (t) => {
  const simulation = createSimulation(21, 3_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(simulation, i, { lost: 0, late: 0 }));
  await simulation.clock.advance(3_000);
  await spendUntil(simulation, holders, 0.7 * simulation.prepaidTokens);
  t.true(simulation.spentTokens >= 0.7 * simulation.prepaidTokens);
  await spendUntil(simulation, restartAll(simulation, holders), simulation.prepaidTokens);
  t.true(simulation.spentTokens > 0.92 * simulation.prepaidTokens, String(simulation.spentTokens));
});

// Guards against a refusal while another live instance holds unused tokens. After a power loss of all
// instances, each calls the store before it knows the others, and one of them takes all that is left.
test('tokens held by any live instance can serve a request at every other one', async (t) => {
  const simulation = createSimulation(22, 1_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(simulation, i, { lost: 0, late: 0 }));
  // Before they know each other, the first one reserves all that is left for a request that uses little.
  for (const { processRun } of holders) simulation.isolated.add(processRun.instanceId);
  const [first] = holders;
  if (first === undefined) return;
  const { ledger } = first;
  const reserving = ledger.reserve(accountId, 1_000_000);
  t.is(await simulation.clock.runUntil(reserving), 'reserved');
  ledger.settle({ accountId, tokens: 1_000_000 }, 1_000);
  simulation.isolated.clear();
  for (const holder of holders) t.true(await spend(simulation, holder, 100_000));
});

// Guards against the wrong reason for a refusal. An account is exhausted when the store becomes
// unavailable; its callers were answered that the store was unavailable, and retried in vain.
test('an exhausted account is reported as exhausted while the store is unavailable, too', async (t) => {
  const simulation = createSimulation(23, 400_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(simulation, i, { lost: 0, late: 0 }));
  await simulation.clock.advance(3_000);
  await spendUntil(simulation, holders, simulation.prepaidTokens);
  await simulation.clock.advance(10_000);
  for (const { cut } of holders) cut.isUnavailable = true;
  for (const { ledger } of holders) {
    t.is(await simulation.clock.runUntil(ledger.reserve(accountId, 50_000)), 'exhausted');
  }
});

// Guards against counting spent tokens twice, so that an account seems exhausted. Most of it is used
// when the store becomes unavailable, and a failed call makes the instances discard the page that
// already includes the tokens that they had reported as spent.
test('an account with tokens left is not reported as exhausted while the store is unavailable', async (t) => {
  const simulation = createSimulation(24, 1_000_000);
  const holders = [0, 1, 2, 3].map((i) => startHolder(simulation, i, { lost: 0, late: 0 }));
  await simulation.clock.advance(3_000);
  await spendUntil(simulation, holders, 0.6 * simulation.prepaidTokens);
  for (const { cut } of holders) {
    cut.isUnavailable = true;
    cut.isUndetected = true;
  }
  for (let step = 0; step < 40; step += 1) {
    await simulation.clock.advance(100);
    const holder = holders[step % 4];
    if (holder === undefined) return;
    // The first calls fail before the outage of the store is detected.
    if (step >= 8) holder.cut.isUndetected = false;
    const outcome = await simulation.clock.runUntil(holder.ledger.reserve(accountId, 250_000));
    t.not(outcome, 'exhausted');
    if (outcome === 'reserved') holder.ledger.settle({ accountId, tokens: 250_000 }, 0);
  }
});

// Guards against requests that each write the page in turn. After an outage an account has no stock,
// and twenty requests arrive at the same time; the last one had to wait for twenty calls to the store.
test('requests that wait for the store at the same time share few calls', async (t) => {
  const simulation = createSimulation(25, 10_000_000);
  const holder = startHolder(simulation, 0, { lost: 0, late: 0 });
  const before = simulation.platform.calls.reads + simulation.platform.calls.writes;
  const reservations = Array.from({ length: 20 }, () => holder.ledger.reserve(accountId, 300_000));
  const outcomes = await simulation.clock.runUntil(Promise.all(reservations));
  t.true(outcomes.every((outcome) => outcome === 'reserved'));
  const calls = simulation.platform.calls.reads + simulation.platform.calls.writes - before;
  t.true(calls <= 6, String(calls));
});
