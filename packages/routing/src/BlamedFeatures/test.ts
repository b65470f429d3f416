import test from 'ava';
import { ManualClock, type FeatureId, type ServiceName } from '@acaciacrank/base';
import { BlamedFeatures } from './index.js';

const service = 'lm' as ServiceName;
const features = (...names: string[]) => names as FeatureId[];

function blame(...names: string[]) {
  return { service, features: features(...names), crashCount: 3, sinceMs: 0 };
}

test('a request with all blamed features is found, one with some is not', (t) => {
  const blamed = new BlamedFeatures(new ManualClock());
  t.true(blamed.add(blame('a', 'dd')));
  t.false(blamed.add(blame('dd', 'a')));
  t.deepEqual(blamed.find(service, features('dd', 'b', 'a'))?.features, features('a', 'dd'));
  t.is(blamed.find(service, features('a', 'b')), undefined);
  t.is(blamed.find('other' as ServiceName, features('a', 'dd')), undefined);
});

test('an answer clears what it shows to be sound', (t) => {
  const blamed = new BlamedFeatures(new ManualClock());
  blamed.add(blame('a', 'dd'));
  blamed.clearSound(service, features('a', 'b'));
  t.is(blamed.size, 1);
  blamed.clearSound(service, features('a', 'b', 'dd'));
  t.is(blamed.size, 0);
});

// Guards against a command that has no effect, since peers report once more what they have not lifted yet.
test('what an operator lifts is not taken from peers again for a minute', async (t) => {
  const clock = new ManualClock();
  const blamed = new BlamedFeatures(clock);
  blamed.add(blame('dd'));
  blamed.lift(service, features('dd'));
  t.false(blamed.add(blame('dd')));
  t.is(blamed.size, 0);
  await clock.advance(60_000);
  t.true(blamed.add(blame('dd')));
});

// Guards against blame for good, and against forgetting a part while requests with it still arrive.
test('blame ends an hour after the last request', async (t) => {
  const clock = new ManualClock();
  const blamed = new BlamedFeatures(clock);
  blamed.add(blame('dd'));
  blamed.add(blame('ee'));
  await clock.advance(3_500_000);
  t.not(blamed.find(service, features('dd')), undefined);
  await clock.advance(200_000);
  blamed.add(blame('ff'));
  t.deepEqual(
    blamed.all().map((one) => one.features),
    [features('dd'), features('ff')],
  );
});

// Guards against blame that peers report to each other for good, after the last request.
test('what was only told is not reported on, until a request is refused for it', (t) => {
  const blamed = new BlamedFeatures(new ManualClock());
  t.true(blamed.addTold(blame('dd')));
  t.false(blamed.addTold(blame('dd')));
  t.is(blamed.all().length, 1);
  t.is(blamed.witnessed().length, 0);
  t.not(blamed.find(service, features('dd')), undefined);
  t.is(blamed.witnessed().length, 1);
});

// Guards against blame that does not hold and returns with what a peer has registered before it was lifted.
test('what was lifted is not taken from peers again for a while, and may be found again', async (t) => {
  const clock = new ManualClock();
  const blamed = new BlamedFeatures(clock);
  blamed.add(blame('dd'));
  t.true(blamed.remove(service, features('dd')));
  t.false(blamed.addTold(blame('dd')));
  t.true(blamed.add(blame('dd')));
  blamed.clearSound(service, features('dd'));
  await clock.advance(10_000);
  t.true(blamed.addTold(blame('dd')));
});

// Guards against memory that grows with what is blamed.
test('the least recent blame is discarded when there are many', (t) => {
  const blamed = new BlamedFeatures(new ManualClock());
  for (let index = 0; index < 300; index += 1) blamed.add(blame(`f${index}`));
  t.is(blamed.size, 256);
});
