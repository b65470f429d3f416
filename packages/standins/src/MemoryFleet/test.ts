import test from 'ava';
import { ManualClock, type InstanceId } from '@acaciacrank/base';
import { FleetRpc } from '@acaciacrank/fleet';
import { MemoryFleet } from './index.js';

const [a, b, c] = ['a', 'b', 'c'] as [InstanceId, InstanceId, InstanceId];

function openThree() {
  const clock = new ManualClock();
  const network = new MemoryFleet({ clock, delayMs: 5 });
  const [first, second, third] = [a, b, c].map(
    (id) => new FleetRpc({ links: network.linksFor(id), clock }),
  ) as [FleetRpc, FleetRpc, FleetRpc];
  second.answer('probe', ({ target }) => ({ kind: 'probe', isReachable: target === c }));
  return { clock, network, first, third };
}

test('a question is answered after a round trip', async (t) => {
  const { clock, first } = openThree();
  const reply = await clock.runUntil(first.ask(b, { kind: 'probe', target: c }));
  t.true(reply.isReachable);
  t.is(clock.monotonicMs(), 10);
});

test('a question that nobody answers there fails at once', async (t) => {
  const { clock, first } = openThree();
  const asked = clock.runUntil(first.ask(c, { kind: 'probe', target: b }));
  t.like(await t.throwsAsync(asked), { kind: 'peerUnavailable' });
  t.is(clock.monotonicMs(), 10);
});

// Two instances lose each other while a question is under way. Who asked must not wait for ever.
test('a partition between chosen instances loses what is under way, until it heals', async (t) => {
  const { clock, network, first, third } = openThree();
  const asked = first.ask(b, { kind: 'probe', target: c }, { timeoutMs: 300 });
  network.partition([a], [b, c]);
  t.like(await t.throwsAsync(clock.runUntil(asked)), { kind: 'peerUnavailable' });
  t.true((await clock.runUntil(third.ask(b, { kind: 'probe', target: c }))).isReachable);
  network.heal();
  t.true((await clock.runUntil(first.ask(b, { kind: 'probe', target: c }))).isReachable);
});

test('a link that is silent one way still carries the other', async (t) => {
  const { clock, network, first } = openThree();
  network.lose(b, a, 1);
  const asked = clock.runUntil(first.ask(b, { kind: 'probe', target: c }));
  await t.throwsAsync(asked);
  network.mend(a, b);
  t.true((await clock.runUntil(first.ask(b, { kind: 'probe', target: c }))).isReachable);
});
