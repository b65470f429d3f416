import test from 'ava';
import { ManualClock, type AccountId, type BudgetId, type GrantId } from '@acaciacrank/base';
import { HeldGrants } from './index.js';

const budget = { accountId: 'a' as AccountId, budgetId: 'b' as BudgetId, openingTokens: 0 };

function hold(...sizes: number[]) {
  const clock = new ManualClock();
  const held = new HeldGrants(clock, 'i1.1');
  sizes.forEach((tokens, index) => {
    const grantId = `g${index + 1}` as GrantId;
    const spendableUntilMs = 10_000 * (index + 1);
    held.add({ grantId, budget, tokens, spendableUntilMs, isTransferred: false });
  });
  return { clock, held };
}

test('a reservation takes tokens from several grants, in order of expiry', (t) => {
  const { held } = hold(30, 50);
  t.deepEqual(held.reserve(budget, 40), [
    { grantId: 'g1', tokens: 30 },
    { grantId: 'g2', tokens: 10 },
  ]);
  t.is(held.reserve(budget, 41), undefined);
  t.is(held.availableTokens(budget), 40);
});

// A process is paused past the expiry of its grant and resumes with a reservation. Its tokens may have been
// granted to another instance, so it must detect the expiry by the monotonic clock.
test('a reservation expires with its grant', async (t) => {
  const { clock, held } = hold(30);
  const parts = held.reserve(budget, 30) ?? [];
  t.true(held.areSpendable(budget, parts));
  await clock.advance(10_000);
  t.false(held.areSpendable(budget, parts));
  t.is(held.availableTokens(budget), 0);
});

// An instance transfers tokens of its grant to a peer and becomes idle. Closing the whole grant would return
// the peer's part to the budget while the peer spends it.
test('a grant that is partly held by a peer is not closed; only the own part is returned', (t) => {
  const { held } = hold(30);
  t.deepEqual(held.handOver(budget, 20), [{ grantId: 'g1', tokens: 20, remainingMs: 10_000 }]);
  const returns = held.takeIdle(budget);
  t.like(returns, { length: 1, 0: { kind: 'return', tokens: 10, returnNumber: 1 } });
  t.is(held.availableTokens(budget), 0);
  t.deepEqual(held.renewals(budget, Infinity, 1), []);
});

test('an idle grant is closed; of a grant in use only the idle tokens are returned', (t) => {
  const { held } = hold(30, 50);
  const parts = held.reserve(budget, 35) ?? [];
  t.like(held.takeIdle(budget), { length: 1, 0: { kind: 'return', grantId: 'g2', tokens: 45 } });
  held.release(budget, parts);
  t.deepEqual(
    held.takeIdle(budget).map((operation) => operation.kind),
    ['close', 'close'],
  );
  t.is(held.size, 0);
});
