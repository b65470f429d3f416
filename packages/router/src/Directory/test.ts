import test from 'ava';
import {
  createLog,
  ManualClock,
  Metrics,
  type AccountId,
  type FailureDomainId,
  type InstanceId,
} from '@acaciacrank/base';
import { FleetQuestions, Membership, NoFleetLinks, type MemberRecord } from '@acaciacrank/fleet';
import type { ListedInstance } from '@acaciacrank/store';
import { Directory } from './index.js';

const account = 'one' as AccountId;

/** Links over which a test says what peers would. */
class SpokenLinks extends NoFleetLinks {
  hear(record: MemberRecord): void {
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
  const said = { life: 'a', incarnation: 1, state: 'live' as const, isSuspect: false };
  return { id, url, failureDomain, fleetUrl: '', ...said, ...change };
}

function open() {
  const clock = new ManualClock();
  const links = new SpokenLinks();
  const membership = new Membership({
    clock,
    links,
    random: () => 0.5,
    questions: new FleetQuestions({ links, clock }),
    metrics: new Metrics(),
    log: createLog('test', { level: 'fatal' }),
    self: { id: 'i0' as InstanceId, life: 'a', failureDomain: 'fd0' as FailureDomainId },
    configurationVersion: () => 1,
  });
  membership.start({ url: 'http://10.0.0.0:80', fleetUrl: '' });
  membership.serve();
  membership.list([1, 2, 3, 4].map(entry));
  const directory = new Directory({ clock, membership });
  const named = (near?: string) => directory.answer(account, near).instances.map(({ id }) => id);
  return { clock, links, membership, directory, named };
}

test('names two instances, this one among those that may be named', (t) => {
  const { directory, named } = open();
  t.is(directory.usableInstances, 5);
  t.is(named().length, 2);
  t.is(directory.answer(account, undefined).keepMs, 5_000);
});

// The platform's list lags: it still calls an instance live that has said that it is leaving.
test('what a member says of itself goes before the list', (t) => {
  const { links, membership, named } = open();
  const [first] = named();
  const index = Number(first?.slice(1));
  if (index === 0) membership.leave();
  else links.hear(recordOf(index, { state: 'leaving' }));
  t.false(named().includes(first as InstanceId));
});

// A doubt is mostly false. The account stays with its instances, but callers try the other first.
test('a suspect is named last, not left out', (t) => {
  const { links, named } = open();
  const suspects = [1, 2, 3, 4].map((index) => recordOf(index, { isSuspect: true }));
  const before = named('fd1');
  for (const suspect of suspects) if (suspect.id === before[0]) links.hear(suspect);
  const after = named('fd1');
  t.deepEqual([...after].sort(), [...before].sort());
  t.is(after[1], before[0]);
});

// Franchise week: one account fills its two instances while the other three idle. The number must
// not grow with each answer while the load is still where it was.
test('a busy account is given more instances, one after the other first', async (t) => {
  const { clock, directory, named } = open();
  const before = named();
  const open32 = Array.from({ length: 32 }, () => directory.begin(account));
  await clock.advance(300_000);
  const answers = Array.from({ length: 8 }, () => named());
  t.true(answers.every((ids) => ids.length === 4));
  t.true(answers.every((ids) => before.every((id) => ids.includes(id))));
  t.is(new Set(answers.map(([first]) => first)).size, 4);
  for (const request of open32) request[Symbol.dispose]();
  await clock.advance(300_000);
  named();
  t.deepEqual(named(), before);
});
