import test from 'ava';
import { ManualClock, type UpstreamId } from '@acaciacrank/base';
import { UpstreamReach } from './index.js';

const one = 'u1' as UpstreamId;
const two = 'u2' as UpstreamId;

function createReach() {
  const clock = new ManualClock();
  return { clock, reach: new UpstreamReach(clock) };
}

// Guards against an instance that holds it against one upstream after the other that it is cut off itself.
test('several upstreams that take no connection raise a doubt, and one alone does not', (t) => {
  const { reach } = createReach();
  reach.recordConnectFailed(one);
  reach.recordConnectFailed(one);
  t.is(reach.state, 'reached');
  reach.recordConnectFailed(two);
  t.is(reach.state, 'inDoubt');
  reach.recordConnected();
  t.is(reach.state, 'reached');
});

// Guards against waiting for connections that hang; nothing shows that they do but the silence of all.
test('silence of several upstreams raises a doubt soon, and of a single one late', async (t) => {
  const { reach, clock } = createReach();
  reach.recordSent(one);
  await clock.advance(1_900);
  t.is(reach.state, 'reached');
  await clock.advance(100);
  t.is(reach.state, 'inDoubt');
  reach.recordReceived();
  reach.recordSent(one);
  reach.recordSent(two);
  await clock.advance(290);
  t.is(reach.state, 'reached');
  await clock.advance(10);
  t.is(reach.state, 'inDoubt');
});

// Guards against an instance that takes long requests for a cut, and probes all the time.
test('a successful probe answers doubts for a while', async (t) => {
  const { reach, clock } = createReach();
  reach.recordConnectFailed(one);
  reach.recordConnectFailed(two);
  t.false(reach.recordProbes(true));
  reach.recordConnectFailed(one);
  reach.recordConnectFailed(two);
  t.is(reach.state, 'reached');
  await clock.advance(2_000);
  t.is(reach.state, 'inDoubt');
});

// Guards against a link that is established and lost again and again: each return would lose the requests that are sent at once.
test('upstreams are reached again after two successful rounds of probes in a row', (t) => {
  const { reach } = createReach();
  t.true(reach.recordProbes(false));
  t.is(reach.state, 'unreached');
  t.false(reach.recordProbes(true));
  t.false(reach.recordProbes(false));
  t.false(reach.recordProbes(true));
  t.is(reach.state, 'unreached');
  t.true(reach.recordProbes(true));
  t.is(reach.state, 'reached');
});

// Guards against an instance that stood still, and takes the time of its pause for silence of all upstreams.
test('time in which the process stood still is no silence', async (t) => {
  const { reach, clock } = createReach();
  reach.recordSent(one);
  reach.recordSent(two);
  await clock.advance(100);
  clock.pause(1_500);
  t.is(reach.state, 'reached');
  await clock.advance(199);
  t.is(reach.state, 'reached');
  await clock.advance(1);
  t.is(reach.state, 'inDoubt');
});
