import test from 'ava';
import { planShutdown } from './index.js';

// With 8 s for the shutdown, a caller with a cached directory response sent a stream request 3.4 s
// after its start. The request was accepted, ran for 4 s and was cut off when the process ended.
test('a request is accepted only while a stream of several seconds can still complete', (t) => {
  const { acceptMs, endMs } = planShutdown(8_000, 2_000);
  t.true(acceptMs <= 3_000);
  t.true(endMs - acceptMs >= 4_000);
  t.true(endMs < 8_000);
});

test('with a short directory TTL requests are refused as soon as no caller caches the response', (t) => {
  t.is(planShutdown(60_000, 1_000).acceptMs, 3_000);
});
