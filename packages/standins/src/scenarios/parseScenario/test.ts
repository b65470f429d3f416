import test from 'ava';
import { parseScenario } from './index.js';

const good = `name: calm
story: nothing happens
traffic:
  - { name: a, kind: chat, from: 0s, to: 1s, every: 200ms }
expect: {}
`;

test('durations are converted to milliseconds and defaults are applied', (t) => {
  const scenario = parseScenario(good, 'a.yaml');
  t.is(scenario.traffic[0]?.every, 200);
  t.is(scenario.fleet.instances, 3);
  t.is(scenario.settle, 120_000);
});

test('the error for an invalid field has its line and path', (t) => {
  t.throws(() => parseScenario(good.replace('200ms', 'often'), 'a.yaml'), {
    message: /^a\.yaml:4: traffic\.0\.every: write a duration/,
  });
  t.throws(() => parseScenario(`${good}evnts: []\n`, 'a.yaml'), { message: /evnts/ });
});
