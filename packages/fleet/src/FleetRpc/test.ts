import test from 'ava';
import { ManualClock, type InstanceId } from '@acaciacrank/base';
import { FleetLinks } from '../FleetLinks/index.js';
import type { FleetMessage } from '../types.js';
import { FleetRpc } from './index.js';

const peer = 'b' as InstanceId;

/** Links whose peer replies when the test says so. */
class ManualLinks extends FleetLinks {
  override send(): void {
    // The test replies.
  }

  override setPeers(): void {
    // There is one peer.
  }

  receive(message: FleetMessage): void {
    this.deliver(message, peer);
  }
}

// Guards against an instance that stood still, and takes a peer for unreachable whose reply it has not read.
test('a reply that came while this process stood still is read', async (t) => {
  const clock = new ManualClock();
  const links = new ManualLinks();
  using rpc = new FleetRpc({ clock, links });
  const reply = rpc.ask(peer, { kind: 'probe', target: peer }, { timeoutMs: 300 });
  await clock.advance(100);
  clock.pause(1_500);
  await clock.advance(10);
  links.receive({ kind: 'reply', askId: 1, reply: { kind: 'probe', isReachable: true } });
  t.true((await reply).isReachable);
});

test('a peer that does not reply in time is unavailable', async (t) => {
  const clock = new ManualClock();
  using rpc = new FleetRpc({ clock, links: new ManualLinks() });
  const reply = rpc.ask(peer, { kind: 'probe', target: peer }, { timeoutMs: 300 });
  const failed = t.throwsAsync(reply, { message: /did not answer within 300 ms/ });
  await clock.advance(300);
  await failed;
});
