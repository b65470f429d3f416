import test from 'ava';
import type { InstanceId, UpstreamId } from '@acaciacrank/base';
import { chooseSubset } from './index.js';

const ids = <Id extends string>(prefix: string, count: number) =>
  Array.from({ length: count }, (_, index) => `${prefix}${index}` as Id);
const upstreams = ids<UpstreamId>('e', 1_200);

test('with 5 instances and 12 upstreams, every instance uses every upstream', (t) => {
  const instances = ids<InstanceId>('i', 5);
  const dozen = upstreams.slice(0, 12);
  t.is(chooseSubset('i1' as InstanceId, instances, dozen).size, 12);
});

test('each upstream has the requested number of instances, and subsets are similar in size', (t) => {
  const instances = ids<InstanceId>('i', 39);
  const uses = new Map<UpstreamId, number>();
  for (const instance of instances) {
    const subset = chooseSubset(instance, instances, upstreams, { meanUpstreams: 60 });
    t.true(subset.size > 30 && subset.size < 100, `${instance} has ${subset.size}`);
    for (const id of subset) uses.set(id, (uses.get(id) ?? 0) + 1);
  }
  t.true(upstreams.every((id) => uses.get(id) === 2));
});

// Guards against upstreams that are used by no instance after one fails, and against needless changes
// to the subsets of the others.
test('removing an instance reassigns its upstreams and changes nothing else', (t) => {
  const instances = ids<InstanceId>('i', 40);
  const remaining = instances.filter((id) => id !== 'i7');
  const options = { meanUpstreams: 1, minInstancesPerUpstream: 3 };
  const removedSubset = chooseSubset('i7' as InstanceId, instances, upstreams, options);
  for (const instance of remaining) {
    const before = chooseSubset(instance, instances, upstreams, options);
    const after = chooseSubset(instance, remaining, upstreams, options);
    t.true([...before].every((id) => after.has(id)));
    t.true([...after].every((id) => before.has(id) || removedSubset.has(id)));
  }
});
