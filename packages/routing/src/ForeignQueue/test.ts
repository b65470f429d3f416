import test from 'ava';
import { createRandom } from '@acaciacrank/base';
import { placePrompt } from '../placePrompt/index.js';
import { ForeignQueue } from './index.js';

test('what was seen is forgotten, and what is overdue counts at once', (t) => {
  const queue = new ForeignQueue();
  t.is(queue.estimateMs(0, 0), 0);
  queue.observe(400, 1_000);
  t.is(queue.estimateMs(1_000, 0), 200);
  t.true(queue.estimateMs(3_000, 0) < 10);
  t.is(queue.estimateMs(3_000, 250), 250);
  queue.observe(-50, 3_000);
  t.true(queue.estimateMs(3_000, 0) < 10);
});

/** Prompts of a few hot parts come to instances that see only their own; returns waits in milliseconds. */
function replay(instances: number, isGuessed: boolean): number[] {
  const random = createRandom(3);
  const engineIds = ['e0', 'e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
  const busyUntilMs = new Map(engineIds.map((id) => [id, 0]));
  const views = Array.from(
    { length: instances },
    () => new Map(engineIds.map((id) => [id, new ForeignQueue()])),
  );
  const events: { atMs: number; tell: () => void }[] = [];
  const waits: number[] = [];
  const readMs = 100;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 25) {
    for (const event of events.splice(0)) {
      if (event.atMs > nowMs) events.push(event);
      else event.tell();
    }
    const view = views[Math.floor(random() * instances)];
    const part = `part ${Math.floor(random() * 3)}`;
    const engines = engineIds.map((id) => ({
      id,
      backlogMs: isGuessed ? (view?.get(id)?.estimateMs(nowMs, 0) ?? 0) : 0,
      running: 0,
    }));
    const holders = new Set(engineIds);
    const place = placePrompt({ key: part, sharedMs: 150, holders }, engines);
    if (place === undefined) return waits;
    const { id } = place.engine;
    const waitMs = Math.max(0, (busyUntilMs.get(id) ?? 0) - nowMs);
    busyUntilMs.set(id, nowMs + waitMs + readMs);
    waits.push(waitMs);
    events.push({
      atMs: nowMs + waitMs + readMs,
      tell: () => view?.get(id)?.observe(waitMs, nowMs + waitMs + readMs),
    });
  }
  return waits;
}

// Three parts get all the traffic, and 16 instances send a prompt each now and then. None has anything of
// its own at the parts' first engines, so all go there and wait for seconds, while five engines idle.
test('instances that see only their own still leave an engine with a long queue', (t) => {
  const mean = (waits: number[]) => waits.reduce((sum, each) => sum + each, 0) / waits.length;
  const blind = mean(replay(16, false));
  const guessed = mean(replay(16, true));
  t.true(blind > 1_000, String(blind));
  t.true(guessed < 300, String(guessed));
});
