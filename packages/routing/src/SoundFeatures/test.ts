import test from 'ava';
import { ManualClock, type FeatureId, type ServiceName } from '@acaciacrank/base';
import { SoundFeatures } from './index.js';

const service = 'lm' as ServiceName;
const features = (...names: string[]) => names as FeatureId[];
const [a, b, c] = features('a', 'b', 'c') as [FeatureId, FeatureId, FeatureId];

test('it is known when a feature was last answered, for half a minute at least', async (t) => {
  const clock = new ManualClock();
  const sound = new SoundFeatures(clock);
  sound.record(service, [a]);
  await clock.advance(29_000);
  t.is(sound.lastSoundMs(service, a), 0);
  sound.record(service, [b]);
  await clock.advance(2_000);
  t.is(sound.lastSoundMs(service, a), 0);
  t.is(sound.lastSoundMs(service, b), 29_000);
  t.is(sound.lastSoundMs(service, c), undefined);
  await clock.advance(60_000);
  t.is(sound.lastSoundMs(service, a), undefined);
});

test('a feature of all answers has no others', (t) => {
  const sound = new SoundFeatures(new ManualClock());
  t.false(sound.hasOthers(service, a));
  sound.record(service, [a, b]);
  sound.record(service, [a, c]);
  t.false(sound.hasOthers(service, a));
  t.true(sound.hasOthers(service, b));
  t.true(sound.hasOthers(service, 'never' as FeatureId));
  t.false(sound.hasOthers('other' as ServiceName, a));
});

// Guards against memory that grows with the requests.
test('the least recent features are forgotten when there are many', (t) => {
  const sound = new SoundFeatures(new ManualClock());
  sound.record(service, [a]);
  for (let index = 0; index < 10_000; index += 1) sound.record(service, features(`f${index}`));
  t.is(sound.lastSoundMs(service, a), undefined);
  t.not(sound.lastSoundMs(service, 'f9999' as FeatureId), undefined);
});
