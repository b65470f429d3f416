import test from 'ava';
import {
  ManualClock,
  type FailureDomainId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import type { UpstreamRecord, UpstreamStatement } from '../../types.js';
import { UpstreamTable } from '../../UpstreamTable/index.js';
import type { UpstreamChange } from '../UpstreamChange/index.js';

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
  version: 5,
};
const nothing: UpstreamStatement = {
  load: undefined,
  limitPerS: undefined,
  warmUpMs: undefined,
  isLeaving: false,
  backoffMs: undefined,
  maxRefusalsPerS: undefined,
};

function setUp() {
  const clock = new ManualClock();
  const changes: UpstreamChange[] = [];
  const table = new UpstreamTable({ clock, onChange: (change) => changes.push(change) });
  table.put(record);
  const hear = (statement: Partial<UpstreamStatement>) => {
    const upstream = table.get(id);
    if (upstream === undefined) return;
    const receivedMs = clock.monotonicMs();
    const times = { sentMs: receivedMs - 20, receivedMs, isSigned: true };
    table.applyStatement(upstream, { statement: { ...nothing, ...statement }, ...times });
  };
  const isUsed = () => table.usable(service).length > 0;
  return { clock, table, changes, hear, isUsed };
}

// Guards against a line without its source, and against one line for each response.
test('the first response that says so makes an upstream leave', (t) => {
  const { changes, hear, isUsed } = setUp();
  hear({ isLeaving: true });
  hear({ isLeaving: true });
  t.false(isUsed());
  const [, leaving, ...rest] = changes;
  t.like(leaving, { what: 'leaving', source: 'response', maxAgeMs: 20 });
  t.deepEqual(rest, []);
});

// Guards against a record that was written before the upstream said that it leaves, from the store or a peer.
test('neither a record nor a later response brings back a run that said that it leaves', (t) => {
  const { table, hear, isUsed } = setUp();
  hear({ isLeaving: true });
  hear({});
  table.put({ ...record, version: 6, slots: 8 });
  table.mergeFromPeer([record]);
  table.replaceAll([record]);
  t.false(isUsed());
});

// Guards against a run that is used again since its record expired in an outage of the store and returned.
test('a run that said that it leaves stays out of use when its record comes back', async (t) => {
  const { clock, table, hear, isUsed } = setUp();
  hear({ isLeaving: true });
  table.markStoreUnavailable();
  table.remove(id);
  table.markStoreAvailable();
  await clock.advance(3_000);
  t.is(table.get(id), undefined);
  table.put({ ...record, version: 9 });
  t.false(isUsed());
});

// Guards against an upstream that is never used again after a restart.
test('the next run is not leaving, at the same address or another', (t) => {
  const { table, hear, isUsed } = setUp();
  hear({ isLeaving: true });
  table.put({ ...record, startedAtMs: 2_000 });
  t.true(isUsed());
  hear({ isLeaving: true });
  table.put({ ...record, startedAtMs: 2_000, port: 81 });
  t.true(isUsed());
});
