import test from 'ava';
import { planStop } from './index.js';

// An instance is stopped and has 8 s for it. A caller with an old directory answer sends a stream
// 3.4 s later; it was taken, ran for 4 s and was cut when the process ended.
test('a request is taken only while a stream of several seconds can still end', (t) => {
  const { acceptMs, endMs } = planStop(8_000, 2_000);
  t.true(acceptMs <= 3_000);
  t.true(endMs - acceptMs >= 4_000);
  t.true(endMs < 8_000);
});

test('with a short directory answer requests are refused as soon as no caller holds it', (t) => {
  t.is(planStop(60_000, 1_000).acceptMs, 3_000);
});
