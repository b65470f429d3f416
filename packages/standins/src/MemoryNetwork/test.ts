import test from 'ava';
import { ManualClock, type InstanceId } from '@acaciacrank/base';
import { FleetRpc } from '@acaciacrank/fleet';
import { MemoryNetwork } from './index.js';

const [a, b, c] = ['a', 'b', 'c'] as [InstanceId, InstanceId, InstanceId];

function connectThree() {
  const clock = new ManualClock();
  const network = new MemoryNetwork({ clock, delayMs: 5 });
  const [first, second, third] = [a, b, c].map(
    (id) => new FleetRpc({ links: network.linksFor(id), clock }),
  ) as [FleetRpc, FleetRpc, FleetRpc];
  second.answer('probe', ({ target }) => ({ kind: 'probe', isReachable: target === c }));
  return { clock, network, first, third };
}

test('a request is answered after one round trip', async (t) => {
  const { clock, first } = connectThree();
  const reply = await clock.runUntil(first.ask(b, { kind: 'probe', target: c }));
  t.true(reply.isReachable);
  t.is(clock.monotonicMs(), 10);
});

test('a request without a handler at the receiver fails after one round trip', async (t) => {
  const { clock, first } = connectThree();
  const pending = clock.runUntil(first.ask(c, { kind: 'probe', target: b }));
  t.like(await t.throwsAsync(pending), { kind: 'peerUnavailable' });
  t.is(clock.monotonicMs(), 10);
});

// Guards against a caller that waits forever because a partition begins while its request is in flight.
test('a partition loses messages in flight until it heals', async (t) => {
  const { clock, network, first, third } = connectThree();
  const pending = first.ask(b, { kind: 'probe', target: c }, { timeoutMs: 300 });
  network.partition([a], [b, c]);
  t.like(await t.throwsAsync(clock.runUntil(pending)), { kind: 'peerUnavailable' });
  t.true((await clock.runUntil(third.ask(b, { kind: 'probe', target: c }))).isReachable);
  network.heal();
  t.true((await clock.runUntil(first.ask(b, { kind: 'probe', target: c }))).isReachable);
});

test('a link that is silent in one direction still delivers in the other', async (t) => {
  const { clock, network, first } = connectThree();
  network.setLossRatio(b, a, 1);
  const pending = clock.runUntil(first.ask(b, { kind: 'probe', target: c }));
  await t.throwsAsync(pending);
  network.restoreLink(a, b);
  t.true((await clock.runUntil(first.ask(b, { kind: 'probe', target: c }))).isReachable);
});
