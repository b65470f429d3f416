import test from 'ava';
import { chooseWarmUpHolders } from './index.js';

// Guards against a burst of all holders, and of some that were notified late, beyond the bound.
test('bursts of all holders and of a few more stay within the bound', (t) => {
  for (const requestsPerSecond of [0.5, 1, 2.5, 7, 20, 60, 400]) {
    for (const [overage, slack] of [
      [1.5, 5],
      [1.2, 3],
      [1, 2],
    ] as const) {
      const maxPerSecond = requestsPerSecond * overage + slack;
      const plan = chooseWarmUpHolders({ requestsPerSecond, maxPerSecond });
      const perHolder = Math.floor(1 + plan.requestsPerSecond / plan.maxHolders);
      const senders = plan.maxHolders + Math.max(1, Math.ceil(plan.maxHolders / 4));
      t.true(senders * perHolder <= maxPerSecond, `${requestsPerSecond} of ${maxPerSecond}`);
    }
  }
});

test('the whole rate is used where the bound leaves room for bursts', (t) => {
  const plan = chooseWarmUpHolders({ requestsPerSecond: 7, maxPerSecond: 15.5 });
  t.true(plan.requestsPerSecond >= 7);
  t.is(plan.maxHolders, 5);
});

// Guards against a bound that allows not even one request in a second.
test('nothing is sent if the bound allows less than one request', (t) => {
  const plan = chooseWarmUpHolders({ requestsPerSecond: 0.4, maxPerSecond: 0.4 });
  t.is(plan.requestsPerSecond, 0);
});
