import test from 'ava';
import {
  createLog,
  createRandom,
  DisposableStore,
  ManualClock,
  Metrics,
  type InstanceId,
} from '@acaciacrank/base';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import type { FleetMessage } from '../types.js';
import { decodeMessage, encodeFrame } from '../encodeMessage/index.js';
import { WsFleetLinks } from './index.js';

const a = 'a' as InstanceId;
const b = 'b' as InstanceId;
const log = createLog('test', { level: 'fatal' });
const configurationChanged = (version: number): FleetMessage => ({
  kind: 'configurationChanged',
  version,
});

interface Endpoint {
  readonly links: WsFleetLinks;
  readonly metrics: Metrics;
  readonly port: number;
  readonly versions: number[];
}

interface EndpointOptions {
  readonly keys?: string[];
  readonly keyOf?: () => string | undefined;
  readonly environment?: string;
}

async function openEndpoint(
  owned: DisposableStore,
  clock: ManualClock,
  instanceId: InstanceId,
  { keys = ['first-key'], environment = 'test', keyOf = () => undefined }: EndpointOptions = {},
): Promise<Endpoint> {
  const metrics = new Metrics();
  const random = createRandom(1);
  const options = { instanceId, environment, keys, keyOf, clock, random, metrics, log };
  const links = owned.add(new WsFleetLinks(options));
  const versions: number[] = [];
  links.subscribe((message) => {
    if (message.kind === 'configurationChanged') versions.push(message.version);
  });
  return { links, metrics, versions, port: await links.listen({ ip: '127.0.0.1', port: 0 }) };
}

/** Processes socket events, without advancing the clock, until a condition is met. */
async function waitUntil(isMet: () => boolean): Promise<void> {
  for (let turn = 0; turn < 100_000; turn += 1) {
    if (isMet()) return;
    await setImmediate();
  }
  throw new Error('the condition was not met in time');
}

function setPeersOfBoth(first: Endpoint, second: Endpoint, portOfSecond = second.port): void {
  first.links.setPeers([{ id: b, fleetUrl: `ws://127.0.0.1:${portOfSecond}` }]);
  second.links.setPeers([{ id: a, fleetUrl: `ws://127.0.0.1:${first.port}` }]);
}

