import test from 'ava';
import { simulateSuspect } from './index.js';

const calm = { instances: 28, lossRatio: 0, isHomeGone: false, callers: 1 };

// Guards against a request that ends an upstream at each instance that it comes to.
test('a request ends three upstreams, whichever instances its caller repeats it at', async (t) => {
  for (const instances of [2, 28, 78]) {
    t.is((await simulateSuspect({ ...calm, instances }, 1)).ends, 3);
  }
});

// Guards against a quarantine that depends on one instance.
test('with the home gone, at most one more upstream ends', async (t) => {
  t.true((await simulateSuspect({ ...calm, isHomeGone: true }, 1)).ends <= 4);
});

// Guards against a quarantine that fails for good with a lost message.
test('a lost message costs one more upstream at most', async (t) => {
  const { ends, lost } = await simulateSuspect({ ...calm, lossRatio: 0.05 }, 1);
  t.true(lost > 0);
  t.true(ends <= 3 + lost, `${ends} ended, ${lost} messages were lost`);
  t.true(ends < 12);
});

// Guards against a cost of upstreams that end which grows with the square of the fleet.
test('the messages grow with the number of instances, not with its square', async (t) => {
  const { messages: few } = await simulateSuspect({ ...calm, instances: 28 }, 1);
  const { messages: many } = await simulateSuspect({ ...calm, instances: 280 }, 1);
  t.true(many <= 10 * few, `${few} messages at 28 instances, ${many} at 280`);
});
