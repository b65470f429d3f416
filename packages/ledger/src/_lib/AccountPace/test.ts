import test from 'ava';
import { AccountPace } from './index.js';

const start = { seenBoundTokens: 0, openingTokensPerMs: 4 };

test('an account that nobody used has no pace', (t) => {
  const pace = new AccountPace(0);
  pace.measure({ ...start, nowMs: 1_000, usedTokens: 0 });
  t.is(pace.tokensPerMs, undefined);
});

test('the pace follows what is asked for from the opening one', (t) => {
  const pace = new AccountPace(0);
  for (let second = 1; second <= 30; second += 1) {
    pace.measure({ ...start, nowMs: 1_000 * second, usedTokens: 2_000 * second });
  }
  t.true(Math.abs((pace.tokensPerMs ?? 0) - 2) < 0.01);
});

// All callers of an account have met at other instances. The pace here falls slowly, since they may
// come any moment.
test('the pace falls more slowly where only others see the callers', (t) => {
  const used = new AccountPace(0);
  const unused = new AccountPace(0);
  for (let second = 1; second <= 4; second += 1) {
    used.measure({ ...start, nowMs: 1_000 * second, usedTokens: 1 });
    unused.measure({ ...start, nowMs: 1_000 * second, usedTokens: 0, seenBoundTokens: 1 });
  }
  t.true((unused.tokensPerMs ?? 0) > 2 * (used.tokensPerMs ?? 0));
});

// An instance starts in the middle of a day. What all instances spent before it came is told to it at
// once; taken for the use of one second, it would ask for stock as for a hundred times the load.
test('what was used before the first look is no pace', (t) => {
  const pace = new AccountPace(0);
  pace.measure({ ...start, nowMs: 1_000, usedTokens: 0, seenBoundTokens: 2_000_000 });
  t.is(pace.fleetTokensPerMs, 0);
});

// After a cut all instances fill up at the one that gathers the stock, and give it back a second later.
// Nothing was used; taken for use, it doubles the stock that a death takes.
test('what is lent and comes back is no pace', (t) => {
  const pace = new AccountPace(0);
  let usedTokens = 0;
  for (let second = 1; second <= 30; second += 1) {
    usedTokens += 2_000 + (second % 2 === 0 ? 20_000 : -20_000);
    pace.measure({ ...start, nowMs: 1_000 * second, usedTokens });
  }
  t.true((pace.tokensPerMs ?? 0) < 6);
});
