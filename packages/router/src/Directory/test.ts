import test from 'ava';
import {
  createLog,
  ManualClock,
  Metrics,
  type AccountId,
  type FailureDomainId,
  type InstanceId,
} from '@acaciacrank/base';
import { FleetRpc, Membership, NoFleetLinks, type MemberRecord } from '@acaciacrank/fleet';
import type { ListedInstance } from '@acaciacrank/store';
import { Directory } from './index.js';

const account = 'one' as AccountId;

/** Links that deliver the messages that a test specifies. */
class SimulatedLinks extends NoFleetLinks {
  deliverRecord(record: MemberRecord): void {
    const fields = { sequence: 0, configurationVersion: 1, viewHash: 0, records: [record] };
    this.deliver({ kind: 'news', ...fields }, record.id);
  }
}

function entry(index: number): ListedInstance {
  return {
    id: `i${index}` as InstanceId,
    role: 'entry',
    url: `http://10.0.0.${index}:80`,
    failureDomain: `fd${index % 3}` as FailureDomainId,
    state: 'live',
  };
}

function recordOf(index: number, change: Partial<MemberRecord>): MemberRecord {
  const { id, url, failureDomain } = entry(index);
  const defaults = { life: 'a', incarnation: 1, state: 'live' as const, isSuspect: false };
  return { id, url, failureDomain, fleetUrl: '', ...defaults, ...change };
}

function createDirectory() {
  const clock = new ManualClock();
  const links = new SimulatedLinks();
  const membership = new Membership({
    clock,
    links,
    random: () => 0.5,
    rpc: new FleetRpc({ links, clock }),
    metrics: new Metrics(),
    log: createLog('test', { level: 'fatal' }),
    self: { id: 'i0' as InstanceId, life: 'a', failureDomain: 'fd0' as FailureDomainId },
    configurationVersion: () => 1,
  });
  membership.start({ url: 'http://10.0.0.0:80', fleetUrl: '' });
  membership.declareLive();
  membership.applyInstanceList([1, 2, 3, 4].map(entry));
  const directory = new Directory({ clock, membership });
  const named = (nearFailureDomain?: string) =>
    directory.answer(account, nearFailureDomain).instances.map(({ id }) => id);
  return { clock, links, membership, directory, named };
}

test('names two instances and counts this one among the usable ones', (t) => {
  const { directory, named } = createDirectory();
  t.is(directory.usableInstanceCount, 5);
  t.is(named().length, 2);
  t.is(directory.answer(account, undefined).keepMs, 5_000);
});

// Guards against sending callers to an instance that is leaving while the platform's list, which lags,
// still shows it as live.
test('the state that a member reports takes precedence over the list', (t) => {
  const { links, membership, named } = createDirectory();
  const [first] = named();
  const index = Number(first?.slice(1));
  if (index === 0) membership.leave();
  else links.deliverRecord(recordOf(index, { state: 'leaving' }));
  t.false(named().includes(first as InstanceId));
});

// Guards against moving an account away from a suspected instance, since most suspicions are wrong.
// The account keeps its instances, but callers try the other one first.
test('a suspected instance is named last instead of being omitted', (t) => {
  const { links, named } = createDirectory();
  const suspects = [1, 2, 3, 4].map((index) => recordOf(index, { isSuspect: true }));
  const before = named('fd1');
  for (const suspect of suspects) if (suspect.id === before[0]) links.deliverRecord(suspect);
  const after = named('fd1');
  t.deepEqual([...after].sort(), [...before].sort());
  t.is(after[1], before[0]);
});

// Guards against one account overloading its two instances while the other three are idle, and against
// adding more instances with each answer before the load has moved.
test('a busy account gets more instances, which take turns in first place', async (t) => {
  const { clock, directory, named } = createDirectory();
  const before = named();
  const openRequests = Array.from({ length: 32 }, () => directory.beginRequest(account));
  await clock.advance(300_000);
  const answers = Array.from({ length: 8 }, () => named());
  t.true(answers.every((ids) => ids.length === 4));
  t.true(answers.every((ids) => before.every((id) => ids.includes(id))));
  t.is(new Set(answers.map(([first]) => first)).size, 4);
  for (const request of openRequests) request[Symbol.dispose]();
  await clock.advance(300_000);
  named();
  t.deepEqual(named(), before);
});
