import test from 'ava';
import { createRandom } from '@acaciacrank/base';
import { placePrompt } from '../placePrompt/index.js';
import { PeerBacklogEstimator } from './index.js';

test('the estimate decays, and an overdue prompt takes effect immediately', (t) => {
  const estimator = new PeerBacklogEstimator();
  t.is(estimator.estimateMs(0, 0), 0);
  estimator.observe(400, 1_000);
  t.is(estimator.estimateMs(1_000, 0), 200);
  t.true(estimator.estimateMs(3_000, 0) < 10);
  t.is(estimator.estimateMs(3_000, 250), 250);
  estimator.observe(-50, 3_000);
  t.true(estimator.estimateMs(3_000, 0) < 10);
});

/**
 * Simulates prompts with a few frequently used parts at instances that see only their own prompts.
 *
 * @returns the waits, in milliseconds
 */
function simulateWaits(instances: number, usesEstimate: boolean): number[] {
  const random = createRandom(3);
  const engineIds = ['e0', 'e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
  const busyUntilMs = new Map(engineIds.map((id) => [id, 0]));
  const estimatorsByInstance = Array.from(
    { length: instances },
    () => new Map(engineIds.map((id) => [id, new PeerBacklogEstimator()])),
  );
  const events: { atMs: number; observe: () => void }[] = [];
  const waitsMs: number[] = [];
  const prefillMs = 100;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 25) {
    for (const event of events.splice(0)) {
      if (event.atMs > nowMs) events.push(event);
      else event.observe();
    }
    const estimators = estimatorsByInstance[Math.floor(random() * instances)];
    const part = `part ${Math.floor(random() * 3)}`;
    const engines = engineIds.map((id) => ({
      id,
      slotWaitMs: 0,
      backlogMs: usesEstimate ? (estimators?.get(id)?.estimateMs(nowMs, 0) ?? 0) : 0,
      running: 0,
    }));
    const holders = new Set(engineIds);
    const placement = placePrompt({ key: part, sharedPartsMs: 150, holders }, engines);
    if (placement === undefined) return waitsMs;
    const { id } = placement.engine;
    const waitMs = Math.max(0, (busyUntilMs.get(id) ?? 0) - nowMs);
    busyUntilMs.set(id, nowMs + waitMs + prefillMs);
    waitsMs.push(waitMs);
    events.push({
      atMs: nowMs + waitMs + prefillMs,
      observe: () => estimators?.get(id)?.observe(waitMs, nowMs + waitMs + prefillMs),
    });
  }
  return waitsMs;
}

// Guards against queues that no instance sees: 16 instances occasionally send a prompt with one of three
// parts. Without an estimate, all of them use the parts' first-ranked engines and wait for seconds while
// five engines are idle.
test('instances that see only their own prompts avoid an engine with a long queue', (t) => {
  const mean = (waits: number[]) => waits.reduce((sum, each) => sum + each, 0) / waits.length;
  const withoutEstimateMs = mean(simulateWaits(16, false));
  const withEstimateMs = mean(simulateWaits(16, true));
  t.true(withoutEstimateMs > 1_000, String(withoutEstimateMs));
  t.true(withEstimateMs < 300, String(withEstimateMs));
});
