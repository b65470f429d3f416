import test from 'ava';
import type { InstanceId } from '@acaciacrank/base';
import { divideRate } from './index.js';

function sharersOf(count: number): InstanceId[] {
  return Array.from({ length: count }, (_, index) => `i${index}` as InstanceId);
}

// Guards against shares that add up to more or less than the rate.
test('the shares of all instances add up to the rate', (t) => {
  for (const requestsPerSecond of [0.3, 1, 1.5, 2.9, 40]) {
    for (const count of [1, 4, 33, 390]) {
      const sharers = sharersOf(count);
      const shares = sharers.map((instanceId) =>
        divideRate({ requestsPerSecond, key: 'u1', instanceId, sharers }),
      );
      const sum = shares.reduce((total, share) => total + share, 0);
      t.true(Math.abs(sum - requestsPerSecond) < 1e-6, `${requestsPerSecond} over ${count}`);
    }
  }
});

// Guards against a rate that moves between the remaining instances whenever one joins or leaves.
test('removing an instance moves only its own share', (t) => {
  const sharers = sharersOf(33);
  const holderOf = (key: string, among: readonly InstanceId[]) =>
    among.find(
      (instanceId) => divideRate({ requestsPerSecond: 1, key, instanceId, sharers: among }) > 0,
    );
  const removed = sharers[7] as InstanceId;
  const others = sharers.filter((id) => id !== removed);
  for (let upstream = 0; upstream < 100; upstream += 1) {
    const before = holderOf(`u${upstream}`, sharers);
    const after = holderOf(`u${upstream}`, others);
    if (before !== removed) t.is(after, before);
    else t.not(after, undefined);
  }
});

test('an instance that is not a sharer holds no share, and a rate of 0 is raised to the minimum', (t) => {
  const instanceId = 'i0' as InstanceId;
  t.is(divideRate({ requestsPerSecond: 5, key: 'u1', instanceId, sharers: [] }), 0);
  t.is(divideRate({ requestsPerSecond: 0, key: 'u1', instanceId, sharers: [instanceId] }), 0.1);
});
