import test from 'ava';
import { digestText, RouterError } from '@acaciacrank/base';
import { createLocalFleet, type LocalInstance } from '../../../../createLocalFleet/index.js';
import { replaceAllInstances } from './index.js';

// All five instances are replaced under load. Callers use cached directory responses that are
// seconds old, and the platform's instance list lags by another three seconds. No stream may be cut
// off, and less than 0.1% of the requests may be refused.
test('a rolling replacement under load cuts off no stream and refuses under 0.1% of requests', async (t) => {
  const result = await replaceAllInstances({ seed: 1 });
  t.is(result.replaced, 5);
  t.is(result.brokenOff + result.cutOff, 0, result.errors.join());
  t.true(result.refused / result.requests < 0.001, `${result.refused}: ${result.errors.join()}`);
  t.true(result.requests > 1_000, `${result.requests}`);
  t.is(result.answered + result.refused, result.requests);
});

// The store is down while an instance starts. The new instance has no configuration and would refuse
// requests, so the directory must leave it out until the store is available again.
test('an instance without a configuration is not in the directory', async (t) => {
  const document = `environment: starting
classes: [{ name: shift, firstTokenDeadlineMs: 5000, totalDeadlineMs: 60000 }]
services: [{ name: tutor, kind: engines, models: [small], checksFencing: true }]
accounts:
  - id: one
    keyDigests: [${digestText('key')}]
    budgets: [{ id: b1, openingTokens: 1000 }]
`;
  let isDown = false;
  await using fleet = await createLocalFleet({
    document,
    instances: 2,
    wrap: (parts) => {
      const read = parts.store.read.bind(parts.store);
      parts.store.read = (key) =>
        isDown ? Promise.reject(new RouterError('storeUnavailable', 'down')) : read(key);
      return parts;
    },
  });
  const [first] = fleet.instances as [LocalInstance, LocalInstance];
  const directoryIds = () =>
    first.instance.findInstances('key', undefined).instances.map(({ id }) => id);
  await fleet.clock.advance(5_000);
  isDown = true;
  const addedInstance = await fleet.addInstance('i3', 'fd3');
  await fleet.clock.advance(5_000);
  t.false(addedInstance.instance.isAccepting);
  t.is(first.instance.directory.usableInstanceCount, 2);
  t.false(directoryIds().includes(addedInstance.id), directoryIds().join());
  isDown = false;
  await fleet.clock.advance(10_000);
  t.true(addedInstance.instance.isAccepting);
  t.is(first.instance.directory.usableInstanceCount, 3);
});
