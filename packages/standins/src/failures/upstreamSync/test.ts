/**
 * An instance that cannot reach the store reads upstreams from its peers.
 */
import test from 'ava';
import {
  createLog,
  createRandom,
  ManualClock,
  Metrics,
  type FailureDomainId,
  type InstanceId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import { FleetRpc } from '@acaciacrank/fleet';
import {
  DomainDrains,
  PeerUpstreamSync,
  UpstreamTable,
  type UpstreamRecord,
} from '@acaciacrank/forwarding';
import { MemoryNetwork } from '../../MemoryNetwork/index.js';

const service = 'lm' as ServiceName;
const ids = ['a', 'b', 'c'] as InstanceId[];

function recordOf(id: string, state: UpstreamRecord['state']): UpstreamRecord {
  const failureDomain = 'here' as FailureDomainId;
  return {
    id: id as UpstreamId,
    service,
    ip: '10.0.0.1',
    port: 80,
    failureDomain,
    slots: 6,
    state,
  };
}

function setUp() {
  const clock = new ManualClock();
  const network = new MemoryNetwork({ clock });
  const random = createRandom(1);
  const nodes = ids.map((id) => {
    const links = network.linksFor(id);
    const rpc = new FleetRpc({ links, clock });
    const table = new UpstreamTable({ clock, onChange: () => undefined });
    table.replaceAll([recordOf('u1', 'live'), recordOf('u2', 'live')]);
    const log = createLog('drains', { level: 'fatal' });
    const drains = new DomainDrains({
      clock,
      table,
      services: () => [service],
      log,
      metrics: new Metrics(),
    });
    drains.replaceAll([]);
    const state = { isStoreUnavailable: false };
    const sync = new PeerUpstreamSync({
      rpc,
      clock,
      random,
      table,
      drains,
      isStoreUnavailable: () => state.isStoreUnavailable,
      peers: () => ids.filter((other) => other !== id),
    });
    void sync.run();
    const usableIds = () => table.usable(service).map((upstream) => upstream.id as string);
    return { links, table, drains, state, usableIds };
  });
  const [a, b, c] = nodes as [(typeof nodes)[0], (typeof nodes)[0], (typeof nodes)[0]];
  return { clock, a, b, c };
}

// Guards against requests to an upstream that is leaving, from the one instance that cannot reach the
// store.
test('an instance without the store learns from a peer which upstreams are leaving', async (t) => {
  const { clock, a, b, c } = setUp();
  a.state.isStoreUnavailable = true;
  a.table.markStoreUnavailable();
  for (const { table } of [b, c]) table.put(recordOf('u1', 'leaving'));
  for (const { table } of [b, c]) table.put(recordOf('u3', 'live'));
  await clock.advance(1_500);
  t.deepEqual(a.usableIds(), ['u2', 'u3']);
});

// Guards against requests to a failure domain that was drained while this instance reached no store.
test('an instance without the store learns from a peer which failure domains are drained', async (t) => {
  const { clock, a, b, c } = setUp();
  a.state.isStoreUnavailable = true;
  a.table.markStoreUnavailable();
  for (const { drains } of [b, c]) drains.add('here' as FailureDomainId);
  await clock.advance(1_500);
  t.deepEqual(a.usableIds(), []);
  for (const { drains } of [b, c]) drains.remove('here' as FailureDomainId);
  await clock.advance(1_500);
  t.deepEqual(a.usableIds(), ['u1', 'u2']);
});

// Guards against a drain that ends since a peer has just started and knows of none yet.
test('a peer that has not read the drains ends none', async (t) => {
  const { clock, a, b, c } = setUp();
  a.drains.add('here' as FailureDomainId);
  a.state.isStoreUnavailable = true;
  for (const { drains } of [b, c]) Object.defineProperty(drains, 'isKnown', { value: false });
  await clock.advance(3_000);
  t.deepEqual(a.usableIds(), []);
});

// Guards against trusting the upstreams of a peer that cannot reach the store either.
test('peers that cannot reach the store either provide no upstreams', async (t) => {
  const { clock, a, b, c } = setUp();
  for (const { state, table } of [a, b, c]) {
    state.isStoreUnavailable = true;
    table.markStoreUnavailable();
  }
  b.table.put(recordOf('u1', 'leaving'));
  await clock.advance(10_000);
  t.deepEqual(a.usableIds(), ['u1', 'u2']);
});

// Guards against needless calls between instances while the store is available.
test('an instance that reaches the store calls no peer', async (t) => {
  const { clock, a } = setUp();
  await clock.advance(10_000);
  t.is(a.links.traffic.sentMessages, 0);
});
