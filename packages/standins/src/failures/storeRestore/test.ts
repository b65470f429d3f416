import test from 'ava';
import {
  ManualClock,
  type FailureDomainId,
  type InstanceId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import { Registrations } from '@acaciacrank/fleet';
import { UpstreamTable, type UpstreamRecord } from '@acaciacrank/forwarding';
import { MemoryObjectStore, MemoryPlatform, ObjectFollower } from '@acaciacrank/store';
import { StoreLease } from '@acaciacrank/upstreams';
import {
  createRestorableSimulation,
  restoreStore,
  spend,
  spendUntil,
  startHolder,
} from '../../_lib/prepaidSimulation/index.js';

const noFaults = { lost: 0, late: 0 };

function follow(platform: MemoryPlatform, clock: ManualClock) {
  const seen = new Map<string, unknown>();
  const follower = new ObjectFollower({
    store: new MemoryObjectStore(platform, clock, 1_000),
    clock,
    prefix: 'servers/',
    onSnapshot: ({ objects }) => {
      seen.clear();
      for (const { key, value } of objects) seen.set(key, value);
    },
    onChange: ({ key, object }) => {
      if (object === undefined) seen.delete(key);
      else seen.set(key, object.value);
    },
  });
  void follower.run();
  return { seen, follower };
}

// Guards against changes that are missed for good: their revisions were given out before, for others.
test('a follower sees changes made under revisions that are given out again', async (t) => {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  platform.write('servers/a', 'ready', { kind: 'none' });
  const copy = platform.copy();
  const { seen, follower } = follow(platform, clock);
  await clock.advance(500);
  platform.write('servers/b', 'ready', { kind: 'none' });
  platform.write('servers/c', 'ready', { kind: 'none' });
  await clock.advance(500);
  platform.restore(copy);
  platform.write('servers/a', 'draining', { kind: 'none' });
  platform.write('servers/x', 1, { kind: 'none' });
  platform.write('servers/x', 2, { kind: 'none' });
  await clock.advance(3_000);
  t.deepEqual(Object.fromEntries(seen), { 'servers/a': 'draining', 'servers/x': 2 });
  follower[Symbol.dispose]();
});

// Guards against a write on a state of the object that the copy does not hold.
test('a condition from before the restore is not met by the same revision', async (t) => {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const store = new MemoryObjectStore(platform, clock);
  const copy = platform.copy();
  const written = await store.write('a/1', 'old', { kind: 'absent' });
  platform.restore(copy);
  platform.write('a/1', 'other', { kind: 'absent' });
  await store.read('a/1');
  const version = written.outcome === 'written' ? written.version : 0;
  t.is((await store.write('a/1', 'mine', { kind: 'version', version })).outcome, 'conflict');
  t.is((await store.remove('a/1', version)).outcome, 'conflict');
  t.is(platform.read('a/1')?.value, 'other');
});

// Guards against spending tokens twice: a holder spends a grant that the copy lacks, and a new instance
// is granted the same tokens.
test('tokens granted since the copy are not granted again while their holder lives', async (t) => {
  const simulation = createRestorableSimulation(21, 1_000_000);
  const copy = simulation.platform.copy();
  const first = startHolder(simulation, 0, noFaults);
  await simulation.clock.advance(3_000);
  await spendUntil(simulation, [first], 600_000);
  t.true(simulation.spentTokens >= 600_000);
  simulation.isolated.add(first.processRun.instanceId);
  restoreStore(simulation, copy);
  const second = startHolder(simulation, 1, noFaults);
  await spendUntil(simulation, [second], 2_000_000);
  await spendUntil(simulation, [first], 2_000_000);
  t.true(simulation.spentTokens <= 1_000_000, `spent ${simulation.spentTokens}`);
});

// Guards against spending tokens twice when their holder died with the restore.
test('tokens of a holder that died since the copy are not granted again', async (t) => {
  const simulation = createRestorableSimulation(22, 1_000_000);
  const holders = [0, 1, 2].map((index) => startHolder(simulation, index, noFaults));
  await simulation.clock.advance(3_000);
  const copy = simulation.platform.copy();
  await spendUntil(simulation, holders, 600_000);
  for (const { stop } of holders) stop();
  restoreStore(simulation, copy);
  const restarted = holders.map((_, index) => startHolder(simulation, index, noFaults));
  await spendUntil(simulation, restarted, 2_000_000);
  t.true(simulation.spentTokens <= 1_000_000, `spent ${simulation.spentTokens}`);
});

// Guards against callers who paid and are refused for good: every holder lives, so that every grant is
// known again once they have written them.
test('everything that was prepaid is usable after a restore that all holders survive', async (t) => {
  const simulation = createRestorableSimulation(23, 3_000_000);
  const holders = [0, 1, 2].map((index) => startHolder(simulation, index, noFaults));
  await simulation.clock.advance(40_000);
  const copy = simulation.platform.copy();
  await spendUntil(simulation, holders, 500_000);
  restoreStore(simulation, copy);
  for (let step = 0; step < 80; step += 1) {
    await simulation.clock.advance(500);
    for (const holder of holders) await spend(simulation, holder, 500);
  }
  await spendUntil(simulation, holders, 4_000_000);
  t.true(simulation.spentTokens <= 3_000_000);
  t.true(simulation.spentTokens >= 0.97 * 3_000_000, `spent ${simulation.spentTokens}`);
});

function register(platform: MemoryPlatform, clock: ManualClock, name: string) {
  const listed: string[][] = [];
  const registrations = new Registrations({
    store: new MemoryObjectStore(platform, clock),
    clock,
    self: {
      instanceId: name as InstanceId,
      runId: 'r',
      callerAddress: `${name}:1`,
      failureDomain: 'here' as FailureDomainId,
      fleetUrl: `ws://${name}:2`,
      linkKey: `key of ${name}`,
    },
    onList: (others) => listed.push(others.map(({ id }) => id as string)),
  });
  void registrations.run();
  return { registrations, listed };
}

// Guards against instances that no longer know each other, and cannot authenticate their links, because
// the copy is from before they registered.
test('instances whose registrations are gone still know each other and register again', async (t) => {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const copy = platform.copy();
  const first = register(platform, clock, 'a');
  const second = register(platform, clock, 'b');
  await clock.advance(2_500);
  platform.restore(copy);
  for (let step = 0; step < 60; step += 1) {
    await clock.advance(100);
    t.is(first.registrations.linkKeyOf('b' as InstanceId), 'key of b');
    t.deepEqual(first.listed.at(-1), ['b']);
  }
  t.is(platform.snapshot('instances/').objects.length, 2);
  await clock.advance(1_200);
  first.registrations[Symbol.dispose]();
  second.registrations[Symbol.dispose]();
});

// Guards against two holders of one lease: the copy lacks it, or shows it as released.
for (const isReleasedInCopy of [false, true]) {
  const shown = isReleasedInCopy ? 'shows as released' : 'lacks';
  test(`a lease that the copy ${shown} is not taken while its holder may hold it`, async (t) => {
    const clock = new ManualClock();
    const platform = new MemoryPlatform(clock);
    const lease = (holder: string) =>
      new StoreLease({
        store: new MemoryObjectStore(platform, clock),
        clock,
        key: 'lease/orders',
        holder: holder as InstanceId,
        incarnation: '1',
      });
    const before = lease('c');
    if (isReleasedInCopy) {
      await before.acquire();
      await before.release();
    }
    const copy = platform.copy();
    const first = lease('a');
    t.true(await first.acquire());
    const token = first.fencingNumber ?? 0;
    platform.restore(copy);
    const second = lease('b');
    for (let step = 0; step < 60; step += 1) {
      await second.acquire();
      t.false(first.remainingMs > 0 && second.remainingMs > 0);
      await clock.advance(500);
    }
    t.true(second.remainingMs > 0, 'the lease is taken once it must have ended');
    t.true((second.fencingNumber ?? 0) > token, 'fencing tokens rise over the restore');
  });
}

const service = 'lm' as ServiceName;
const record: UpstreamRecord = {
  id: 'u1' as UpstreamId,
  service,
  ip: '10.0.0.1',
  port: 80,
  failureDomain: 'here' as FailureDomainId,
  slots: 6,
  state: 'live',
  startedAtMs: 1_000,
};

// Guards against requests to an upstream that left since the copy, and which the copy shows as live.
test('an upstream that left since the copy is not used again because the copy shows it', (t) => {
  const table = new UpstreamTable({ clock: new ManualClock(), onChange: () => undefined });
  const other = { ...record, id: 'u2' as UpstreamId, port: 81 };
  table.put(record);
  table.put(other);
  table.put({ ...record, state: 'leaving' });
  table.remove(other.id);
  table.markStoreRestored();
  table.replaceAll([record, other]);
  t.is(table.usable(service).length, 0);
  table.put({ ...other, startedAtMs: 2_000 });
  t.is(table.usable(service).length, 1, 'its next run is used');
});

// Guards against an upstream that is never used again although it only lost touch with the store.
test('an upstream that was gone is used again once the store must have caught up', async (t) => {
  const clock = new ManualClock();
  const table = new UpstreamTable({ clock, onChange: () => undefined });
  table.put(record);
  table.remove(record.id);
  table.markStoreRestored();
  table.put(record);
  t.is(table.usable(service).length, 0);
  await clock.advance(30_001);
  t.is(table.usable(service).length, 1);
});

// Guards against having no upstream left: those that registered since the copy are missing for a moment.
test('an upstream that the copy lacks stays usable until it can have registered again', async (t) => {
  const clock = new ManualClock();
  const table = new UpstreamTable({ clock, onChange: () => undefined });
  table.put(record);
  await clock.advance(30_000);
  table.markStoreRestored();
  table.replaceAll([]);
  await clock.advance(1_900);
  t.is(table.usable(service).length, 1);
  await clock.advance(200);
  t.is(table.usable(service).length, 0);
});
