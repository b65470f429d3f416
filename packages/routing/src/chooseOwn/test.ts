import test from 'ava';
import type { EngineWork } from '../placePrompt/index.js';
import { chooseOwn } from './index.js';

function engines(count: number): EngineWork[] {
  return Array.from({ length: count }, (_, at) => ({ id: `e${at}`, backlogMs: 0, running: 0 }));
}

// Four instances send a long prompt each at the same moment and see nothing of each other.
test('instances that do not see each other choose different engines', (t) => {
  const choices = [0, 1, 2, 3].map((index) => chooseOwn(engines(4), { index, count: 4 })?.id);
  t.is(new Set(choices).size, 4);
});

test('more instances than engines still share them evenly', (t) => {
  const choices = Array.from({ length: 12 }, (_, index) =>
    chooseOwn(engines(3), { index, count: 12 }),
  ).map((engine) => engine?.id);
  for (const id of ['e0', 'e1', 'e2']) t.is(choices.filter((choice) => choice === id).length, 4);
});

// One instance gets all long prompts for a while. Kept to its own engine, they would queue there.
test('an engine with much to read is passed over for another instances own', (t) => {
  const place = { index: 1, count: 4 };
  const own = chooseOwn(engines(4), place)?.id;
  const loaded = engines(4).map((engine) =>
    engine.id === own ? { ...engine, backlogMs: 900 } : engine,
  );
  t.not(chooseOwn(loaded, place)?.id, own);
});
