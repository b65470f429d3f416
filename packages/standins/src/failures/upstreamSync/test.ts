/**
 * An instance that cannot reach the store reads upstreams from its peers.
 */
import test from 'ava';
import {
  createRandom,
  ManualClock,
  type FailureDomainId,
  type InstanceId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import { FleetRpc } from '@acaciacrank/fleet';
import { PeerUpstreamSync, UpstreamTable, type UpstreamRecord } from '@acaciacrank/forwarding';
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
    const state = { isStoreUnavailable: false };
    const sync = new PeerUpstreamSync({
      rpc,
      clock,
      random,
      table,
      isStoreUnavailable: () => state.isStoreUnavailable,
      peers: () => ids.filter((other) => other !== id),
    });
    void sync.run();
    const usableIds = () => table.usable(service).map((upstream) => upstream.id as string);
    return { links, table, state, usableIds };
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
