import test from 'ava';
import { digestText } from '@acaciacrank/base';
import { acceptDocument } from '@acaciacrank/operators';
import { MemberFleet } from '../../../../_lib/MemberFleet/index.js';
import { createLocalFleet } from '../../../../createLocalFleet/index.js';
import { MemoryObjectStore } from '@acaciacrank/store';
import { configurationScenarios } from './index.js';

// Only one instance gets a new version from the store. All others must get it over the links within
// 10 s, also when links drop messages, after a partition has healed, and when an instance has just
// started. No instance may go back to an earlier version.
for (const [name, runConfigurationScenario] of Object.entries(configurationScenarios)) {
  test(`a version is in force everywhere within 10 s: ${name}`, async (t) => {
    const fleet = new MemberFleet(12);
    await fleet.timeUntil(() => fleet.isConverged, 10_000);
    const settledMs = await runConfigurationScenario(fleet);
    t.true(settledMs !== undefined && settledMs < 10_000, `${settledMs}`);
    for (const { id, versions } of fleet.nodes.values()) {
      t.deepEqual(
        versions,
        [...versions].sort((a, b) => a - b),
        id,
      );
    }
  });
}

// An operator accepts a document while only one of five instances reaches the store. The others must
// fetch the manifest and each of its objects from peers and apply them within 10 s.
test('instances fetch a version and its objects from peers while the store is down', async (t) => {
  const document = (deadlineMs: number) => `environment: spread
classes:
  - { name: shift, firstTokenDeadlineMs: ${deadlineMs}, totalDeadlineMs: 60000 }
services:
  - { name: tutor, kind: engines, models: [small], checksFencing: true }
accounts:
  - { id: one, keyDigests: [${digestText('key')}], budgets: [{ id: b1, openingTokens: 1000 }] }
`;
  await using fleet = await createLocalFleet({ document: document(2_000), instances: 5 });
  const { clock, platform, instances } = fleet;
  await clock.advance(5_000);
  for (const { store } of instances.slice(1)) store.link.isDown = true;
  const operatorStore = new MemoryObjectStore(platform, clock);
  await clock.runUntil(acceptDocument(operatorStore, clock, document(3_000)));
  await clock.advance(10_000);
  for (const { id, instance } of instances) {
    const { version, index } = instance.configuration.current();
    t.deepEqual([version, index.classOf(undefined).firstTokenDeadlineMs], [2, 3_000], id);
  }
  const fromPeers = instances.map(({ instance }) => {
    return instance.metrics.counter('configurationsFromPeers');
  });
  t.deepEqual(fromPeers, [0, 1, 1, 1, 1]);
});
