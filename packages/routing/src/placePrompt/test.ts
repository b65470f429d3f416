import test from 'ava';
import { placePrompt, type EngineWork } from './index.js';

function engine(id: string, backlogMs = 0, running = 0): EngineWork {
  return { id, backlogMs, running };
}

const idle = Array.from({ length: 12 }, (_, index) => engine(`e${index}`));
const prompt = { key: 'part', sharedMs: 150, holders: new Set<string>() };

test('prompts that share a part meet at one engine', (t) => {
  const first = placePrompt(prompt, idle)?.engine.id;
  t.is(placePrompt(prompt, [...idle].reverse())?.engine.id, first);
  t.is(placePrompt(prompt, idle)?.holder, undefined);
});

// One part gets much of the traffic. Its engine reads one prompt after the other while the others
// have nothing to read.
test('a hot part spills where waiting costs more than reading it once more', (t) => {
  const backlogs = new Map<string, number>();
  const holders = new Set<string>();
  const first = placePrompt(prompt, idle)?.engine.id;
  for (let request = 0; request < 40; request += 1) {
    const engines = idle.map(({ id }) => engine(id, backlogs.get(id) ?? 0));
    const place = placePrompt({ ...prompt, holders }, engines);
    if (place === undefined) return t.fail();
    const { id, backlogMs } = place.engine;
    if (holders.size > 0 && !holders.has(id)) t.true(holders.has(place.holder?.id ?? ''));
    // Nobody queues for longer than it takes to read the part elsewhere.
    const least = Math.min(...engines.map((one) => one.backlogMs));
    t.true(backlogMs <= least + prompt.sharedMs + 60);
    const readMs = 50 + (place.holder === undefined ? 0 : prompt.sharedMs);
    backlogs.set(id, backlogMs + readMs);
    holders.add(id);
    // So the first requests of all stay together.
    if (request < 3) t.is<string | undefined, string | undefined>(id, first);
  }
  t.true(holders.size > 3);
});

// The first choice for a part was left out for a while, so the part was read elsewhere. It comes back.
test('a part stays with an engine that is known to hold it', (t) => {
  const holders = new Set(['e3']);
  t.is(placePrompt({ ...prompt, holders }, idle)?.engine.id, 'e3');
});

test('without candidates there is no place', (t) => {
  t.is(placePrompt(prompt, []), undefined);
});
