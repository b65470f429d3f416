import test from 'ava';
import { createRandom, type Random } from '@acaciacrank/base';
import { EngineModel } from './index.js';

/** A kind of engine, as its service would describe it. */
interface EngineKind {
  readonly tokensPerMs: number;
  readonly msPerMillionPairs: number;
}

const kinds: Record<string, EngineKind> = {
  'cheap pairs': { tokensPerMs: 64, msPerMillionPairs: 0.65 },
  'dear pairs': { tokensPerMs: 30, msPerMillionPairs: 2 },
};

function trueReadMs(kind: EngineKind, newTokens: number, cachedTokens: number): number {
  const pairs = newTokens * (cachedTokens + newTokens / 2);
  return 4 + newTokens / kind.tokensPerMs + (pairs / 1_000_000) * kind.msPerMillionPairs;
}

/** Two in five reads wait for another prompt, some engines are slow, some answers are absurd. */
function teach(model: EngineModel, kind: EngineKind, random: Random, requests = 200): void {
  for (let request = 0; request < requests; request += 1) {
    const newTokens = 200 + random() * 6_000;
    const cachedTokens = random() < 0.3 ? 0 : random() * 14_000;
    const waitMs = random() < 0.4 ? random() * 400 : 0;
    const slowness = random() < 0.05 ? 3 : 1;
    const elapsedMs = slowness * trueReadMs(kind, newTokens, cachedTokens) + waitMs;
    model.observeRead({ newTokens, cachedTokens, elapsedMs });
    model.observeRead({ newTokens: Number.NaN, cachedTokens: 0, elapsedMs: 1 });
  }
}

for (const [name, kind] of Object.entries(kinds)) {
  test(`it learns engines with ${name} from 200 requests, within 15%`, (t) => {
    const model = new EngineModel();
    teach(model, kind, createRandom(7));
    for (const [newTokens, cachedTokens] of [
      [3_000, 12_000],
      [6_000, 0],
      [4_000, 6_000],
    ] as const) {
      const truth = trueReadMs(kind, newTokens, cachedTokens);
      t.true(Math.abs(model.readMs(newTokens, cachedTokens) - truth) < 0.15 * truth);
    }
  });
}

// The engines of a service are replaced by others of half the speed. A model that never forgets would go
// on placing prompts by what the old ones could do.
test('it forgets engines that were replaced', (t) => {
  const model = new EngineModel();
  const [first, second] = Object.values(kinds);
  if (first === undefined || second === undefined) return t.fail();
  teach(model, first, createRandom(1));
  teach(model, second, createRandom(2), 400);
  const truth = trueReadMs(second, 3_000, 12_000);
  t.true(Math.abs(model.readMs(3_000, 12_000) - truth) < 0.15 * truth);
});

test('before anything was seen, reads have a usual length', (t) => {
  const model = new EngineModel();
  t.true(model.readMs(6_400, 0) > 50 && model.readMs(6_400, 0) < 250);
});
