import test from 'ava';
import { placePrompt, type EngineWork } from './index.js';

function engine(id: string, backlogMs = 0, running = 0): EngineWork {
  return { id, backlogMs, running };
}

const idle = Array.from({ length: 12 }, (_, index) => engine(`e${index}`));

test('prompts that share a part meet at one engine', (t) => {
  const first = placePrompt('part', idle)?.engine.id;
  t.is(placePrompt('part', [...idle].reverse())?.engine.id, first);
  t.is(placePrompt('part', idle)?.home, undefined);
});

// One part gets much of the traffic. Its engine reads one prompt after the other while the others
// have nothing to read.
test('a hot part spills to few engines, and names the one that holds it', (t) => {
  const homeId = placePrompt('part', idle)?.engine.id;
  const chosen = new Set<string>();
  const backlogs = new Map<string, number>();
  for (let request = 0; request < 40; request += 1) {
    const engines = idle.map(({ id }) => engine(id, backlogs.get(id) ?? 0));
    const place = placePrompt('part', engines);
    if (place === undefined) continue;
    chosen.add(place.engine.id);
    backlogs.set(place.engine.id, (backlogs.get(place.engine.id) ?? 0) + 100);
    if (place.engine.id !== homeId) t.is(place.home?.id, homeId);
  }
  t.is(chosen.size, 3);
});

test('without candidates there is no place', (t) => {
  t.is(placePrompt('part', []), undefined);
});
