import test from 'ava';
import { estimatePrefill, longestHarmlessPrompt, usualPrefillModel } from './index.js';

test('reading takes longer for each token the more tokens precede it', (t) => {
  const alone = estimatePrefill(2_000, 0);
  t.true(estimatePrefill(2_000, 20_000) > alone);
  t.true(estimatePrefill(4_000, 0) > 2 * alone);
});

// A prompt of 50,000 tokens is read beside streams whose events hold five tokens. Each of their steps
// takes a chunk of it along, so that every stream of that engine pauses for too long.
test('the longest harmless prompt keeps five steps with a chunk under the longest pause', (t) => {
  const bound = { gapTargetMs: 300, tokensPerEvent: 5 };
  const limit = longestHarmlessPrompt(bound);
  const { chunkTokens, stepMs } = usualPrefillModel;
  const pauseMs = (context: number) => 5 * (stepMs + estimatePrefill(chunkTokens, context));
  t.true(pauseMs(limit - 2 * chunkTokens) <= bound.gapTargetMs);
  t.true(pauseMs(50_000) > bound.gapTargetMs);
});

test('a bound that nothing keeps still lets one chunk through', (t) => {
  t.is(longestHarmlessPrompt({ gapTargetMs: 1, tokensPerEvent: 5 }), usualPrefillModel.chunkTokens);
});
