import test from 'ava';
import { createRandom, type Random } from '@acaciacrank/base';
import { PrefillTimeModel } from './index.js';

/** Prefill performance of a kind of engine. */
interface EngineKind {
  readonly tokensPerMs: number;
  readonly msPerMillionPairs: number;
}

const kinds: Record<string, EngineKind> = {
  'low attention cost': { tokensPerMs: 64, msPerMillionPairs: 0.65 },
  'high attention cost': { tokensPerMs: 30, msPerMillionPairs: 2 },
};

function truePrefillMs(kind: EngineKind, newTokens: number, cachedTokens: number): number {
  const pairs = newTokens * (cachedTokens + newTokens / 2);
  return 4 + newTokens / kind.tokensPerMs + (pairs / 1_000_000) * kind.msPerMillionPairs;
}

/** Two in five prompts wait for another prompt, some engines are slow, some samples are invalid. */
function observeSamples(
  model: PrefillTimeModel,
  kind: EngineKind,
  random: Random,
  requests = 200,
): void {
  for (let request = 0; request < requests; request += 1) {
    const newTokens = 200 + random() * 6_000;
    const cachedTokens = random() < 0.3 ? 0 : random() * 14_000;
    const waitMs = random() < 0.4 ? random() * 400 : 0;
    const slowness = random() < 0.05 ? 3 : 1;
    const elapsedMs = slowness * truePrefillMs(kind, newTokens, cachedTokens) + waitMs;
    model.observePrefill({ newTokens, cachedTokens, elapsedMs });
    model.observePrefill({ newTokens: Number.NaN, cachedTokens: 0, elapsedMs: 1 });
  }
}

for (const [name, kind] of Object.entries(kinds)) {
  test(`estimates engines with ${name} to within 15% after 200 requests`, (t) => {
    const model = new PrefillTimeModel();
    observeSamples(model, kind, createRandom(7));
    for (const [newTokens, cachedTokens] of [
      [3_000, 12_000],
      [6_000, 0],
      [4_000, 6_000],
    ] as const) {
      const truth = truePrefillMs(kind, newTokens, cachedTokens);
      t.true(Math.abs(model.estimatePrefillMs(newTokens, cachedTokens) - truth) < 0.15 * truth);
    }
  });
}

// Guards against placing prompts by the speed of engines that have since been replaced by others of half
// the speed.
test('adapts to replaced engines', (t) => {
  const model = new PrefillTimeModel();
  const [first, second] = Object.values(kinds);
  if (first === undefined || second === undefined) return t.fail();
  observeSamples(model, first, createRandom(1));
  observeSamples(model, second, createRandom(2), 400);
  const truth = truePrefillMs(second, 3_000, 12_000);
  t.true(Math.abs(model.estimatePrefillMs(3_000, 12_000) - truth) < 0.15 * truth);
});

test('returns plausible estimates without samples', (t) => {
  const model = new PrefillTimeModel();
  t.true(model.estimatePrefillMs(6_400, 0) > 50 && model.estimatePrefillMs(6_400, 0) < 250);
});
