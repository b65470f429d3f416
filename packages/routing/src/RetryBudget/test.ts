import test from 'ava';
import { ManualClock, type ClassName, type UpstreamId } from '@acaciacrank/base';
import { RetryBudget } from './index.js';

const engine = 'e1' as UpstreamId;
const shift = 'shift' as ClassName;

// Guards against doubling the load on the fleet: an engine fails every request, and without a budget each
// would be retried. Only requests sent to the failing engine are refused.
test('while an upstream fails all requests, retries stay at a tenth of first attempts', (t) => {
  const budget = new RetryBudget({ clock: new ManualClock(), maxRetries: 5 });
  let retries = 0;
  for (let attempt = 0; attempt < 1_000; attempt += 1) {
    budget.recordAttempt(engine, shift);
    if (budget.tryRetry(engine, shift)) retries += 1;
  }
  t.true(retries >= 95 && retries <= 106, `${retries} retries`);
});

test('classes and upstreams have separate budgets', (t) => {
  const budget = new RetryBudget({ clock: new ManualClock(), maxRetries: 1 });
  t.true(budget.tryRetry(engine, 'tagging' as ClassName));
  t.false(budget.tryRetry(engine, 'tagging' as ClassName));
  t.true(budget.tryRetry(engine, shift));
  t.true(budget.tryRetry('e2' as UpstreamId, shift));
});

test('retries are earned over time up to the capacity', async (t) => {
  const clock = new ManualClock();
  const budget = new RetryBudget({ clock, maxRetries: 2, retriesPerSecond: 1 });
  const take = () => [1, 2, 3].filter(() => budget.tryRetry(engine, shift)).length;
  t.is(take(), 2);
  await clock.advance(1_000);
  t.is(take(), 1);
  await clock.advance(60_000);
  t.is(take(), 2);
});

// Guards against a large fleet that overloads a failing upstream with retries although each instance
// stays within its own budget.
test('the retries of a large fleet towards one upstream stay bounded', async (t) => {
  const clock = new ManualClock();
  const instanceCount = 200;
  const budgets = Array.from(
    { length: instanceCount },
    () => new RetryBudget({ clock, instanceCount: () => instanceCount }),
  );
  let attempts = 0;
  let retries = 0;
  for (let second = 0; second < 60; second += 1) {
    await clock.advance(1_000);
    for (const budget of budgets.slice(0, 40)) {
      budget.recordAttempt(engine, shift);
      attempts += 1;
      if (budget.tryRetry(engine, shift)) retries += 1;
    }
  }
  // A tenth of the attempts, plus what five instances start with and earn over time.
  t.true(retries <= 0.1 * attempts + 5 * 5 + 5 * 0.5 * 60, `${retries} of ${attempts}`);
});
