import type { FeatureId, ServiceName, UpstreamId } from '@acaciacrank/base';
import test from 'ava';
import { QuarantineFleet } from './_lib/QuarantineFleet/index.js';
import { simulateParts } from './_lib/PartSimulation/index.js';
import { calmParts, simulateSuspect } from './index.js';

const calm = { instances: 28, lossRatio: 0, isHomeGone: false, callers: 1 };

// Guards against a request that ends an upstream at each instance that receives it.
test('a request ends three upstreams, whichever instances its caller repeats it at', async (t) => {
  for (const instances of [2, 28, 78]) {
    t.is((await simulateSuspect({ ...calm, instances }, 1)).ends, 3);
  }
});

// Guards against a quarantine that depends on one instance.
test('with the home gone, at most one more upstream ends', async (t) => {
  t.true((await simulateSuspect({ ...calm, isHomeGone: true }, 1)).ends <= 4);
});

// Guards against a quarantine that fails for good with a lost message.
test('a lost message costs one more upstream at most', async (t) => {
  const { ends, lost } = await simulateSuspect({ ...calm, lossRatio: 0.05 }, 1);
  t.true(lost > 0);
  t.true(ends <= 3 + lost, `${ends} ended, ${lost} messages were lost`);
  t.true(ends < 12);
});

// Guards against a cost of upstreams that end which grows with the square of the fleet.
test('the messages grow with the number of instances, not with its square', async (t) => {
  const { messages: few } = await simulateSuspect({ ...calm, instances: 28 }, 1);
  const { messages: many } = await simulateSuspect({ ...calm, instances: 280 }, 1);
  t.true(many <= 10 * few, `${few} messages at 28 instances, ${many} at 280`);
});

// Guards against a part that ends upstreams in one request after the other, at whichever instances.
test('a part ends eight upstreams at most, and sound requests are served', async (t) => {
  for (const instances of [2, 28, 78]) {
    const result = await simulateParts({ ...calmParts, instances }, 1);
    t.true(result.mostEnds <= 8, `${result.mostEnds} ended at ${instances} instances`);
    t.is(result.lateSends, 0);
    t.true(result.soundRefused <= 0.05 * result.sound);
    t.is(result.soundRefusedLate, 0);
  }
});

// Guards against a sound part that is blamed instead, or with which the deadly one is blamed only.
test('a part in twenty requests a second is found, and no sound one is refused', async (t) => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const result = await simulateParts({ ...calmParts, deadlyPerSecond: 20 }, seed);
    t.is(result.lateSends, 0, `seed ${seed}`);
    t.is(result.soundRefusedLate, 0, `seed ${seed}`);
    t.true(result.soundRefused <= 0.05 * result.sound, `seed ${seed}`);
  }
});

// Guards against parts of which each excuses the other.
test('three parts at the same time are all found', async (t) => {
  const result = await simulateParts({ ...calmParts, parts: 3 }, 1);
  t.true(result.mostEnds <= 8, `${result.mostEnds} ended`);
  t.not(result.blamedMs, undefined);
});

// Guards against blame of what requests share for crashes by themselves.
test('crashes without a cause refuse no request', async (t) => {
  const alone = { ...calmParts, parts: 0, deadlyPerSecond: 0, crashesPerSecond: 1.4 };
  t.is((await simulateParts(alone, 1)).soundRefused, 0);
});

// Guards against a cost of each crash that grows with the square of the fleet.
test('the messages for a deadly part grow with the number of instances', async (t) => {
  const few = await simulateParts({ ...calmParts, instances: 28 }, 1);
  const many = await simulateParts({ ...calmParts, instances: 280 }, 1);
  t.true(many.messages <= 10 * few.messages, `${few.messages}, then ${many.messages} messages`);
});

const service = 'tutor' as ServiceName;

/** Sends a deadly request through an instance, as one that ran apart if that is granted; returns what became of it. */
async function sendDeadly(
  fleet: QuarantineFleet,
  index: number,
  upstream: string,
): Promise<string> {
  const instance = fleet.instances[index];
  if (instance === undefined) return 'no instance';
  const { quarantine } = instance;
  const upstreamId = upstream as UpstreamId;
  const features = { service, parts: [], content: 'deadly' as FeatureId, known: [] };
  const deadlineMs = fleet.clock.monotonicMs() + 2_000;
  const question = { features, candidates: () => [upstreamId], deadlineMs };
  const admitting = quarantine.isSuspect(features)
    ? quarantine.admit(question)
    : Promise.resolve(undefined);
  const result = await fleet.clock.runUntil(
    admitting.catch((error: unknown) => (error as { kind: string }).kind),
  );
  if (typeof result === 'string') return result;
  const sentMs = fleet.clock.monotonicMs();
  const crash = { features, upstreamId, sentMs, lostMs: sentMs + 10, hasLivedOn: false };
  await fleet.clock.advance(10);
  await fleet.clock.runUntil(quarantine.recordCrash(crash));
  result?.finish(false);
  await fleet.clock.advance(500);
  return 'ended';
}

// Guards against homes that start again without what was reported to those that took their place.
test('homes that start again know the crashes that were reported meanwhile', async (t) => {
  using fleet = new QuarantineFleet(5);
  const homes = fleet.instances[0]?.quarantine.homesOf(service) ?? [];
  const others = fleet.instances.flatMap(({ id }, index) => (homes.includes(id) ? [] : [index]));
  const [first = 0, second = 0, third = 0] = others;
  for (const home of homes) fleet.end(home);
  t.is(await sendDeadly(fleet, first, 'u1'), 'ended');
  t.is(await sendDeadly(fleet, second, 'u2'), 'ended');
  for (const home of homes) fleet.begin(home);
  await fleet.clock.advance(100);
  t.is(await sendDeadly(fleet, third, 'u3'), 'ended');
  for (const index of others) t.is(await sendDeadly(fleet, index, 'u4'), 'requestQuarantined');
  for (const { id, quarantine } of fleet.instances)
    if (homes.includes(id)) t.is(quarantine.suspects.crashCount(service), 3);
});
