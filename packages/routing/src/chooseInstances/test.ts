import test from 'ava';
import type { AccountId, FailureDomainId, InstanceId } from '@acaciacrank/base';
import type { ListedInstance } from '@acaciacrank/store';
import { chooseInstances } from './index.js';

const entry = (id: string): ListedInstance => ({
  id: id as InstanceId,
  role: 'entry',
  url: `http://127.0.0.1/${id}`,
  failureDomain: 'a' as FailureDomainId,
  state: 'live',
});
const account = (index: number) => `account-${index}` as AccountId;

test('removing an instance moves only the accounts that used it', (t) => {
  const five = ['i1', 'i2', 'i3', 'i4', 'i5'].map(entry);
  const four = five.filter((instance) => instance.id !== 'i3');
  for (let index = 0; index < 200; index += 1) {
    const before = chooseInstances(account(index), five).map(({ id }) => id);
    if (before.includes('i3' as InstanceId)) continue;
    t.deepEqual(
      chooseInstances(account(index), four).map(({ id }) => id),
      before,
    );
  }
});

test('returns live instances only', (t) => {
  const leaving = { ...entry('i1'), state: 'leaving' as const };
  t.deepEqual(
    chooseInstances(account(1), [leaving, entry('i2')]).map(({ id }) => id),
    ['i2'],
  );
});

const domains = ['a', 'a', 'b', 'b', 'c'] as FailureDomainId[];
const acrossDomains = domains.map((failureDomain, index) => ({
  ...entry(`i${index + 1}`),
  failureDomain,
}));

test("the first instance is in the caller's failure domain and the second in another one", (t) => {
  for (let index = 0; index < 200; index += 1) {
    const nearFailureDomain = domains[index % domains.length] as FailureDomainId;
    const chosen = chooseInstances(account(index), acrossDomains, { nearFailureDomain });
    t.is(chosen[0]?.failureDomain, nearFailureDomain);
    t.not(chosen[1]?.failureDomain, nearFailureDomain);
  }
});

test('a result with a higher count begins with the same instances', (t) => {
  for (let index = 0; index < 200; index += 1) {
    const two = chooseInstances(account(index), acrossDomains, { count: 2 });
    const four = chooseInstances(account(index), acrossDomains, { count: 4 });
    t.deepEqual(four.slice(0, 2), two);
    t.is(new Set(four).size, 4);
  }
});

// Guards against moving accounts that did not use the removed instance: they would lose access to their
// grants and cached prefixes without need.
test('removing one of five instances moves one account in five to all remaining instances', (t) => {
  const accounts = Array.from({ length: 1_000 }, (_, index) => account(index));
  const first = (id: AccountId, instances: ListedInstance[]) =>
    chooseInstances(id, instances)[0]?.id;
  const four = acrossDomains.filter(({ id }) => id !== 'i3');
  const moved = accounts.filter((id) => first(id, acrossDomains) !== first(id, four));
  t.true(moved.every((id) => first(id, acrossDomains) === 'i3'));
  t.true(moved.length > 150 && moved.length < 250, `${moved.length}`);
  const newInstances = new Set(moved.map((id) => first(id, four)));
  t.is(newInstances.size, 4);
});
