import test from 'ava';
import { AccountPace } from './index.js';

const start = { seenBoundTokens: 0, openingTokensPerMs: 4 };

test('an account that nobody used has no pace', (t) => {
  const pace = new AccountPace(0);
  pace.measure({ ...start, nowMs: 1_000, askedTokens: 0 });
  t.is(pace.tokensPerMs, undefined);
});

test('the pace follows what is asked for from the opening one', (t) => {
  const pace = new AccountPace(0);
  for (let second = 1; second <= 30; second += 1) {
    pace.measure({ ...start, nowMs: 1_000 * second, askedTokens: 2_000 * second });
  }
  t.true(Math.abs((pace.tokensPerMs ?? 0) - 2) < 0.01);
});

// All callers of an account have met at other instances. The pace here falls slowly, since they may
// come any moment.
test('the pace falls more slowly where only others see the callers', (t) => {
  const used = new AccountPace(0);
  const unused = new AccountPace(0);
  for (let second = 1; second <= 4; second += 1) {
    used.measure({ ...start, nowMs: 1_000 * second, askedTokens: 1 });
    unused.measure({ ...start, nowMs: 1_000 * second, askedTokens: 0, seenBoundTokens: 1 });
  }
  t.true((unused.tokensPerMs ?? 0) > 2 * (used.tokensPerMs ?? 0));
});
