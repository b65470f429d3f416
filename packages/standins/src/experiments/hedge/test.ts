import test from 'ava';
import { simulateHedge, type HedgeCase } from './index.js';

const fleet = { instances: 4, policy: 'hedge' } as const;
const silence = { kind: 'silence', durationMs: 2_000 } as const;

// Guards against a model in which streams are lost for other reasons, so that policies cannot be compared.
test('a silence shorter than the limit costs nothing with any policy', async (t) => {
  for (const policy of ['abortThenAsk', 'hedge', 'hedgeWithoutPanicThreshold'] as const) {
    const fault = { kind: 'silence', durationMs: 500 } as const;
    const result = await simulateHedge({ ...fleet, policy, fault, share: 1 }, 1);
    t.is(result.cut + result.late, 0);
    t.is(result.sendsPerRequest, 1);
    t.true(result.requests > 20);
  }
});

// Guards against streams that are ended for the silence of their upstreams, as they were before there were hedges.
test('hedged streams are whole whatever share is silent', async (t) => {
  const old = await simulateHedge(
    { ...fleet, policy: 'abortThenAsk', fault: silence, share: 1 },
    1,
  );
  t.true(old.cut > 0);
  for (const share of [0, 0.6, 1]) {
    const result = await simulateHedge({ ...fleet, fault: silence, share }, 1);
    t.is(result.cut + result.late, 0, `share ${share}`);
  }
});

// Guards against second sends to upstreams that are silent as well: they would be useless, and use up the budget.
test('while all are silent few streams are sent again', async (t) => {
  const all: HedgeCase = { ...fleet, fault: silence, share: 1 };
  const { sendsPerRequest } = await simulateHedge(all, 1);
  const without = await simulateHedge({ ...all, policy: 'hedgeWithoutPanicThreshold' }, 1);
  t.true(sendsPerRequest < 1.1 && without.sendsPerRequest > 1.3);
});

// Guards against a hedge that leaves an upstream which is silent for good later than before.
test('an upstream whose packets are dropped is left as soon as before', async (t) => {
  const dropped: HedgeCase = { ...fleet, fault: { kind: 'drop' }, share: 0 };
  const old = await simulateHedge({ ...dropped, policy: 'abortThenAsk' }, 1);
  const hedged = await simulateHedge(dropped, 1);
  t.is(hedged.cut + hedged.late, 0);
  t.true(hedged.nextEventMaxMs <= old.nextEventMaxMs);
});
