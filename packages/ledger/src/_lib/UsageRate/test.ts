import test from 'ava';
import { UsageRate } from './index.js';

const start = { seenBoundTokens: 0, initialTokensPerMs: 4 };

test('an unused account has no rate', (t) => {
  const rate = new UsageRate(0);
  rate.measure({ ...start, nowMs: 1_000, usedTokens: 0 });
  t.is(rate.tokensPerMs, undefined);
});

test('the rate converges from the initial rate to the actual one', (t) => {
  const rate = new UsageRate(0);
  for (let second = 1; second <= 30; second += 1) {
    rate.measure({ ...start, nowMs: 1_000 * second, usedTokens: 2_000 * second });
  }
  t.true(Math.abs((rate.tokensPerMs ?? 0) - 2) < 0.01);
});

// All callers of an account use other instances. The rate here must decrease slowly, since the callers may
// switch to this instance at any moment.
test('the rate decreases more slowly if only other instances have callers', (t) => {
  const used = new UsageRate(0);
  const unused = new UsageRate(0);
  for (let second = 1; second <= 4; second += 1) {
    used.measure({ ...start, nowMs: 1_000 * second, usedTokens: 1 });
    unused.measure({ ...start, nowMs: 1_000 * second, usedTokens: 0, seenBoundTokens: 1 });
  }
  t.true((unused.tokensPerMs ?? 0) > 2 * (used.tokensPerMs ?? 0));
});

// An instance starts in the middle of a day and learns the total usage of all instances at once. Counted as
// the usage of one second, it would make the instance request stock for a hundred times the load.
test('usage before the first sample does not count towards the rate', (t) => {
  const rate = new UsageRate(0);
  rate.measure({ ...start, nowMs: 1_000, usedTokens: 0, seenBoundTokens: 2_000_000 });
  t.is(rate.fleetTokensPerMs, 0);
});

// After a network partition all instances borrow stock from the home and return it a second later. Nothing
// was used; counted as usage, it doubles the stock that is lost in a crash.
test('loans that are returned do not count towards the rate', (t) => {
  const rate = new UsageRate(0);
  let usedTokens = 0;
  for (let second = 1; second <= 30; second += 1) {
    usedTokens += 2_000 + (second % 2 === 0 ? 20_000 : -20_000);
    rate.measure({ ...start, nowMs: 1_000 * second, usedTokens });
  }
  t.true((rate.tokensPerMs ?? 0) < 6);
});