/** A TCP proxy that can silently stop forwarding the data of its connections. */
async function openMiddlebox(owned: DisposableStore, toPort: number) {
  const pairs: (readonly [Socket, Socket])[] = [];
  const server = createServer((near) => {
    const far = connect(toPort, '127.0.0.1');
    near.pipe(far);
    far.pipe(near);
    pairs.push([near, far]);
    near.on('error', () => undefined);
    far.on('error', () => undefined);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  owned.add({
    [Symbol.dispose]: () => {
      server.close();
      for (const socket of pairs.flat()) socket.destroy();
    },
  });
  const dropPackets = () => {
    for (const [near, far] of pairs) {
      near.unpipe(far).resume();
      far.unpipe(near).resume();
    }
  };
  return {
    port: (server.address() as AddressInfo).port,
    dropPackets,
    connections: () => pairs.length,
  };
}

test('messages arrive in order, and a reply uses the same connection', async (t) => {
  await using owned = new DisposableStore();
  const clock = new ManualClock();
  const [first, second] = [
    await openEndpoint(owned, clock, a),
    await openEndpoint(owned, clock, b),
  ];
  first.links.setPeers([{ id: b, fleetUrl: `ws://127.0.0.1:${second.port}` }]);
  for (const version of [1, 2, 3]) first.links.send(b, configurationChanged(version));
  await waitUntil(() => second.versions.length === 3);
  t.deepEqual(second.versions, [1, 2, 3]);
  second.links.send(a, configurationChanged(9));
  await waitUntil(() => first.versions.length === 1);
  t.deepEqual(first.versions, [9]);
});

// A device on the path between two healthy instances drops its state for their connection:
// messages, such as transfers of grants, are lost without an error, while new connections work.
test('a connection that stops delivering is detected by pings and replaced', async (t) => {
  await using owned = new DisposableStore();
  const clock = new ManualClock();
  const [first, second] = [
    await openEndpoint(owned, clock, a),
    await openEndpoint(owned, clock, b),
  ];
  const middlebox = await openMiddlebox(owned, second.port);
  setPeersOfBoth(first, second, middlebox.port);
  first.links.send(b, configurationChanged(1));
  await waitUntil(() => second.versions.length === 1);
  middlebox.dropPackets();
  first.links.send(b, configurationChanged(2));
  await clock.advance(5_000);
  t.is(first.metrics.counter('linksSilent'), 1);
  first.links.send(b, configurationChanged(3));
  await waitUntil(() => second.versions.includes(3));
  t.deepEqual(second.versions, [1, 3]);
  t.is(middlebox.connections(), 2);
});

// An instance started with an outdated key file must not receive any messages, and the reason must
// be visible to operators.
test('a peer with a wrong key is refused and counted', async (t) => {
  await using owned = new DisposableStore();
  const clock = new ManualClock();
  const first = await openEndpoint(owned, clock, a, { keys: ['stolen'] });
  const second = await openEndpoint(owned, clock, b);
  setPeersOfBoth(first, second);
  first.links.send(b, configurationChanged(1));
  await waitUntil(() => first.metrics.counter('linksRefused', 'wrongKey') === 1);
  second.links.send(a, configurationChanged(1));
  await waitUntil(() => second.metrics.counter('linksRefused', 'wrongKey') === 1);
  t.deepEqual([first.versions, second.versions], [[], []]);
  t.is(first.metrics.counter('linkMessagesSent') + second.metrics.counter('linkMessagesSent'), 0);
});

// The settings of a trial environment contain a production instance by mistake. The configuration
// must not leak into the other environment, even if both use the same key.
test('a peer of another environment is refused and counted', async (t) => {
  await using owned = new DisposableStore();
  const clock = new ManualClock();
  const first = await openEndpoint(owned, clock, a, { environment: 'trial' });
  const second = await openEndpoint(owned, clock, b, { environment: 'production' });
  setPeersOfBoth(first, second);
  first.links.send(b, configurationChanged(1));
  await waitUntil(() => second.metrics.counter('linksRefused', 'otherEnvironment') === 1);
  await waitUntil(() => first.metrics.counter('linkMessagesDropped', 'unreachable') === 1);
  t.deepEqual(second.versions, []);
});

// Operators rotate the link key one instance at a time, so two consecutive steps are in use at
// once: first all instances accept the new key, then all use it for proofs, then the old one is
// removed.
test('instances at consecutive steps of a key rotation can communicate', async (t) => {
  const steps = [['old'], ['old', 'new'], ['new', 'old'], ['new']];
  for (let step = 0; step < steps.length - 1; step += 1) {
    for (const [mine, theirs] of [
      [steps[step], steps[step + 1]],
      [steps[step + 1], steps[step]],
    ] as [string[], string[]][]) {
      await using owned = new DisposableStore();
      const clock = new ManualClock();
      const first = await openEndpoint(owned, clock, a, { keys: mine });
      const second = await openEndpoint(owned, clock, b, { keys: theirs });
      setPeersOfBoth(first, second);
      first.links.send(b, configurationChanged(step));
      await waitUntil(() => second.versions.length === 1);
      t.deepEqual(second.versions, [step], `${mine.join()} to ${theirs.join()}`);
    }
  }
});

test('the queue for an unreachable peer is bounded, and dropped messages counted', async (t) => {
  await using owned = new DisposableStore();
  const first = await openEndpoint(owned, new ManualClock(), a);
  first.links.setPeers([{ id: b, fleetUrl: 'ws://127.0.0.1:1' }]);
  for (let version = 0; version < 200; version += 1)
    first.links.send(b, configurationChanged(version));
  t.is(first.metrics.counter('linkMessagesDropped', 'queueFull'), 200 - 128);
  await waitUntil(() => first.metrics.counter('linkMessagesDropped', 'unreachable') === 128);
});

// Each instance generates its own key when it starts. After a restart it refuses peers that still
// use its previous key, and is reachable again once they have read the new one.
test('a restarted peer is reachable once its new key is known', async (t) => {
  await using owned = new DisposableStore();
  const clock = new ManualClock();
  let knownKey = 'an older key';
  const first = await openEndpoint(owned, clock, a, { keys: ['key of a'], keyOf: () => knownKey });
  const second = await openEndpoint(owned, clock, b, { keys: ['key of b'] });
  first.links.setPeers([{ id: b, fleetUrl: `ws://127.0.0.1:${second.port}` }]);
  first.links.send(b, configurationChanged(1));
  await waitUntil(() => first.metrics.counter('linkMessagesDropped', 'unreachable') > 0);
  t.deepEqual(second.versions, []);
  knownKey = 'key of b';
  await clock.advance(10_000);
  first.links.send(b, configurationChanged(2));
  await waitUntil(() => second.versions.length > 0);
  t.deepEqual(second.versions, [2]);
});

// Guards against an instance that stood still, and closes its links before it has read what came over them.
test('a connection is kept when this process stood still', async (t) => {
  await using owned = new DisposableStore();
  const clock = new ManualClock();
  const [first, second] = [
    await openEndpoint(owned, clock, a),
    await openEndpoint(owned, clock, b),
  ];
  setPeersOfBoth(first, second);
  first.links.send(b, configurationChanged(1));
  await waitUntil(() => second.versions.length === 1);
  clock.pause(5_000);
  await clock.advance(100);
  t.is(first.metrics.counter('linksSilent') + second.metrics.counter('linksSilent'), 0);
});

// Guards against a value of the store that ends the process of each instance that passes it on.
test('a message that cannot be encoded is dropped and counted', async (t) => {
  const owned = new DisposableStore();
  const { links, metrics } = await openEndpoint(owned, new ManualClock(), a);
  const value: unknown = JSON.parse('['.repeat(100_000) + ']'.repeat(100_000));
  const change = { key: 'k', revision: 1, object: { key: 'k', version: 1, value } };
  const reply = {
    kind: 'storeChanges' as const,
    isCurrent: true,
    changes: [change],
    revision: 1,
  };
  t.notThrows(() => {
    links.send(b, { kind: 'reply', askId: 1, reply });
  });
  t.is(metrics.counter('linkMessagesDropped', 'unencodable'), 1);
  await owned.dispose();
});

// Guards against one odd record of a peer that hides all others from an instance without the store.
test('an odd record among those of a peer is left out', (t) => {
  const record = {
    id: 'u1',
    service: 'app',
    ip: '10.0.0.1',
    port: 80,
    failureDomain: 'z',
    slots: 4,
    state: 'live',
  };
  const odd = [{ ...record, port: 70_000 }, { ...record, slots: Infinity }, null, 'text', {}];
  const reply = { kind: 'upstreams', isCurrent: true, records: [...odd, record] };
  const message = decodeMessage(encodeFrame({ kind: 'reply', askId: 1, reply }));
  t.like(message, { reply: { records: [record] } });
});

/** Opens a connection as a stranger does, up to the end of the WebSocket's handshake. */
async function connectStranger(port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  const fields = 'Upgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n';
  const key = 'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n';
  socket.write(`GET / HTTP/1.1\r\nHost: h\r\n${fields}${key}\r\n`);
  await new Promise((resolve) => socket.once('data', resolve));
  socket.resume();
  return socket;
}

// Guards against memory that strangers take before they have shown any proof.
test('a stranger may send little, and many strangers do not keep a peer away', async (t) => {
  const owned = new DisposableStore();
  const clock = new ManualClock();
  const first = await openEndpoint(owned, clock, a);
  const second = await openEndpoint(owned, clock, b);
  const loud = await connectStranger(second.port);
  const mask = Buffer.alloc(4);
  const header = Buffer.from([0x82, 0xff, 0, 0, 0, 0, 0, 0x10, 0, 0]);
  let isClosed = false;
  loud.once('close', () => {
    isClosed = true;
  });
  loud.write(Buffer.concat([header, mask, Buffer.alloc(60_000)]));
  await waitUntil(() => isClosed);
  const strangers: Socket[] = [];
  for (let count = 0; count < 40; count += 1) strangers.push(await connectStranger(second.port));
  setPeersOfBoth(first, second);
  first.links.send(b, configurationChanged(7));
  await waitUntil(() => second.versions.length > 0);
  t.deepEqual(second.versions, [7]);
  for (const stranger of strangers) stranger.destroy();
  await owned.dispose();
});
