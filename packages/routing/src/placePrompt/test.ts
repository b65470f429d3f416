import test from 'ava';
import { rankByKey } from '../rankByKey/index.js';
import { placePrompt, type EngineLoad } from './index.js';

function engine(id: string, backlogMs = 0, running = 0, slotWaitMs = 0): EngineLoad {
  return { id, backlogMs, running, slotWaitMs };
}

const idle = Array.from({ length: 12 }, (_, index) => engine(`e${index}`));
const prompt = { key: 'part', sharedPartsMs: 150, holders: new Set<string>() };

// Guards against instances of two releases that place the same part at different engines.
test('engines are ranked as by rankByKey', (t) => {
  for (let part = 0; part < 50; part += 1) {
    const key = `part${part}`;
    t.is(placePrompt({ ...prompt, key }, idle)?.engine, rankByKey(key, idle)[0]);
  }
});

test('prompts that share a part are placed at the same engine', (t) => {
  const first = placePrompt(prompt, idle)?.engine.id;
  t.is(placePrompt(prompt, [...idle].reverse())?.engine.id, first);
  t.is(placePrompt(prompt, idle)?.holder, undefined);
});

// Guards against a frequently used part whose first engine prefills one prompt after another while the
// other engines are idle.
test('a frequently used part spills to other engines when waiting costs more than prefilling it again', (t) => {
  const backlogs = new Map<string, number>();
  const holders = new Set<string>();
  const first = placePrompt(prompt, idle)?.engine.id;
  for (let request = 0; request < 40; request += 1) {
    const engines = idle.map(({ id }) => engine(id, backlogs.get(id) ?? 0));
    const placement = placePrompt({ ...prompt, holders }, engines);
    if (placement === undefined) return t.fail();
    const { id, backlogMs } = placement.engine;
    if (holders.size > 0 && !holders.has(id)) t.true(holders.has(placement.holder?.id ?? ''));
    // No prompt waits longer than prefilling the part at another engine would take; the 60 ms allow for
    // the rank costs, which are at most 11 times 5 ms.
    const leastBacklogMs = Math.min(...engines.map((one) => one.backlogMs));
    t.true(backlogMs <= leastBacklogMs + prompt.sharedPartsMs + 60);
    const prefillMs = 50 + (placement.holder === undefined ? 0 : prompt.sharedPartsMs);
    backlogs.set(id, backlogMs + prefillMs);
    holders.add(id);
    // The first requests stay at the same engine.
    if (request < 3) t.is<string | undefined, string | undefined>(id, first);
  }
  t.true(holders.size > 3);
});

// Guards against moving a part back to its first-ranked engine. While that engine was unavailable, the
// part was prefilled at another one.
test('a part stays at an engine that is known to hold it', (t) => {
  const holders = new Set(['e3']);
  t.is(placePrompt({ ...prompt, holders }, idle)?.engine.id, 'e3');
});

// Guards against prompts that wait for a slot of the engine that holds their part while others are idle.
test('a prompt spills to another engine when the wait for a slot costs more than the part', (t) => {
  const first = placePrompt(prompt, idle)?.engine.id ?? t.fail();
  const withWait = (slotWaitMs: number) =>
    idle.map(({ id }) => engine(id, 0, 0, id === first ? slotWaitMs : 0));
  t.is(placePrompt(prompt, withWait(100))?.engine.id, first);
  const placement = placePrompt(prompt, withWait(400));
  t.not(placement?.engine.id, first);
  t.is(placement?.holder?.id, first);
});

test('returns undefined without candidates', (t) => {
  t.is(placePrompt(prompt, []), undefined);
});
