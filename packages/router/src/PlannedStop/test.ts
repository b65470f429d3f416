import test from 'ava';
import { createLog, ManualClock, Metrics, type InstanceId } from '@acaciacrank/base';
import { FleetRpc, Membership, NoFleetLinks } from '@acaciacrank/fleet';
import { PlannedStop } from './index.js';

function createStop(openRequests: () => number, closeGrants = () => Promise.resolve()) {
  const clock = new ManualClock();
  const metrics = new Metrics();
  const log = createLog('test', { level: 'fatal' });
  const links = new NoFleetLinks();
  const membership = new Membership({
    clock,
    metrics,
    log,
    links,
    random: () => 0.5,
    rpc: new FleetRpc({ links, clock }),
    self: { id: 'a' as InstanceId, life: 'one', failureDomain: '' as never },
    configurationVersion: () => 0,
  });
  const options = {
    clock,
    log,
    metrics,
    membership,
    openRequests,
    openWork: openRequests,
    closeGrants,
  };
  return { clock, metrics, membership, stop: new PlannedStop(options) };
}

test('accepts requests until directory answers have expired, then refuses them, then ends', async (t) => {
  let openRequests = 1;
  const { clock, membership, stop } = createStop(() => openRequests);
  const stopped = stop.run(60_000);
  t.is(membership.self.state, 'leaving');
  await clock.advance(5_000);
  t.true(stop.isAccepting);
  await clock.advance(5_000);
  t.deepEqual([stop.phase, stop.isAccepting], ['refusing', false]);
  openRequests = 0;
  t.deepEqual(await clock.runUntil(stopped), { cutOffRequests: 0 });
  t.deepEqual([stop.phase, membership.self.state], ['ended', 'left']);
});

// Guards against a stop that never ends because of a stream that hangs.
test('the time limit ends the stop and counts the requests cut off', async (t) => {
  const { clock, metrics, stop } = createStop(() => 3);
  const stopped = stop.run(20_000);
  t.deepEqual(await clock.runUntil(stopped, 30_000), { cutOffRequests: 3 });
  t.is(metrics.counter('requestsCutOff'), 3);
});

// Guards against a stop that hangs while the platform's store is down and grants cannot be returned.
// The stop need not wait, since grants become available again when they expire.
test('an unavailable store does not delay the stop', async (t) => {
  const { clock, stop } = createStop(
    () => 0,
    () => new Promise(() => undefined),
  );
  t.deepEqual(await clock.runUntil(stop.run(600_000), 15_000), { cutOffRequests: 0 });
});

test('a second call returns the promise of the first', async (t) => {
  const { clock, stop } = createStop(() => 0);
  t.is(stop.run(60_000), stop.run(1));
  await clock.runUntil(stop.run(60_000));
});
