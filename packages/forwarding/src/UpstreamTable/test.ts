import test from 'ava';
import {
  ManualClock,
  type FailureDomainId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import type { UpstreamRecord } from '../types.js';
import { UpstreamTable } from './index.js';

const service = 'lm' as ServiceName;
const id = 'u1' as UpstreamId;
const record: UpstreamRecord = {
  id,
  service,
  ip: '10.0.0.1',
  port: 80,
  failureDomain: 'here' as FailureDomainId,
  slots: 6,
  state: 'live',
  startedAtMs: 1_000,
};

function createTable() {
  const clock = new ManualClock();
  const changes: string[] = [];
  const table = new UpstreamTable({ clock, onChange: ({ what }) => changes.push(what) });
  return { clock, changes, table };
}

// Guards against applying the state of the previous run: requests in progress, failures, cached
// prompt parts.
test('an upstream that restarts with the same id and address starts with fresh state', (t) => {
  const { table, changes } = createTable();
  table.put(record);
  const previous = table.get(id);
  previous?.begin(undefined);
  previous?.eject();
  table.put({ ...record, startedAtMs: 2_000 });
  const [upstream] = table.usable(service);
  t.not(upstream, previous);
  t.is(upstream?.running, 0);
  t.false(upstream?.isEjected(0));
  t.deepEqual(changes, ['seen', 'startedAgain', 'seen']);
});

// Guards against an upstream that is never used again because its clock was set back before the
// restart.
test('an upstream that restarts with its clock set back is used', (t) => {
  const { table, changes } = createTable();
  table.put(record);
  table.put({ ...record, state: 'leaving' });
  table.put({ ...record, startedAtMs: 500 });
  t.is(table.usable(service).length, 1);
  t.deepEqual(changes, ['seen', 'leaving', 'startedAgain', 'seen']);
});

// Guards against closing all connections to an upstream at each of its heartbeats.
test('an update from the same run keeps the state', (t) => {
  const { table } = createTable();
  table.put({ ...record, startedAtMs: undefined });
  const known = table.get(id);
  table.put({ ...record, slots: 8 });
  table.put({ ...record, slots: 9 });
  t.is(table.get(id), known);
  t.is(known?.record.slots, 9);
});

// Guards against having no upstream left after an outage in which none could renew its record.
test('a record that expires during a store outage stays usable until the end of the grace period', async (t) => {
  const { clock, table } = createTable();
  table.put(record);
  table.markStoreUnavailable();
  table.remove(id);
  await clock.advance(10_000);
  t.is(table.usable(service).length, 1);
  table.markStoreAvailable();
  await clock.advance(1_900);
  t.is(table.usable(service).length, 1);
  await clock.advance(200);
  t.is(table.usable(service).length, 0);
});

// Guards against an upstream that left just after this instance noticed that the store is available again.
test('a record that is removed after the store was regained is used for a shorter time', async (t) => {
  const { clock, table } = createTable();
  table.put(record);
  table.markStoreUnavailable();
  await clock.advance(5_000);
  table.markStoreAvailable();
  table.replaceAll([record]);
  await clock.advance(100);
  table.remove(id);
  await clock.advance(1_300);
  t.is(table.usable(service).length, 1);
  await clock.advance(200);
  t.is(table.usable(service).length, 0);
});

// Guards against an instance that cannot reach the store and keeps using upstreams that are
// leaving.
test('records from a peer add and drain upstreams, but do not revive leaving ones', (t) => {
  const { table, changes } = createTable();
  const other = { ...record, id: 'u2' as UpstreamId, port: 81 };
  table.put(record);
  table.put(other);
  table.markStoreUnavailable();
  table.mergeFromPeer([
    { ...record, state: 'leaving' },
    { ...other, id: 'u3' as UpstreamId },
  ]);
  t.deepEqual(
    table.usable(service).map((upstream) => upstream.id as string),
    ['u2', 'u3'],
  );
  table.mergeFromPeer([record]);
  t.is(table.usable(service).length, 2);
  t.deepEqual(changes, ['seen', 'seen', 'leaving', 'seen']);
});

// Guards against instances that each open as many connections as an upstream accepts from all
// combined.
test('an instance opens only its share of the connections to an upstream', async (t) => {
  const clock = new ManualClock();
  let instances = 4;
  const table = new UpstreamTable({
    clock,
    onChange: () => undefined,
    maxConnections: () => 9,
    instanceCount: () => instances,
  });
  table.put(record);
  const [upstream] = table.usable(service);
  const first = upstream?.acquireConnection();
  t.true(upstream?.hasRoom);
  upstream?.acquireConnection();
  t.false(upstream?.hasRoom);
  if (first !== undefined) upstream?.releaseConnection(first, true);
  t.true(upstream?.hasRoom);
  upstream?.acquireConnection();
  instances = 3;
  await clock.advance(250);
  t.true(upstream?.hasRoom);
});

// Guards against a restarted upstream that stays subject to the limit of its previous run.
test('the limit of an upstream is dropped when the upstream restarts', (t) => {
  const { table } = createTable();
  table.put(record);
  const stated = { requestsPerSecond: 1, sentMs: 0, receivedMs: 0 };
  table.get(id)?.limit.update(stated);
  t.false(table.get(id)?.hasRoom);
  table.put({ ...record, startedAtMs: 2_000 });
  t.true(table.get(id)?.hasRoom);
});

// Guards against requests of which each costs more the more upstreams there are.
test('of many upstreams the same few are candidates for requests with the same key', (t) => {
  const { table } = createTable();
  const records = Array.from({ length: 300 }, (_, index) => ({
    ...record,
    id: `u${index}` as UpstreamId,
  }));
  table.replaceAll(records);
  const candidates = table.candidates(service, 'part');
  t.is(table.usable(service).length, 300);
  t.true(candidates.length < 100);
  t.deepEqual(table.candidates(service, 'part'), candidates);
  const leaving = candidates[0]?.record ?? t.fail();
  table.put({ ...leaving, state: 'leaving' });
  t.false(table.candidates(service, 'part').some((upstream) => upstream.id === leaving.id));
});

// Guards against a stream that is kept at a version which its upstream does not run any more.
test('a record that states another version is a new run, also without a start time', (t) => {
  const { table, changes } = createTable();
  const unstated = { ...record, startedAtMs: undefined };
  table.put({ ...unstated, softwareVersion: 'v1' });
  table.put({ ...unstated, softwareVersion: 'v2' });
  t.is(table.get(id)?.run.softwareVersion, 'v2');
  t.deepEqual(changes, ['seen', 'startedAgain', 'seen']);
});

test('a service is mixed while its upstreams run several versions, leaving ones included', (t) => {
  const { table } = createTable();
  const other = { ...record, id: 'u2' as UpstreamId, softwareVersion: 'v2' };
  table.put({ ...record, softwareVersion: 'v1', state: 'leaving' });
  t.false(table.isMixed(service));
  table.put(other);
  t.true(table.isMixed(service));
  t.false(table.isMixed('app' as ServiceName));
  table.replaceAll([other]);
  t.false(table.isMixed(service));
});
