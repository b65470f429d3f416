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
import { WsFleetLinks } from './index.js';

const a = 'a' as InstanceId;
const b = 'b' as InstanceId;
const log = createLog('test', { level: 'fatal' });
const changed = (version: number): FleetMessage => ({ kind: 'configurationChanged', version });

interface End {
  readonly links: WsFleetLinks;
  readonly metrics: Metrics;
  readonly port: number;
  readonly versions: number[];
}

interface EndOptions {
  readonly keys?: string[];
  readonly keyOf?: () => string | undefined;
  readonly environment?: string;
}

async function openEnd(
  owned: DisposableStore,
  clock: ManualClock,
  instanceId: InstanceId,
  { keys = ['first-key'], environment = 'test', keyOf = () => undefined }: EndOptions = {},
): Promise<End> {
  const metrics = new Metrics();
  const random = createRandom(1);
  const options = { instanceId, environment, keys, keyOf, clock, random, metrics, log };
  const links = owned.add(new WsFleetLinks(options));
  const versions: number[] = [];
  links.receive((message) => {
    if (message.kind === 'configurationChanged') versions.push(message.version);
  });
  return { links, metrics, versions, port: await links.listen({ ip: '127.0.0.1', port: 0 }) };
}

/** Lets sockets work, without time passing, until something is so. */
async function eventually(isSo: () => boolean): Promise<void> {
  for (let turn = 0; turn < 100_000; turn += 1) {
    if (isSo()) return;
    await setImmediate();
  }
  throw new Error('it never came to be');
}

function nameEachOther(first: End, second: End, portOfSecond = second.port): void {
  first.links.setPeers([{ id: b, fleetUrl: `ws://127.0.0.1:${portOfSecond}` }]);
  second.links.setPeers([{ id: a, fleetUrl: `ws://127.0.0.1:${first.port}` }]);
}

/** A way between two ends that can lose track of the connections that pass it. */
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
  const forget = () => {
    for (const [near, far] of pairs) {
      near.unpipe(far).resume();
      far.unpipe(near).resume();
    }
  };
  return { port: (server.address() as AddressInfo).port, forget, connections: () => pairs.length };
}

test('messages arrive in order, and an answer goes back over the same connection', async (t) => {
  await using owned = new DisposableStore();
  const clock = new ManualClock();
  const [first, second] = [await openEnd(owned, clock, a), await openEnd(owned, clock, b)];
  first.links.setPeers([{ id: b, fleetUrl: `ws://127.0.0.1:${second.port}` }]);
  for (const version of [1, 2, 3]) first.links.send(b, changed(version));
  await eventually(() => second.versions.length === 3);
  t.deepEqual(second.versions, [1, 2, 3]);
  second.links.send(a, changed(9));
  await eventually(() => first.versions.length === 1);
  t.deepEqual(first.versions, [9]);
});

// Grants stop moving between two instances though both are well. A device between them has lost
// track of their connection: sends vanish without an error, while new connections work.
test('a connection that went silent is found by its pings and replaced', async (t) => {
  await using owned = new DisposableStore();
  const clock = new ManualClock();
  const [first, second] = [await openEnd(owned, clock, a), await openEnd(owned, clock, b)];
  const middlebox = await openMiddlebox(owned, second.port);
  nameEachOther(first, second, middlebox.port);
  first.links.send(b, changed(1));
  await eventually(() => second.versions.length === 1);
  middlebox.forget();
  first.links.send(b, changed(2));
  await clock.advance(5_000);
  t.is(first.metrics.counter('linksSilent'), 1);
  first.links.send(b, changed(3));
  await eventually(() => second.versions.includes(3));
  t.deepEqual(second.versions, [1, 3]);
  t.is(middlebox.connections(), 2);
});

