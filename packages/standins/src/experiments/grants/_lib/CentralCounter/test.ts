import test from 'ava';
import type { AccountId, BudgetId } from '@acaciacrank/base';
import { CentralCounter } from './index.js';

const budget = {
  accountId: 'a' as AccountId,
  budgetId: 'b' as BudgetId,
  openingTokens: 100,
};

test('a counter that is not split refuses only what exceeds the available tokens', (t) => {
  const counter = new CentralCounter([budget]);
  t.true(counter.reserve('b', 0, 60));
  t.false(counter.reserve('b', 1, 41));
  counter.giveBack('b', 0, 10);
  t.true(counter.reserve('b', 1, 41));
});

// The partition begins after both sides have requested the same number of tokens; the top-up
// reaches only the side that is connected to the store.
test('a split counter uses only the tokens that its side knows of', (t) => {
  const counter = new CentralCounter([budget]);
  t.true(counter.reserve('b', 0, 10));
  t.true(counter.reserve('b', 1, 10));
  counter.split();
  counter.topUp('b', 50);
  t.false(counter.reserve('b', 1, 41));
  t.true(counter.reserve('b', 1, 40));
  t.true(counter.reserve('b', 0, 90));
  counter.heal();
  t.false(counter.reserve('b', 1, 1));
});
