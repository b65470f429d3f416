/**
 * What an instance that the store turns away learns of upstreams from its peers.
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
import { MemoryFleet } from '../../MemoryFleet/index.js';

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

function open() {
  const clock = new ManualClock();
  const network = new MemoryFleet({ clock });
  const random = createRandom(1);
  const nodes = ids.map((id) => {
    const links = network.linksFor(id);
    const rpc = new FleetRpc({ links, clock });
    const table = new UpstreamTable({ clock, onChange: () => undefined });
    table.replaceAll([recordOf('u1', 'live'), recordOf('u2', 'live')]);
    const state = { isAway: false };
    const spread = new PeerUpstreamSync({
      rpc,
      clock,
      random,
      table,
      isStoreUnavailable: () => state.isAway,
      peers: () => ids.filter((other) => other !== id),
    });
    void spread.run();
    const usable = () => table.usable(service).map((upstream) => upstream.id as string);
    return { links, table, state, usable };
  });
  const [a, b, c] = nodes as [(typeof nodes)[0], (typeof nodes)[0], (typeof nodes)[0]];
  return { clock, a, b, c };
}

// Guards against requests that go on to an upstream that leaves, at the one instance that the store
// turns away.
test('an instance that the store turns away learns from a peer which upstreams leave', async (t) => {
  const { clock, a, b, c } = open();
  a.state.isAway = true;
  a.table.markStoreUnavailable();
  for (const { table } of [b, c]) table.put(recordOf('u1', 'leaving'));
  for (const { table } of [b, c]) table.put(recordOf('u3', 'live'));
  await clock.advance(1_500);
  t.deepEqual(a.usable(), ['u2', 'u3']);
});

// Guards against believing a peer that knows no better.
test('peers that the store does not answer either tell nothing', async (t) => {
  const { clock, a, b, c } = open();
  for (const { state, table } of [a, b, c]) {
    state.isAway = true;
    table.markStoreUnavailable();
  }
  b.table.put(recordOf('u1', 'leaving'));
  await clock.advance(10_000);
  t.deepEqual(a.usable(), ['u1', 'u2']);
});

// Guards against calls between instances on a day without trouble.
test('an instance that the store answers asks no peer', async (t) => {
  const { clock, a } = open();
  await clock.advance(10_000);
  t.is(a.links.traffic.sentMessages, 0);
});
