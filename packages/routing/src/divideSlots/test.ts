import test from 'ava';
import type { InstanceId } from '@acaciacrank/base';
import { divideSlots } from './index.js';

function sharersOf(count: number): InstanceId[] {
  return Array.from({ length: count }, (_, index) => `instance-${index}` as InstanceId);
}

// Guards against instances that together send more than an upstream runs, which it then has to refuse.
test('the shares of all instances add up to the slots', (t) => {
  for (const count of [1, 2, 4, 28, 78, 390]) {
    for (const slots of [1, 4, 6, 64]) {
      const sharers = sharersOf(count);
      const shares = sharers.map((instanceId) =>
        divideSlots({ slots, key: 'u1', instanceId, sharers }),
      );
      t.is(
        shares.reduce((sum, share) => sum + share, 0),
        slots,
      );
      t.true(Math.max(...shares) - Math.min(...shares) <= 1);
    }
  }
});

test('what is left over of many upstreams spreads over the instances', (t) => {
  const sharers = sharersOf(4);
  const totals = sharers.map((instanceId) => {
    const shares = Array.from({ length: 100 }, (_, upstream) =>
      divideSlots({ slots: 6, key: `u${upstream}`, instanceId, sharers }),
    );
    return shares.reduce((sum, share) => sum + share, 0);
  });
  t.true(Math.min(...totals) > 125);
});

test('an instance that does not share has no slot', (t) => {
  const sharers = sharersOf(2);
  t.is(divideSlots({ slots: 6, key: 'u1', instanceId: 'other' as InstanceId, sharers }), 0);
});
