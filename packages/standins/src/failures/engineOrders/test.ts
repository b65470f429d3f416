import test from 'ava';
import { digestText } from '@acaciacrank/base';
import { createLocalFleet, type LocalFleet } from '../../createLocalFleet/index.js';

function documentWith(holds: string): string {
  return `environment: test
classes:
  - { name: review, firstTokenDeadlineMs: 60000, totalDeadlineMs: 600000 }
services:
  - { name: tutor, kind: engines, models: [small], checksFencing: true${holds} }
  - { name: records, kind: plain }
accounts:
  - id: one
    keyDigests: [${digestText('secret')}]
    budgets:
      - { id: one-2026, openingTokens: 1000 }
`;
}

/** Setting of a service: the model version that its engines must load, and the rate limit of loads. */
const holds = ', holds: { models: [{ model: small, version: v2 }], loadsPerMinute: 60 }';

function loadedVersions(fleet: LocalFleet): (string | undefined)[] {
  return [...fleet.clients.engines.values()].map(
    ({ control }) => control.state().models[0]?.version,
  );
}

function orderingInstances(fleet: LocalFleet): string[] {
  return fleet.instances
    .filter(({ instance }) => instance.metrics.counter('ordersGiven', 'loadModel') > 0)
    .map(({ id }) => id);
}

test('one of five instances orders the engines to load what the document specifies', async (t) => {
  await using fleet = await createLocalFleet({ document: documentWith(holds), instances: 5 });
  await fleet.clock.advance(30_000);
  t.deepEqual(loadedVersions(fleet), ['v2', 'v2']);
  t.is(orderingInstances(fleet).length, 1);
  const orderCounts = [...fleet.clients.engines.values()].map(
    ({ control }) => control.executedOrders.length,
  );
  t.deepEqual(orderCounts, [1, 1]);
});

test('engines receive no orders if the document specifies none', async (t) => {
  await using fleet = await createLocalFleet({ document: documentWith(''), instances: 2 });
  await fleet.clock.advance(30_000);
  t.deepEqual(loadedVersions(fleet), [undefined, undefined]);
  t.is(fleet.platform.objects().filter(({ key }) => key.startsWith('orders/')).length, 0);
});

// Guards against engines without orders after the instance that gives them is lost without notice, and
// an engine restarts without a model. Another instance must detect both, once the lease and the clock
// skew have passed, and load the model again.
test('another instance gives orders to the engines when the lease holder is lost', async (t) => {
  await using fleet = await createLocalFleet({ document: documentWith(holds), instances: 5 });
  await fleet.clock.advance(30_000);
  const [holder] = orderingInstances(fleet);
  const lost = fleet.instances.find(({ id }) => id === holder);
  if (lost === undefined) throw new Error('no instance held the lease');
  lost.store.link.isDown = true;
  fleet.platform.removeInstance(lost.id);
  // It still reaches the engines, but must not give orders after its lease has expired.
  await fleet.clock.advance(20_000);
  const [engine] = [...fleet.clients.engines.values()];
  engine?.control.restart();
  await fleet.clock.advance(60_000);
  t.deepEqual(loadedVersions(fleet), ['v2', 'v2']);
  t.is(orderingInstances(fleet).length, 2);
});
