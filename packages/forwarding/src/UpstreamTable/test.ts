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

function open() {
  const clock = new ManualClock();
  const changes: string[] = [];
  const table = new UpstreamTable({ clock, onChange: ({ what }) => changes.push(what) });
  return { clock, changes, table };
}

// Guards against what was believed of a former run: work under way, failures, parts of prompts.
test('an upstream that starts again under its id and address begins anew', (t) => {
  const { table, changes } = open();
  table.put(record);
  const former = table.get(id);
  former?.begin(undefined);
  former?.leaveOut();
  table.put({ ...record, startedAtMs: 2_000 });
  const [upstream] = table.usable(service);
  t.not(upstream, former);
  t.is(upstream?.running, 0);
  t.false(upstream?.isLeftOut(0));
  t.deepEqual(changes, ['seen', 'startedAgain', 'seen']);
});

// Guards against an upstream that is never used again since its clock was set back over a restart.
test('an upstream that starts again with its clock set back is used', (t) => {
  const { table, changes } = open();
  table.put(record);
  table.put({ ...record, state: 'leaving' });
  table.put({ ...record, startedAtMs: 500 });
  t.is(table.usable(service).length, 1);
  t.deepEqual(changes, ['seen', 'leaving', 'startedAgain', 'seen']);
});

// Guards against connections that are thrown away at each heartbeat of an upstream.
test('the same run keeps what is known of it', (t) => {
  const { table } = open();
  table.put({ ...record, startedAtMs: undefined });
  const known = table.get(id);
  table.put({ ...record, slots: 8 });
  table.put({ ...record, slots: 9 });
  t.is(table.get(id), known);
  t.is(known?.record.slots, 9);
});

// Guards against having no upstream at all after an outage in which none could renew its record.
test('a record that vanishes while the store is away stays usable until it has been back', async (t) => {
  const { clock, table } = open();
  table.put(record);
  table.loseStore();
  table.remove(id);
  await clock.advance(10_000);
  t.is(table.usable(service).length, 1);
  table.regainStore();
  await clock.advance(1_900);
  t.is(table.usable(service).length, 1);
  await clock.advance(200);
  t.is(table.usable(service).length, 0);
});

// Guards against an instance that the store turns away and that goes on with upstreams that leave.
test('a peer tells of upstreams that leave or are new, and brings none back that left', (t) => {
  const { table, changes } = open();
  const other = { ...record, id: 'u2' as UpstreamId, port: 81 };
  table.put(record);
  table.put(other);
  table.loseStore();
  table.hearFromPeer([
    { ...record, state: 'leaving' },
    { ...other, id: 'u3' as UpstreamId },
  ]);
  t.deepEqual(
    table.usable(service).map((upstream) => upstream.id as string),
    ['u2', 'u3'],
  );
  table.hearFromPeer([record]);
  t.is(table.usable(service).length, 2);
  t.deepEqual(changes, ['seen', 'seen', 'leaving', 'seen']);
});

// Guards against instances that each open as many connections as an upstream accepts from all of them.
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
  const first = upstream?.takeConnection();
  t.true(upstream?.hasRoom);
  upstream?.takeConnection();
  t.false(upstream?.hasRoom);
  if (first !== undefined) upstream?.returnConnection(first, true);
  t.true(upstream?.hasRoom);
  upstream?.takeConnection();
  instances = 3;
  await clock.advance(250);
  t.true(upstream?.hasRoom);
});

// Guards against a restarted upstream that stays subject to the limit of its previous run.
test('the limit of an upstream is dropped when the upstream restarts', (t) => {
  const { table } = open();
  table.put(record);
  const stated = { requestsPerSecond: 1, sentMs: 0, receivedMs: 0 };
  table.get(id)?.limit.update(stated);
  t.false(table.get(id)?.hasRoom);
  table.put({ ...record, startedAtMs: 2_000 });
  t.true(table.get(id)?.hasRoom);
});