// Someone starts an instance with an old key file. It must get nothing from the fleet, and the
// operators must see why.
test('a peer with a wrong key is refused and counted', async (t) => {
  await using owned = new DisposableStore();
  const clock = new ManualClock();
  const first = await openEnd(owned, clock, a, { keys: ['stolen'] });
  const second = await openEnd(owned, clock, b);
  nameEachOther(first, second);
  first.links.send(b, changed(1));
  await eventually(() => first.metrics.counter('linksRefused', 'wrongKey') === 1);
  second.links.send(a, changed(1));
  await eventually(() => second.metrics.counter('linksRefused', 'wrongKey') === 1);
  t.deepEqual([first.versions, second.versions], [[], []]);
  t.is(first.metrics.counter('linkMessagesSent') + second.metrics.counter('linkMessagesSent'), 0);
});

// The trial environment's settings name a production instance by mistake. Its configuration must
// not leak into the other environment, even though both were given the same key.
test('a peer of another environment is refused and counted', async (t) => {
  await using owned = new DisposableStore();
  const clock = new ManualClock();
  const first = await openEnd(owned, clock, a, { environment: 'trial' });
  const second = await openEnd(owned, clock, b, { environment: 'production' });
  nameEachOther(first, second);
  first.links.send(b, changed(1));
  await eventually(() => second.metrics.counter('linksRefused', 'otherEnvironment') === 1);
  await eventually(() => first.metrics.counter('linkMessagesDropped', 'unreachable') === 1);
  t.deepEqual(second.versions, []);
});

// Operators replace the links' key instance by instance. At no step may two instances be unable to
// speak: first all accept the new key, then all prove with it, then the old one goes.
test('every pair of neighbouring steps of a key rotation can speak', async (t) => {
  const steps = [['old'], ['old', 'new'], ['new', 'old'], ['new']];
  for (let step = 0; step < steps.length - 1; step += 1) {
    for (const [mine, theirs] of [
      [steps[step], steps[step + 1]],
      [steps[step + 1], steps[step]],
    ] as [string[], string[]][]) {
      await using owned = new DisposableStore();
      const clock = new ManualClock();
      const first = await openEnd(owned, clock, a, { keys: mine });
      const second = await openEnd(owned, clock, b, { keys: theirs });
      nameEachOther(first, second);
      first.links.send(b, changed(step));
      await eventually(() => second.versions.length === 1);
      t.deepEqual(second.versions, [step], `${mine.join()} to ${theirs.join()}`);
    }
  }
});

test('what waits for an unreachable peer is bounded, and dropped with a count', async (t) => {
  await using owned = new DisposableStore();
  const first = await openEnd(owned, new ManualClock(), a);
  first.links.setPeers([{ id: b, fleetUrl: 'ws://127.0.0.1:1' }]);
  for (let version = 0; version < 200; version += 1) first.links.send(b, changed(version));
  t.is(first.metrics.counter('linkMessagesDropped', 'queueFull'), 200 - 128);
  await eventually(() => first.metrics.counter('linkMessagesDropped', 'unreachable') === 128);
});

// Each instance draws a key of its own at its start. One that was started again refuses whoever still
// holds the key of its last life, and is reached again once the new key is known.
test('a peer is reached with the key that it has now', async (t) => {
  await using owned = new DisposableStore();
  const clock = new ManualClock();
  let known = 'an older key';
  const first = await openEnd(owned, clock, a, { keys: ['key of a'], keyOf: () => known });
  const second = await openEnd(owned, clock, b, { keys: ['key of b'] });
  first.links.setPeers([{ id: b, fleetUrl: `ws://127.0.0.1:${second.port}` }]);
  first.links.send(b, changed(1));
  await eventually(() => first.metrics.counter('linkMessagesDropped', 'unreachable') > 0);
  t.deepEqual(second.versions, []);
  known = 'key of b';
  await clock.advance(10_000);
  first.links.send(b, changed(2));
  await eventually(() => second.versions.length > 0);
  t.deepEqual(second.versions, [2]);
});
