import test from 'ava';
import { ManualClock, type ServiceName, type StreamKey, type UpstreamId } from '@acaciacrank/base';
import { StreamOrigins } from './index.js';

const stream = 's1' as StreamKey;
const run = {
  service: 'lm' as ServiceName,
  upstreamId: 'u1' as UpstreamId,
  startedAtMs: 1_000,
  softwareVersion: 'v1',
};

test('the run that began a stream is known for two minutes', async (t) => {
  const clock = new ManualClock();
  const origins = new StreamOrigins({ clock });
  origins.record(stream, run);
  await clock.advance(119_999);
  t.deepEqual(origins.get(stream), run);
  await clock.advance(1);
  t.is(origins.get(stream), undefined);
});

// Guards against a stream that continues at the wrong one of two versions, since two attempts used one id.
test('a key under which two versions began streams has no known version', (t) => {
  const origins = new StreamOrigins({ clock: new ManualClock() });
  origins.record(stream, run);
  origins.record(stream, { ...run, upstreamId: 'u2' as UpstreamId });
  t.is(origins.get(stream)?.softwareVersion, 'v1');
  origins.record(stream, { ...run, softwareVersion: 'v2' });
  t.is(origins.get(stream)?.softwareVersion, undefined);
  origins.record(stream, run);
  t.is(origins.get(stream)?.softwareVersion, undefined);
});

// Guards against memory that grows with the callers.
test('the number of streams is bounded, the oldest are forgotten first', async (t) => {
  const clock = new ManualClock();
  const origins = new StreamOrigins({ clock, maxStreams: 2 });
  for (const key of ['a', 'b', 'c']) origins.record(key as StreamKey, run);
  t.is(origins.size, 2);
  t.is(origins.get('a' as StreamKey), undefined);
  t.deepEqual(origins.get('c' as StreamKey), run);
  await clock.advance(120_000);
  origins.record('d' as StreamKey, run);
  t.is(origins.size, 1);
});
