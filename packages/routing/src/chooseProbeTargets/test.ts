import test from 'ava';
import { createRandom } from '@acaciacrank/base';
import { chooseProbeTargets } from './index.js';

const options = { count: 4, random: createRandom(1) };

const targets = Array.from({ length: 20 }, (_, index) => ({
  address: `10.0.0.${index}:80`,
  sinceReceivedMs: index === 7 ? 3 : index === 13 ? 40 : Infinity,
}));

// Guards against probes of nothing but upstreams that have ended, while others answer.
test('the upstreams that were heard of last are probed, and two others', (t) => {
  const chosen = chooseProbeTargets(targets, options).map(({ address }) => address);
  t.deepEqual(chosen.slice(0, 2), ['10.0.0.7:80', '10.0.0.13:80']);
  t.is(new Set(chosen).size, 4);
});

test('where there are few, each is probed once', (t) => {
  t.is(chooseProbeTargets(targets.slice(0, 3), options).length, 3);
  t.deepEqual(chooseProbeTargets([], options), []);
});
